//! Established connections on which nothing arrives any more, while new ones work.

use std::time::Duration;

use cactuslatch::config::{Limits, Timeouts};
use rstest::rstest;

use crate::support::key;
use crate::support::link::Fault;
use crate::support::path::{ClusterOptions, Request, TestCluster};

/// Opens several connections from host 0 to each stand-in and leaves them idle.
fn open_connections(cluster: &TestCluster) {
    let warm_up: Vec<_> =
        (0..12).map(|_| Request::idempotent().work_ms(100).spawn(&cluster.client(0))).collect();
    for thread in warm_up {
        assert_eq!(thread.join().expect("no panic").expect("an answer").outcome(), "done");
    }
}

/// A request that is sent on a dead connection must succeed on a new one within its deadline.
#[rstest]
#[case::nothing_passes(Fault::DropAll)]
#[case::answers_are_lost(Fault::DropAnswers)]
fn requests_survive_silent_connections(#[case] fault: Fault) {
    let cluster = TestCluster::start(ClusterOptions::default());
    cluster.wait_for_lending();
    open_connections(&cluster);
    cluster.links.iter().for_each(|link| link.fault_established(fault));
    let keys: Vec<_> = (0..6).map(|number| key(&format!("silent-{number}"))).collect();
    let at_most_once = keys
        .iter()
        .map(|key| Request::at_most_once(key).timeout_ms(8_000).spawn(&cluster.client(0)));
    let idempotent =
        (0..6).map(|_| Request::idempotent().timeout_ms(8_000).spawn(&cluster.client(0)));
    let pending: Vec<_> = at_most_once.chain(idempotent).collect();
    for thread in pending {
        let response = thread.join().expect("no panic").expect("an answer");
        assert_eq!(response.outcome(), "done", "{response:?}");
        assert!(
            response.elapsed < Duration::from_secs(5),
            "well within the deadline: {response:?}"
        );
    }
    for key in &keys {
        assert_eq!(cluster.starts(key), 1, "one start of {key}");
    }
}

/// Requests that never reached an upstream have put no load on it, so their retries must not count
/// against the retry budget, however many connections are dead.
#[rstest]
fn silent_connections_need_no_retry_budget() {
    let limits = Limits { retry_budget_percent: 0, retry_floor_per_s: 0, ..Limits::default() };
    let cluster = TestCluster::start(ClusterOptions { limits, ..ClusterOptions::default() });
    cluster.wait_for_lending();
    open_connections(&cluster);
    cluster.links.iter().for_each(|link| link.fault_established(Fault::DropAll));
    let pending: Vec<_> =
        (0..12).map(|_| Request::idempotent().spawn(&cluster.client(0))).collect();
    for thread in pending {
        let response = thread.join().expect("no panic").expect("an answer");
        assert_eq!(response.outcome(), "done", "{response:?}");
        assert!(
            response.elapsed < Duration::from_secs(3),
            "one silent connection at most: {response:?}"
        );
    }
}

/// An idle connection must be probed, and replaced if it is dead, before a request is sent on it.
#[rstest]
fn an_idle_connection_is_probed_before_use() {
    let timeouts = Timeouts { idle_probe_ms: 100, connect_timeout_ms: 200, ..Timeouts::default() };
    let cluster = TestCluster::start(ClusterOptions { timeouts, ..ClusterOptions::default() });
    open_connections(&cluster);
    cluster.links.iter().for_each(|link| link.fault_established(Fault::DropAll));
    std::thread::sleep(Duration::from_millis(150));
    let response = Request::idempotent().send(&cluster.client(0));
    assert_eq!(response.outcome(), "done", "{response:?}");
    assert!(
        response.elapsed < Duration::from_millis(900),
        "found before the limit for unanswered requests: {response:?}"
    );
}

/// A connection that has reached its age limit must be replaced.
#[rstest]
fn an_old_connection_is_replaced() {
    let timeouts = Timeouts { connection_age_ms: 200, ..Timeouts::default() };
    let cluster =
        TestCluster::start(ClusterOptions { standins: 1, timeouts, ..ClusterOptions::default() });
    assert_eq!(Request::idempotent().send(&cluster.client(0)).outcome(), "done");
    let before = cluster.links[0].accepted();
    assert_eq!(Request::idempotent().send(&cluster.client(0)).outcome(), "done");
    assert_eq!(cluster.links[0].accepted(), before, "a connection within the age limit is reused");
    std::thread::sleep(Duration::from_millis(250));
    assert_eq!(Request::idempotent().send(&cluster.client(0)).outcome(), "done");
    assert_eq!(cluster.links[0].accepted(), before + 1, "an old connection is replaced");
}
