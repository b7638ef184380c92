//! A request ends at most 100 ms after its timeout.

use std::time::Duration;

use rstest::rstest;

use crate::support::key;
use crate::support::link::Fault;
use crate::support::path::{ClusterOptions, Request, TestCluster};

/// Timeout that is shorter than the time limits of single steps.
const SHORT_MS: u64 = 600;
/// Timeout that expires while the host queries the state of an unanswered attempt.
const DURING_QUERY_MS: u64 = 1_300;
/// Time by which a request may exceed its timeout.
const MARGIN_MS: u64 = 100;
/// The fastest try counts: a busy machine delays single tries, a wrong limit delays each.
const TRIES: u32 = 2;

fn silence_control(cluster: &mut TestCluster) {
    cluster.control_links.iter().for_each(|link| link.fault_all(Fault::DropAll));
}

fn silence_upstreams(cluster: &mut TestCluster) {
    cluster.links.iter().for_each(|link| link.fault_all(Fault::DropAll));
}

fn drop_answers(cluster: &mut TestCluster) {
    cluster.links.iter().for_each(|link| link.fault_all(Fault::DropAnswers));
}

fn fill_slots(cluster: &mut TestCluster) {
    let request = Request::idempotent().work_ms(8_000);
    for number in 0..2 {
        (0..16).for_each(|_| drop(request.spawn(&cluster.client(number))));
    }
}

/// Each step of a request must end at the caller's deadline, even if its own time limit is longer.
#[rstest]
#[case::control_is_silent(silence_control, "north", SHORT_MS)]
#[case::upstreams_are_silent(silence_upstreams, "north", DURING_QUERY_MS)]
#[case::answers_are_lost(drop_answers, "north", DURING_QUERY_MS)]
#[case::no_slot_is_free(fill_slots, "north", SHORT_MS)]
#[case::owner_is_silent(|_: &mut TestCluster| {}, "mute", SHORT_MS)]
#[case::owner_is_unreachable(|_: &mut TestCluster| {}, "lost", SHORT_MS)]
fn a_request_ends_by_its_deadline(
    #[case] fault: impl FnOnce(&mut TestCluster),
    #[case] owner: &str,
    #[case] timeout_ms: u64,
) {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    fault(&mut cluster);
    let mut elapsed = [Duration::MAX; 2];
    for number in 0..TRIES {
        let key = key(&format!("timely-{number}")).replacen("north", owner, 1);
        let requests = [Request::at_most_once(&key), Request::idempotent()];
        for (elapsed, request) in elapsed.iter_mut().zip(requests) {
            let response = request.work_ms(5_000).timeout_ms(timeout_ms).send(&cluster.client(0));
            assert_ne!(response.outcome(), "", "an outcome: {response:?}");
            *elapsed = response.elapsed.min(*elapsed);
        }
    }
    let limit = Duration::from_millis(timeout_ms + MARGIN_MS);
    assert!(elapsed.iter().all(|time| *time <= limit), "at most once, idempotent: {elapsed:?}");
}
