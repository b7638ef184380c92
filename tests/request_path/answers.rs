//! A caller gets the complete answer to its own request, and never the answer to another.

use std::time::Duration;

use rstest::rstest;

use crate::support::link::Fault;
use crate::support::path::{ClusterOptions, Request, Response, TestCluster};
use crate::support::{eventually, key};

fn assert_own_answer(response: &Response) {
    let body = &response.reply.body;
    assert_eq!(body["answer"]["key"], body["key"], "{response:?}");
}

/// Answers that upstreams truncate, mix up or delay must not be passed on to callers.
#[rstest]
#[case::cut_at_once(Fault::TruncateAnswer(0))]
#[case::cut_in_the_head(Fault::TruncateAnswer(30))]
#[case::cut_in_the_body(Fault::TruncateAnswer(160))]
#[case::without_length(Fault::NoContentLength)]
#[case::of_another_request(Fault::WrongKey)]
#[case::twice(Fault::DuplicateAnswers)]
#[case::on_another_connection(Fault::MisdirectAnswers)]
#[case::garbage(Fault::Garbage)]
#[case::late(Fault::DelayAnswers(Duration::from_millis(1_300)))]
#[case::never(Fault::DropAnswers)]
#[case::closed_after_the_request(Fault::CloseAfterRequest)]
#[case::closed_before_the_request(Fault::CloseBeforeRequest)]
fn every_answer_is_complete_and_belongs_to_its_request(#[case] fault: Fault) {
    let cluster = TestCluster::start(ClusterOptions::default());
    cluster.wait_for_lending();
    let warm_up = Request::idempotent().work_ms(100);
    let warm_up: Vec<_> = (0..12).map(|_| warm_up.spawn(&cluster.client(0))).collect();
    for thread in warm_up {
        assert_own_answer(&thread.join().expect("no panic").expect("an answer"));
    }
    cluster.links.iter().for_each(|link| link.fault_established(fault));
    let keys: Vec<_> = (0..4).map(|number| key(&format!("whole-{number}"))).collect();
    // The requests run concurrently, so that an answer can arrive on another's connection.
    let at_most_once =
        keys.iter().map(|key| Request::at_most_once(key).work_ms(50).spawn(&cluster.client(0)));
    let idempotent = (0..4).map(|_| Request::idempotent().work_ms(50).spawn(&cluster.client(0)));
    let pending: Vec<_> = at_most_once.chain(idempotent).collect();
    for thread in pending {
        let response = thread.join().expect("no panic").expect("an answer");
        assert_eq!(response.outcome(), "done", "{response:?}");
        assert_own_answer(&response);
        assert!(response.elapsed < Duration::from_secs(6), "{response:?}");
    }
    for key in &keys {
        assert_eq!(cluster.starts(key), 1, "one start of {key}");
    }
}

/// A timed-out request leaves its answer on the connection; the next caller must not get it.
#[rstest]
fn a_connection_is_not_reused_after_a_timeout() {
    let cluster = TestCluster::start(ClusterOptions {
        standins: 1,
        entry_hosts: 1,
        ..ClusterOptions::default()
    });
    let late = Request::idempotent().work_ms(400).timeout_ms(200).send(&cluster.client(0));
    assert_eq!(late.outcome(), "unknown", "{late:?}");
    let before = cluster.links[0].accepted();
    eventually("the slot is free again", Duration::from_secs(5), || {
        let response = Request::idempotent().timeout_ms(300).send(&cluster.client(0));
        response.outcome() == "done"
            && response.reply.body["answer"]["key"] == response.reply.body["key"]
    });
    assert!(cluster.links[0].accepted() > before, "a new connection was opened");
}
