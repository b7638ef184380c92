//! What lists prove of a run that they do not name.

use rstest::rstest;

use crate::cluster::leader::unlisted::{AnsweredOrder, Coverage, Unlisted, judge};

const STOP_TIMEOUT_MS: u64 = 900;
const SENT_MS: u64 = 10_000;

const fn start(at_ms: u64) -> AnsweredOrder {
    AnsweredOrder::begun(at_ms)
}

const fn stop(at_ms: u64) -> AnsweredOrder {
    start(9_000).followed_by(AnsweredOrder::stopped(at_ms))
}

fn unreadable(for_ms: u64) -> Coverage {
    Coverage::Unreadable { for_ms }
}

/// Guards against a run that is started again because lists that show only a part do not name it, and
/// against one that waits for ever because they never show all.
#[rstest]
#[case::never_ordered(None, Coverage::Complete, Unlisted::ToBeStopped)]
#[case::begun_before(Some(start(9_000)), Coverage::Complete, Unlisted::NotStarted)]
#[case::begun_meanwhile(Some(start(10_000)), Coverage::Complete, Unlisted::Undecided)]
#[case::more_follows(Some(start(1_000)), Coverage::MoreFollows, Unlisted::Undecided)]
#[case::stopped_and_more_follows(Some(stop(1_000)), Coverage::MoreFollows, Unlisted::Undecided)]
#[case::never_ordered_and_more_follows(None, Coverage::MoreFollows, Unlisted::Undecided)]
#[case::hidden_for_a_moment(Some(start(1_000)), unreadable(3_000), Unlisted::Undecided)]
#[case::hidden_for_long(Some(start(1_000)), unreadable(3_001), Unlisted::ToBeStopped)]
#[case::hidden_and_stopping(Some(stop(9_100)), unreadable(9_000), Unlisted::Undecided)]
#[case::hidden_and_stopped(Some(stop(9_099)), unreadable(9_000), Unlisted::NotStarted)]
#[case::hidden_and_never_ordered(None, unreadable(9_000), Unlisted::ToBeStopped)]
fn only_complete_lists_prove_that_a_run_never_started(
    #[case] answered: Option<AnsweredOrder>,
    #[case] coverage: Coverage,
    #[case] expected: Unlisted,
) {
    assert_eq!(judge(answered, coverage, SENT_MS, STOP_TIMEOUT_MS), expected);
}
