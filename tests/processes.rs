//! The request path in separate processes that are killed, suspended and drained.

mod support;

use std::time::Duration;

use support::{Installation, eventually, key, send_at_most_once, send_idempotent};

/// A request that is resent through another entry host must not run again, although control was
/// killed in between and recovered from its journal.
#[test]
fn a_resend_after_control_was_killed_gets_the_first_answer() {
    let mut installation = Installation::start(2, 2);
    let key = key("posting-1");
    let first = send_at_most_once(&installation.client(0), &key, 20).expect("an answer");
    assert_eq!(first.outcome(), "done", "{first:?}");
    let started = installation.started();
    installation.kill_control();
    installation.start_control();
    eventually("the resend is answered", Duration::from_secs(15), || {
        let second = send_at_most_once(&installation.client(1), &key, 20).expect("an answer");
        second.outcome() == "done" && second.body["answer"] == first.body["answer"]
    });
    assert_eq!(installation.started(), started, "nothing ran again");
}

/// The answer to a request must not be readable by other organisations.
#[test]
fn an_answer_is_shown_only_to_the_organisation_that_sent_the_request() {
    let installation = Installation::start(1, 1);
    let client = installation.client(0);
    let key = key("posting-3");
    assert_eq!(send_at_most_once(&client, &key, 0).expect("an answer").outcome(), "done");
    let path = format!("/v1/requests/{key}");
    let own = [("Cactuslatch-Organisation", "plovdiv")];
    eventually("the outcome is recorded", Duration::from_secs(5), || {
        let reply = client.send("GET", &path, &own, "").expect("an answer");
        reply.body["answer"].is_object()
    });
    let others = client.send("GET", &path, &[("Cactuslatch-Organisation", "varna")], "");
    let others = others.expect("an answer");
    assert_eq!(others.body["state"], "done");
    assert!(others.body["answer"].is_null(), "{others:?}");
}

/// Entry hosts must serve idempotent requests without control, but must not dispatch requests
/// that need a record of control to run at most once.
#[test]
fn without_control_idempotent_requests_are_served_and_others_are_not_dispatched() {
    let mut installation = Installation::start(2, 2);
    installation.kill_control();
    let served = send_idempotent(&installation.client(0), 0).expect("an answer");
    assert_eq!(served.outcome(), "done", "{served:?}");
    let started = installation.started();
    let refused =
        send_at_most_once(&installation.client(1), &key("posting-2"), 0).expect("an answer");
    assert_eq!(refused.outcome(), "unknown", "{refused:?}");
    assert_eq!(installation.started(), started, "nothing was dispatched");
}

/// Without control a host must report the age of its document, and that it is unconfirmed.
#[test]
fn without_control_a_host_shows_its_document_and_its_age() {
    let mut installation = Installation::start(2, 1);
    installation.kill_control();
    let reply = installation.client(0).get("/v1/documents/plan").expect("an answer");
    assert_eq!((reply.status, &reply.body["version"]), (200, &1.into()), "{reply:?}");
    assert_eq!(reply.body["confirmed"], false);
    assert!(reply.body["age_ms"].is_u64(), "{reply:?}");
}

/// Requests must not fail because the entry host keeps sending to a suspended upstream.
#[test]
fn a_suspended_upstream_does_not_fail_idempotent_requests() {
    let installation = Installation::start(2, 2);
    installation.suspend_standin(0);
    for _ in 0..8 {
        let reply = send_idempotent(&installation.client(0), 0).expect("an answer");
        assert_eq!(reply.outcome(), "done", "{reply:?}");
    }
    installation.resume_standin(0);
}

/// An entry host that receives `SIGTERM` must answer its requests in flight before it exits.
#[test]
fn a_terminated_entry_host_finishes_its_requests() {
    let mut installation = Installation::start(2, 2);
    let client = installation.client(0);
    let pending: Vec<_> = (0..8)
        .map(|_| {
            let client = client.clone();
            std::thread::spawn(move || send_idempotent(&client, 1_500))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(installation.terminate_entry(0), Some(0));
    for thread in pending {
        let reply = thread.join().expect("no panic").expect("an answer");
        assert_eq!(reply.outcome(), "done", "{reply:?}");
    }
}
