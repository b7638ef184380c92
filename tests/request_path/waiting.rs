//! Queue length and wait time of a class follow the service document.

use std::time::Duration;

use rstest::rstest;

use crate::support::path::{ClusterClock, ClusterOptions, Request, TestCluster};

/// Time by which a refusal may exceed the wait time.
const DELAY_MAX: Duration = Duration::from_millis(200);

const DOCUMENT: &str = "\
kind: service
service: plan
organisations:
  - name: plovdiv
    concurrency_max: 500
    requests_per_s: 5000
    guaranteed_blocks: []
interactive_queue_max: 2
interactive_wait_max_ms: 300
batch_queue_max: 3
batch_wait_max_ms: 900
completion_weight: 1.0
fragmentation_weight: 0.2
";

/// Starts a cluster without upstreams, and stores `DOCUMENT`.
fn start_without_upstreams() -> TestCluster {
    let cluster = TestCluster::start(ClusterOptions {
        standins: 0,
        clock: ClusterClock::Paced,
        ..ClusterOptions::default()
    });
    cluster.replace_document(DOCUMENT);
    cluster
}

/// Requests must wait for the time that the service document sets for their class, on the clock of
/// the hosts.
#[rstest]
#[case::interactive(Request::idempotent(), 300)]
#[case::batch(Request::idempotent().batch(), 900)]
fn the_document_sets_the_wait_time_of_a_class(#[case] request: Request, #[case] wait_ms: u64) {
    let cluster = start_without_upstreams();
    let sent_at = cluster.now();
    let response = request.send(&cluster.client(0));
    let elapsed = cluster.now().duration_since(sent_at);
    assert_eq!(response.outcome(), "not_run", "{response:?}");
    let wait = Duration::from_millis(wait_ms);
    assert!(elapsed >= wait && elapsed < wait + DELAY_MAX, "{elapsed:?}: {response:?}");
}

/// No more requests of a class may wait than the service document allows.
#[rstest]
#[case::interactive(Request::idempotent(), 2, "as many interactive requests wait")]
#[case::batch(Request::idempotent().batch(), 3, "as many batch requests wait")]
fn the_document_limits_the_queue_of_a_class(
    #[case] request: Request,
    #[case] allowed: usize,
    #[case] reason: &str,
) {
    let cluster = start_without_upstreams();
    let pending: Vec<_> = (0..=allowed).map(|_| request.spawn(&cluster.client(0))).collect();
    let responses =
        pending.into_iter().map(|thread| thread.join().expect("no panic").expect("an answer"));
    let refused_at_once =
        responses.filter(|response| response.reply.body.to_string().contains(reason)).count();
    assert_eq!(refused_at_once, 1);
}
