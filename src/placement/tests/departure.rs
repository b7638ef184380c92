//! Which runs leave a draining upstream.

use rstest::rstest;

use crate::placement::must_move;
use crate::tasks::StepSpec;
use crate::tasks::tests::sample::step;

/// Guards against runs that are lost with an upstream although they could go on elsewhere, and against work
/// that is thrown away although it may end in time.
#[rstest]
#[case::lasting(StepSpec { lasting: true, ..step(1, 1) }, Some(0), true)]
#[case::resumes(StepSpec { checkpoints: true, ..step(1, 1) }, Some(1_001), true)]
#[case::resumes_and_ends_in_time(StepSpec { checkpoints: true, ..step(1, 1) }, Some(1_000), false)]
#[case::resumes_and_was_not_seen(StepSpec { checkpoints: true, ..step(1, 1) }, None, true)]
#[case::starts_anew(step(1, 1), Some(60_000), false)]
fn runs_that_lose_nothing_leave(
    #[case] step: StepSpec,
    #[case] left_ms: Option<u64>,
    #[case] expected: bool,
) {
    assert_eq!(must_move(&step, left_ms, 1_000), expected);
}
