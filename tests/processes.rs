//! The whole path in separate processes, which are killed, frozen and drained.

mod support;

use std::time::Duration;

use support::{Installation, eventually, idempotent, key, once};

/// Guards against a second run when a request is sent again through another host, after control
/// was killed and came back with its journal.
#[test]
fn a_resend_after_control_was_killed_gets_the_first_answer() {
    let mut installation = Installation::start(2, 2);
    let key = key("posting-1");
    let first = once(&installation.client(0), &key, 20).expect("an answer");
    assert_eq!(first.outcome(), "done", "{first:?}");
    let started = installation.started();
    installation.kill_control();
    installation.start_control();
    eventually("the resend is answered", Duration::from_secs(15), || {
        let second = once(&installation.client(1), &key, 20).expect("an answer");
        second.outcome() == "done" && second.body["answer"] == first.body["answer"]
    });
    assert_eq!(installation.started(), started, "nothing ran again");
}

/// Guards against showing an answer to another organisation than the one that sent the request.
#[test]
fn an_answer_is_shown_only_to_the_organisation_that_sent_the_request() {
    let installation = Installation::start(1, 1);
    let client = installation.client(0);
    let key = key("posting-3");
    assert_eq!(once(&client, &key, 0).expect("an answer").outcome(), "done");
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

/// Guards against entry hosts that stop serving when control is gone.
#[test]
fn without_control_idempotent_requests_are_served_and_others_are_not_dispatched() {
    let mut installation = Installation::start(2, 2);
    installation.kill_control();
    let served = idempotent(&installation.client(0), 0).expect("an answer");
    assert_eq!(served.outcome(), "done", "{served:?}");
    let started = installation.started();
    let refused = once(&installation.client(1), &key("posting-2"), 0).expect("an answer");
    assert_eq!(refused.outcome(), "unknown", "{refused:?}");
    assert_eq!(installation.started(), started, "nothing was dispatched");
}

/// Guards against a host that hides how old its document is while control is away.
#[test]
fn without_control_a_host_shows_its_document_and_its_age() {
    let mut installation = Installation::start(2, 1);
    installation.kill_control();
    let reply = installation.client(0).get("/v1/documents/plan").expect("an answer");
    assert_eq!((reply.status, &reply.body["version"]), (200, &1.into()), "{reply:?}");
    assert_eq!(reply.body["confirmed"], false);
    assert!(reply.body["age_ms"].is_u64(), "{reply:?}");
}

/// Guards against an entry host that goes on sending to an upstream that is frozen.
#[test]
fn a_frozen_upstream_does_not_fail_idempotent_requests() {
    let installation = Installation::start(2, 2);
    installation.freeze_standin(0);
    for _ in 0..8 {
        let reply = idempotent(&installation.client(0), 0).expect("an answer");
        assert_eq!(reply.outcome(), "done", "{reply:?}");
    }
    installation.thaw_standin(0);
}

/// Guards against requests that are cut off when an entry host is terminated.
#[test]
fn a_terminated_entry_host_finishes_its_requests() {
    let mut installation = Installation::start(2, 2);
    let client = installation.client(0);
    let pending: Vec<_> = (0..8)
        .map(|_| {
            let client = client.clone();
            std::thread::spawn(move || idempotent(&client, 1_500))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(installation.terminate_entry(0), Some(0));
    for thread in pending {
        let reply = thread.join().expect("no panic").expect("an answer");
        assert_eq!(reply.outcome(), "done", "{reply:?}");
    }
}
