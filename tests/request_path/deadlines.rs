//! A request never takes longer than its timeout by more than 100 ms.

use std::time::Duration;

use rstest::rstest;

use crate::support::key;
use crate::support::link::Fault;
use crate::support::path::{Ask, Path, Shape};

/// A short timeout, within the limits of single steps.
const SHORT_MS: u64 = 600;
/// A timeout that ends while the host asks about an unanswered attempt.
const DURING_QUESTION_MS: u64 = 1_300;
/// Time that a host may need beyond the timeout.
const MARGIN_MS: u64 = 100;
/// Tries; a host that overruns by design does so each time, a busy machine does not.
const TRIES: u32 = 2;

fn silence_control(path: &mut Path) {
    path.control_links.iter().for_each(|link| link.fault_all(Fault::Silent));
}

fn silence_upstreams(path: &mut Path) {
    path.links.iter().for_each(|link| link.fault_all(Fault::Silent));
}

fn swallow_answers(path: &mut Path) {
    path.links.iter().for_each(|link| link.fault_all(Fault::SwallowAnswers));
}

fn fill(path: &mut Path) {
    for number in 0..2 {
        (0..16).for_each(|_| drop(Ask::idempotent().work_ms(8_000).spawn(&path.client(number))));
    }
}

/// Guards against a step that waits for its own limit and not for the caller's.
#[rstest]
#[case::control_is_silent(silence_control, "north", SHORT_MS)]
#[case::upstreams_are_silent(silence_upstreams, "north", DURING_QUESTION_MS)]
#[case::answers_are_lost(swallow_answers, "north", DURING_QUESTION_MS)]
#[case::no_slot_is_free(fill, "north", SHORT_MS)]
#[case::owner_is_silent(|_: &mut Path| {}, "mute", SHORT_MS)]
#[case::owner_is_unreachable(|_: &mut Path| {}, "lost", SHORT_MS)]
fn a_request_ends_by_its_deadline(
    #[case] fault: impl FnOnce(&mut Path),
    #[case] owner: &str,
    #[case] timeout_ms: u64,
) {
    let mut path = Path::start(Shape::default());
    fault(&mut path);
    let mut took = [Duration::MAX; 2];
    for number in 0..TRIES {
        let key = key(&format!("timely-{number}")).replacen("north", owner, 1);
        let asks = [Ask::once(&key), Ask::idempotent()];
        for (took, ask) in took.iter_mut().zip(asks) {
            let told = ask.work_ms(5_000).timeout_ms(timeout_ms).send(&path.client(0));
            assert_ne!(told.outcome(), "", "an outcome: {told:?}");
            *took = told.took.min(*took);
        }
    }
    let limit = Duration::from_millis(timeout_ms + MARGIN_MS);
    assert!(took.iter().all(|took| *took <= limit), "once, idempotent: {took:?}");
}
