//! Jobs that run several times, while the wall clock jumps.

use std::sync::Arc;

use rstest::rstest;

use super::pool_view::{Inputs, decide_and_start, starts};
use crate::tasks::tests::sample::{Sample, job_id, spec, step};
use crate::tasks::{Change, EndKind, JobSpec, Repeat};

const FIRST_UNIX_MS: u64 = 1_000_000;
const INTERVAL_MS: u64 = 2_000;

fn sample() -> Sample {
    let mut sample = Sample::with_hosts(4);
    let repeat = Repeat { times: 3, first_unix_ms: FIRST_UNIX_MS, interval_ms: INTERVAL_MS };
    let spec = JobSpec { repeat: Some(repeat), ..spec(vec![step(1, 1)]) };
    sample.apply(Change::Accept {
        id: job_id(1),
        queue: "normal".into(),
        organisation: Some("north".into()),
        spec: Arc::new(spec),
    });
    sample
}

fn started_at(sample: &mut Sample, unix_ms: u64) -> Vec<String> {
    let inputs = Inputs { unix_ms, ..Inputs::default() };
    starts(&decide_and_start(sample, &inputs))
}

/// Guards against an occurrence that starts before it is due.
#[rstest]
#[case::before(FIRST_UNIX_MS - 1, 0)]
#[case::first(FIRST_UNIX_MS, 1)]
#[case::second(FIRST_UNIX_MS + INTERVAL_MS, 2)]
#[case::all(FIRST_UNIX_MS + 10 * INTERVAL_MS, 3)]
fn occurrences_start_when_they_are_due(#[case] unix_ms: u64, #[case] expected: usize) {
    assert_eq!(started_at(&mut sample(), unix_ms).len(), expected);
}

/// Guards against a second run of an occurrence after the clock has jumped back over its due time.
#[test]
fn a_clock_that_jumps_back_starts_nothing_again() {
    let mut sample = sample();
    assert_eq!(started_at(&mut sample, FIRST_UNIX_MS + INTERVAL_MS).len(), 2);
    sample.end(&job_id(1), 0, 1, 0, EndKind::Done);
    assert!(started_at(&mut sample, FIRST_UNIX_MS - INTERVAL_MS).is_empty());
    assert!(started_at(&mut sample, FIRST_UNIX_MS).is_empty());
    let third = started_at(&mut sample, FIRST_UNIX_MS + 2 * INTERVAL_MS);
    insta::assert_snapshot!(third.join("\n"), @"0000000000000001.2.0.0 run 1: host-00");
}
