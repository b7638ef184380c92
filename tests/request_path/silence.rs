//! Established connections that go silent for good while new ones work.

use std::time::Duration;

use cactuslatch::config::{Limits, Timeouts};
use rstest::rstest;

use crate::support::key;
use crate::support::link::Fault;
use crate::support::path::{Ask, Path, Shape};

/// Opens several connections from host 0 to each stand-in, and leaves them idle.
fn open_connections(path: &Path) {
    let warm: Vec<_> =
        (0..12).map(|_| Ask::idempotent().work_ms(100).spawn(&path.client(0))).collect();
    for asked in warm {
        assert_eq!(asked.join().expect("no panic").expect("an answer").outcome(), "done");
    }
}

/// Guards against requests that are lost on a silent connection although fresh ones work.
#[rstest]
#[case::nothing_passes(Fault::Silent)]
#[case::answers_are_lost(Fault::SwallowAnswers)]
fn requests_survive_silent_connections(#[case] fault: Fault) {
    let path = Path::start(Shape::default());
    path.wait_for_lending();
    open_connections(&path);
    path.links.iter().for_each(|link| link.fault_established(fault));
    let keys: Vec<_> = (0..6).map(|number| key(&format!("silent-{number}"))).collect();
    let once = keys.iter().map(|key| Ask::once(key).timeout_ms(8_000).spawn(&path.client(0)));
    let repeatable = (0..6).map(|_| Ask::idempotent().timeout_ms(8_000).spawn(&path.client(0)));
    let asked: Vec<_> = once.chain(repeatable).collect();
    for asked in asked {
        let told = asked.join().expect("no panic").expect("an answer");
        assert_eq!(told.outcome(), "done", "{told:?}");
        assert!(told.took < Duration::from_secs(5), "well within the deadline: {told:?}");
    }
    for key in &keys {
        assert_eq!(path.starts(key), 1, "one start of {key}");
    }
}

/// Guards against requests that fail because more connections have gone silent than the retry
/// budget allows for: what never reached an upstream has put no load on it.
#[rstest]
fn silent_connections_need_no_retry_budget() {
    let limits = Limits { retry_budget_percent: 0, retry_floor_per_s: 0, ..Limits::default() };
    let path = Path::start(Shape { limits, ..Shape::default() });
    path.wait_for_lending();
    open_connections(&path);
    path.links.iter().for_each(|link| link.fault_established(Fault::Silent));
    let asked: Vec<_> = (0..12).map(|_| Ask::idempotent().spawn(&path.client(0))).collect();
    for asked in asked {
        let told = asked.join().expect("no panic").expect("an answer");
        assert_eq!(told.outcome(), "done", "{told:?}");
        assert!(told.took < Duration::from_secs(3), "one silent connection at most: {told:?}");
    }
}

/// Guards against an idle connection that is used although it has gone silent.
#[rstest]
fn an_idle_connection_is_probed_before_use() {
    let timeouts = Timeouts { idle_probe_ms: 100, connect_timeout_ms: 200, ..Timeouts::default() };
    let path = Path::start(Shape { timeouts, ..Shape::default() });
    open_connections(&path);
    path.links.iter().for_each(|link| link.fault_established(Fault::Silent));
    std::thread::sleep(Duration::from_millis(150));
    let told = Ask::idempotent().send(&path.client(0));
    assert_eq!(told.outcome(), "done", "{told:?}");
    assert!(told.took < Duration::from_millis(900), "found before the unanswered limit: {told:?}");
}

/// Guards against a connection that is kept for longer than its age limit.
#[rstest]
fn an_old_connection_is_replaced() {
    let timeouts = Timeouts { connection_age_ms: 200, ..Timeouts::default() };
    let path = Path::start(Shape { standins: 1, timeouts, ..Shape::default() });
    assert_eq!(Ask::idempotent().send(&path.client(0)).outcome(), "done");
    let young = path.links[0].accepted();
    assert_eq!(Ask::idempotent().send(&path.client(0)).outcome(), "done");
    assert_eq!(path.links[0].accepted(), young, "a young connection is used again");
    std::thread::sleep(Duration::from_millis(250));
    assert_eq!(Ask::idempotent().send(&path.client(0)).outcome(), "done");
    assert_eq!(path.links[0].accepted(), young + 1, "an old connection is replaced");
}
