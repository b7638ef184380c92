//! Starvation, learned ratios and failing upstreams.

use rstest::rstest;

use super::harness::{SimulatedCore, job, upstream};
use crate::scheduler::limits::{DRAIN_AFTER_MS, DRAIN_MIN_RUN_MS, PROBE_INTERVAL_MS};
use crate::scheduler::{Decision, Event, JobSpec, JobState, MemberEnd};

/// Keeps a pool full of small jobs, each of which runs for one to two times `run_ms`.
struct SmallJobLoad {
    core: SimulatedCore,
    spec: JobSpec,
    run_ms: u64,
    running: Vec<(String, u64)>,
    submitted: u32,
}

impl SmallJobLoad {
    /// Advances the time and submits a new job for each one that ended.
    fn run_ms(&mut self, ms: u64) {
        let end_ms = self.core.now_ms + ms;
        while self.core.now_ms < end_ms {
            self.end_due();
            while self.running.len() < 24 {
                self.submit_next();
            }
            self.core.run_ms(500);
        }
    }

    fn submit_next(&mut self) {
        self.submitted += 1;
        let name = format!("s{}", self.submitted);
        self.core.submit(JobSpec { name: name.parse().expect("name"), ..self.spec.clone() });
        // Ends of the first jobs are spread, so that the pool never becomes free at once.
        let offset_ms = u64::from(self.submitted) * 700 % self.run_ms;
        self.running.push((name, self.core.now_ms + offset_ms + self.run_ms));
    }

    fn end_due(&mut self) {
        let now_ms = self.core.now_ms;
        let due = self.running.extract_if(.., |(_, end_ms)| *end_ms <= now_ms);
        for (name, _) in due.collect::<Vec<_>>() {
            match self.core.state(&name) {
                JobState::Placed(gang) => {
                    let upstream = self.core.upstreams(&name)[0].parse().expect("name");
                    self.core.step(Event::MemberEnded {
                        gang,
                        upstream,
                        end: MemberEnd::Completed,
                    });
                }
                _ => self.running.push((name, now_ms + self.run_ms)),
            }
        }
    }
}

/// Guards against a large job that waits forever because small ones fill every gap. The bound is
/// the wait before a drain, the longest time for which work in the block may keep running, and 5 s
/// for two reviews, the reclaim and the start.
#[rstest]
#[case::work_that_cannot_be_stopped(false, 20_000, DRAIN_AFTER_MS + 40_000 + 5_000)]
#[case::work_with_checkpoints(true, 3_600_000, DRAIN_AFTER_MS + DRAIN_MIN_RUN_MS + 5_000)]
fn a_large_job_starts_within_a_bound(
    #[case] can_checkpoint: bool,
    #[case] run_ms: u64,
    #[case] bound_ms: u64,
) {
    let spec = JobSpec { can_checkpoint, ..job("s", 1) };
    let core = SimulatedCore::with_racks(1, 2);
    let mut load = SmallJobLoad { core, spec, run_ms, running: Vec::new(), submitted: 0 };
    load.run_ms(70_000);
    load.core.submit(job("large", 16));
    load.run_ms(bound_ms);
    assert_eq!(load.core.stage("large"), Some("running"));
}

/// Guards against a drain that stops work which cannot write a checkpoint, or which has run for
/// less than a minute.
#[rstest]
#[case(JobSpec { can_stop: true, ..job("old", 8) }, 600_000)]
#[case(JobSpec { can_checkpoint: true, ..job("old", 8) }, 0)]
fn a_drain_waits_for_work_that_it_would_destroy(#[case] old: JobSpec, #[case] age_ms: u64) {
    let mut core = SimulatedCore::with_racks(1, 1);
    let gang = core.start(old);
    core.run_ms(age_ms);
    core.submit(job("new", 8));
    core.run_ms(DRAIN_AFTER_MS - 1_000);
    assert_eq!((core.gang("old"), core.state("new")), (gang, JobState::Waiting));
    core.run_ms(5_000);
    assert_eq!(core.stage("old").is_none(), age_ms == 0, "a minute's work has a checkpoint");
}

/// Guards against more drains at once than the limit when many large jobs wait.
#[test]
fn at_most_two_blocks_are_drained() {
    let mut core = SimulatedCore::with_racks(4, 1);
    for i in 0..4 {
        core.start(JobSpec { can_checkpoint: false, ..job(&format!("old{i}"), 5) });
    }
    for i in 0..4 {
        core.submit(job(&format!("large{i}"), 8));
    }
    core.run_ms(DRAIN_AFTER_MS + 5_000);
    for i in 0..40 {
        core.submit(job(&format!("small{i}"), 1));
    }
    let placed =
        (0..40).filter(|i| matches!(core.state(&format!("small{i}")), JobState::Placed(_)));
    assert_eq!(placed.count(), 6, "two of four upstreams take small work that cannot be stopped");
}

