//! Requests wait for a slot as their service document says for their class.

use std::time::Duration;

use cactuslatch::local::TEAM_SECRET;
use rstest::rstest;

use crate::support::eventually;
use crate::support::path::{Ask, Path, Shape};

/// Time by which a refusal may come later than its wait.
const LATE_MAX: Duration = Duration::from_millis(300);

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

/// Starts an installation without upstreams under the document above.
fn without_upstreams() -> Path {
    let path = Path::start(Shape { standins: 0, ..Shape::default() });
    let client = path.client(0);
    let authorization = format!("Bearer {TEAM_SECRET}");
    let body = serde_json::json!({
        "base_version": 1, "operation": "waits", "body_yaml": DOCUMENT,
    });
    let headers = [("Authorization", authorization.as_str())];
    let reply = client.send("PUT", "/v1/documents/plan", &headers, &body.to_string());
    assert_eq!(reply.expect("an answer").status, 200);
    eventually("the document is in force", Duration::from_secs(5), || {
        let reply = client.get("/v1/documents/plan");
        reply.is_ok_and(|reply| reply.body["in_force_version"] == 2)
    });
    path
}

/// Guards against a class that waits for another time than its service document says.
#[rstest]
#[case::interactive(Ask::idempotent(), 300)]
#[case::batch(Ask::idempotent().batch(), 900)]
fn a_class_waits_as_long_as_its_document_says(#[case] ask: Ask, #[case] wait_ms: u64) {
    let path = without_upstreams();
    let told = ask.send(&path.client(0));
    assert_eq!(told.outcome(), "not_run", "{told:?}");
    let wait = Duration::from_millis(wait_ms);
    assert!(told.took >= wait && told.took < wait + LATE_MAX, "{told:?}");
}

/// Guards against more waiting requests of a class than its service document allows.
#[rstest]
#[case::interactive(Ask::idempotent(), 2, "as many interactive requests wait")]
#[case::batch(Ask::idempotent().batch(), 3, "as many batch requests wait")]
fn a_class_waits_in_the_number_its_document_says(
    #[case] ask: Ask,
    #[case] allowed: usize,
    #[case] reason: &str,
) {
    let path = without_upstreams();
    let asked: Vec<_> = (0..=allowed).map(|_| ask.spawn(&path.client(0))).collect();
    let told = asked.into_iter().map(|asked| asked.join().expect("no panic").expect("an answer"));
    let refused_at_once = told.filter(|told| told.reply.body.to_string().contains(reason)).count();
    assert_eq!(refused_at_once, 1);
}
