//! Turns of refused callers are stored.

use std::sync::Arc;
use std::time::Duration;

use super::control_host::{TestControl, wait_until};
use super::fake_worker::FakeUpstreams;
use super::promises::{LEASE_MS, call, submit};
use crate::cluster::{Action, FrontReply, Reply};
use crate::tasks::StepSpec;
use crate::tasks::tests::sample::{job_id, spec, step};

/// Guards against turns that are lost with the leader: those of refused callers reach the replicated
/// state, in the order in which they were promised.
#[tokio::test(flavor = "multi_thread")]
async fn turns_of_refused_callers_are_stored() {
    let fake = FakeUpstreams::new(Duration::from_secs(30));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    // Without an upstream that takes work, nothing can be forecast and all jobs are accepted.
    submit(&test, 100).await;
    wait_until("the upstream takes work", || fake.running() == 1).await;
    let long = spec(vec![StepSpec { estimate_ms: 60_000, ..step(1, 8) }]);
    let mut refused: Vec<(u64, u64)> = Vec::new();
    for number in 1..=12 {
        let request = call(number, Action::Submit { spec: Arc::new(long.clone()) });
        match test.call_until_answered(request).await {
            Reply::Front(FrontReply::Accepted) => {}
            Reply::Front(FrontReply::NotAccepted { retry_after_ms, .. }) => {
                refused.push((number, retry_after_ms));
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(refused.len() > 2, "{refused:?}");
    let stored = || test.control.replica.lock().state.returns.clone();
    wait_until("the turns are stored", || stored().len() == refused.len()).await;
    let turns = stored();
    let at_ms: Vec<u64> = refused.iter().map(|(number, _)| turns[&job_id(*number)].at_ms).collect();
    assert!(at_ms.is_sorted(), "{at_ms:?}");
    assert!(turns.values().all(|turn| &*turn.organisation == "north"), "{turns:?}");
}