/// Guards against expectations that follow the declared run time although earlier work of the kind
/// took longer, and against usage reports that count twice.
#[test]
fn ratios_are_learned_from_completed_gangs() {
    let mut core = SimulatedCore::with_racks(1, 1);
    let spec = |name: &str| JobSpec {
        kind: "plan".to_owned(),
        declared_run_ms: Some(1_000),
        ..job(name, 8)
    };
    for i in 0..40 {
        let gang = core.start(spec(&format!("j{i}")));
        core.run_ms(4_000);
        for (sequence, used_ms) in [(2, 16_000), (2, 32_000), (1, 32_000)] {
            core.step(Event::UsageReported { gang, sequence, used_ms });
        }
        let end = MemberEnd::Completed;
        core.step(Event::MemberEnded { gang, upstream: upstream(0, 0), end });
    }
    core.submit(spec("next"));
    let explanation = core.scheduler.explain(&"next".parse().expect("name"), core.now_ms);
    let explanation = explanation.expect("known job");
    assert_eq!(explanation.expected_run_ms, Some(4_000));
    assert_eq!(explanation.expected_use, Some(0.5));
}

fn fail_member(core: &mut SimulatedCore, name: &str) {
    let (gang, upstream) = (core.gang(name), core.upstreams(name)[0].parse().expect("name"));
    core.step(Event::MemberEnded { gang, upstream, end: MemberEnd::Failed });
    core.run_ms(1_500);
}

/// Lets three jobs fail on the upstream `target` and returns the number of failures.
fn fail_three_jobs_on(core: &mut SimulatedCore, target: &str) -> usize {
    let mut failed = 0;
    for i in 0..400 {
        let name = format!("{target}-{i}");
        core.start(job(&name, 8));
        if core.upstreams(&name) == [target] {
            fail_member(core, &name);
            failed += 1;
        }
        if failed == 3 {
            break;
        }
    }
    for i in 0..400 {
        core.step(Event::JobCancelled { job: format!("{target}-{i}").parse().expect("name") });
    }
    core.run_ms(2_000);
    failed
}

/// Guards against new work on an upstream where every job fails, its release without a successful
/// probe, and failures that count against the jobs.
#[test]
fn a_failing_upstream_is_kept_away_until_a_probe_succeeds() {
    let mut core = SimulatedCore::with_racks(1, 10);
    assert_eq!(fail_three_jobs_on(&mut core, "u0-0"), 3);
    let place_ten = |core: &mut SimulatedCore, prefix: &str| {
        (0..10).for_each(|i| core.submit(job(&format!("{prefix}{i}"), 8)));
        core.answer_all();
        let waiting = (0..10).filter(|i| core.state(&format!("{prefix}{i}")) == JobState::Waiting);
        waiting.count()
    };
    assert_eq!(place_ten(&mut core, "a"), 1);
    let healthy = |healthy| Event::ProbeAnswered { upstream: upstream(0, 0), healthy };
    core.wait_ms(PROBE_INTERVAL_MS);
    assert!(core.inbox.contains(&Decision::Probe { upstream: upstream(0, 0) }));
    core.step(healthy(false));
    assert_eq!(core.upstreams("a9"), [""; 0]);
    core.step(healthy(true));
    assert_eq!(core.upstreams("a9"), ["u0-0"]);
}

/// Guards against quarantine of the whole pool when jobs fail because of a fault outside it.
#[test]
fn at_most_a_tenth_of_the_pool_is_in_quarantine() {
    let mut core = SimulatedCore::with_racks(1, 10);
    fail_three_jobs_on(&mut core, "u0-0");
    fail_three_jobs_on(&mut core, "u0-1");
    (0..10).for_each(|i| core.submit(job(&format!("a{i}"), 8)));
    let placed = (0..10).filter(|i| matches!(core.state(&format!("a{i}")), JobState::Placed(_)));
    assert_eq!(placed.count(), 9);
}

/// Guards against a pause after a refusal that never ends because the upstream started again.
#[test]
fn a_restart_ends_the_pause_of_an_upstream() {
    let mut core = SimulatedCore::with_racks(1, 1);
    core.submit(job("a", 8));
    let gang = core.gang("a");
    core.step(Event::StageAnswered { gang, upstream: upstream(0, 0), staged: false });
    core.announce(0, 0, 2);
    core.run_ms(2_000);
    assert_eq!(core.stage("a"), Some("running"));
}
