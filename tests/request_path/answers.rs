//! A caller gets the whole answer to its own request and never another's.

use std::time::Duration;

use rstest::rstest;

use crate::support::link::Fault;
use crate::support::path::{Ask, Path, Shape, Told};
use crate::support::{eventually, key};

fn assert_own_answer(told: &Told) {
    let body = &told.reply.body;
    assert_eq!(body["answer"]["key"], body["key"], "{told:?}");
}

/// Guards against an answer that is cut, mixed up or late and is passed on all the same.
#[rstest]
#[case::cut_at_once(Fault::CutAnswer(0))]
#[case::cut_in_the_head(Fault::CutAnswer(30))]
#[case::cut_in_the_body(Fault::CutAnswer(160))]
#[case::without_length(Fault::NoLength)]
#[case::of_another_request(Fault::OtherIdentity)]
#[case::twice(Fault::RepeatAnswers)]
#[case::in_swapped_places(Fault::SwapAnswers)]
#[case::garbage(Fault::Garbage)]
#[case::late(Fault::DelayAnswers(Duration::from_millis(1_300)))]
#[case::never(Fault::SwallowAnswers)]
#[case::closed_after_the_request(Fault::CloseAfterRequest)]
#[case::closed_before_the_request(Fault::CloseBeforeRequest)]
fn every_answer_is_whole_and_the_callers_own(#[case] fault: Fault) {
    let path = Path::start(Shape::default());
    path.wait_for_lending();
    let warm = Ask::idempotent().work_ms(100);
    let warm: Vec<_> = (0..12).map(|_| warm.spawn(&path.client(0))).collect();
    for asked in warm {
        assert_own_answer(&asked.join().expect("no panic").expect("an answer"));
    }
    path.links.iter().for_each(|link| link.fault_established(fault));
    let keys: Vec<_> = (0..4).map(|number| key(&format!("whole-{number}"))).collect();
    // They run at the same time, so that answers can change places.
    let once = keys.iter().map(|key| Ask::once(key).work_ms(50).spawn(&path.client(0)));
    let repeatable = (0..4).map(|_| Ask::idempotent().work_ms(50).spawn(&path.client(0)));
    let asked: Vec<_> = once.chain(repeatable).collect();
    for asked in asked {
        let told = asked.join().expect("no panic").expect("an answer");
        assert_eq!(told.outcome(), "done", "{told:?}");
        assert_own_answer(&told);
        assert!(told.took < Duration::from_secs(6), "{told:?}");
    }
    for key in &keys {
        assert_eq!(path.starts(key), 1, "one start of {key}");
    }
}

/// Guards against the late answer of a timed-out request that reaches the next caller.
#[rstest]
fn a_connection_that_timed_out_is_not_used_again() {
    let path = Path::start(Shape { standins: 1, entry_hosts: 1, ..Shape::default() });
    let late = Ask::idempotent().work_ms(400).timeout_ms(200).send(&path.client(0));
    assert_eq!(late.outcome(), "unknown", "{late:?}");
    let before = path.links[0].accepted();
    eventually("the slot is free again", Duration::from_secs(5), || {
        let told = Ask::idempotent().timeout_ms(300).send(&path.client(0));
        told.outcome() == "done" && told.reply.body["answer"]["key"] == told.reply.body["key"]
    });
    assert!(path.links[0].accepted() > before, "a fresh connection was opened");
}
