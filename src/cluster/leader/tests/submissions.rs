//! Submissions that are judged before a change of the state and stored after it.

use std::sync::Arc;
use std::time::Duration;

use crate::cluster::tests::control_host::TestControl;
use crate::cluster::tests::fake_worker::FakeUpstreams;
use crate::cluster::tests::promises::LEASE_MS;
use crate::cluster::{Action, FrontCall, FrontReply, Reply, Request};
use crate::tasks::tests::sample::{configuration, job_id, spec, step};

/// Guards against a job that is accepted and never begins: the change that removes its queue was on its way
/// to the log when the leader looked for the queue.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_queue_is_removed_before_its_acceptance_is_stored_is_not_accepted() {
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    // The host itself leads; this one only judges the submission.
    let leader = test.control.new_leader(1_000);
    let spec = Arc::new(spec(vec![step(1, 8)]));
    let call = FrontCall {
        host: "jobs.example".to_owned(),
        path: format!("/normal/{}", job_id(1)),
        key: Some("key-of-north".to_owned()),
        action: Action::Submit { spec: Arc::clone(&spec) },
    };
    let target = leader.resolve_target(&call).expect("the queue is there");
    let mut changed = configuration(2);
    changed.queues.retain(|queue| &*queue.name != "normal");
    let configuration = Arc::new(changed);
    let set = Request::SetConfiguration { configuration, raw: "version 2".into() };
    test.call_until_answered(set).await;
    let reply = leader.submit(target, job_id(1), spec).await;
    assert_eq!(reply, Reply::Front(FrontReply::NoQueue));
    assert!(!leader.replica.lock().state.jobs.contains_key(&job_id(1)));
}
