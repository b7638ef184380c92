//! Jobs whose upstreams crash, through a fault of the job or for other causes.

use std::collections::BTreeMap;

use rstest::rstest;

use super::harness::{SimulatedCore, job, upstream};
use crate::scheduler::{Decision, Event, JobEnd, JobState, Scheduler};

/// Number of upstreams in a pool of one rack.
const UPSTREAMS: u32 = 16;

/// Number of starts that a job which crashes its upstreams may have.
const STARTS_MAX: usize = 5;

/// Rounds of crashes, more than any job that causes them may live through.
const ROUNDS: u32 = 8;

/// A pool whose upstreams crash and come back.
struct CrashingPool {
    core: SimulatedCore,
    incarnations: BTreeMap<u32, u64>,
}

impl CrashingPool {
    fn new() -> Self {
        let core = SimulatedCore::with_racks(1, UPSTREAMS);
        let incarnations = (0..UPSTREAMS).map(|position| (position, 1)).collect();
        Self { core, incarnations }
    }

    /// Crashes an upstream, which announces itself again at once.
    fn crash(&mut self, position: u32) {
        let incarnation = self.incarnations.entry(position).or_default();
        *incarnation += 1;
        let incarnation = *incarnation;
        self.core.announce(0, position, incarnation);
    }

    /// Returns the positions of a job's upstreams.
    fn positions(&self, name: &str) -> Vec<u32> {
        let position = |upstream: String| {
            upstream.strip_prefix("u0-").and_then(|number| number.parse().ok()).expect("a position")
        };
        self.core.upstreams(name).into_iter().map(position).collect()
    }

    fn is_waiting_or_placed(&self, name: &str) -> bool {
        !matches!(self.core.state(name), JobState::Ended(_))
    }

    /// Checks that the job `deadly` has failed after few enough starts.
    fn check_given_up(&self, starts: usize) {
        let state = self.core.state("deadly");
        assert!(matches!(state, JobState::Ended(JobEnd::Failed { .. })), "{state:?}");
        assert!(starts <= STARTS_MAX, "{starts} starts");
    }

    /// Replaces the scheduler by one that starts from its records, or from a snapshot.
    fn restart(&mut self, from_snapshot: bool) {
        let records =
            if from_snapshot { self.core.scheduler.snapshot() } else { self.core.records.clone() };
        let recovered = Scheduler::recover(records.iter().cloned(), self.core.now_ms);
        let mut next = SimulatedCore::new(recovered);
        next.now_ms = self.core.now_ms;
        next.records = records;
        self.core = next;
        for (position, incarnation) in self.incarnations.clone() {
            self.core.announce(0, position, incarnation);
        }
    }
}

/// Submits a job that crashes its upstreams, plays it, and checks that it is given up.
fn check_is_given_up(accelerators: u32, after_crash: impl Fn(&mut CrashingPool)) {
    let mut pool = CrashingPool::new();
    pool.core.submit(job("deadly", accelerators));
    let mut starts = 0;
    for _ in 0..ROUNDS {
        pool.core.run_ms(200);
        let positions = pool.positions("deadly");
        starts += usize::from(!positions.is_empty());
        for position in positions {
            pool.crash(position);
        }
        after_crash(&mut pool);
        pool.core.run_ms(10_000);
    }
    pool.check_given_up(starts);
}

/// Guards against a job that crashes one upstream after the other without end.
#[rstest]
#[case::part_of_an_upstream(1)]
#[case::a_gang_of_two_upstreams(16)]
fn a_job_that_crashes_its_upstreams_is_given_up(#[case] accelerators: u32) {
    check_is_given_up(accelerators, |_| {});
}

/// Guards against crashes that are not counted because the commit has no answer: the job's gang has
/// ended before the loss of the upstream is noticed.
#[test]
fn a_job_that_crashes_its_upstreams_before_they_answer_is_given_up() {
    let mut pool = CrashingPool::new();
    pool.core.submit(job("deadly", 1));
    let mut starts = 0;
    for _ in 0..ROUNDS {
        let stage = std::mem::take(&mut pool.core.inbox);
        starts += usize::from(!stage.is_empty());
        for message in stage {
            let Decision::Stage { gang, upstream, .. } = message else { continue };
            pool.core.step(Event::StageAnswered { gang, upstream, staged: true });
        }
        let crashed = pool.positions("deadly");
        pool.core.wait_ms(3_000);
        for position in crashed {
            // The job may have been placed again meanwhile, on another upstream.
            pool.core.step(Event::UpstreamLost { upstream: upstream(0, position) });
            pool.crash(position);
        }
        pool.core.inbox.retain(|message| matches!(message, Decision::Stage { .. }));
    }
    pool.check_given_up(starts);
}

/// Guards against crashes that are forgotten when the process starts again.
#[rstest]
#[case::from_its_records(false)]
#[case::from_a_snapshot(true)]
fn crashes_outlive_a_restart(#[case] from_snapshot: bool) {
    check_is_given_up(1, |pool| {
        pool.core.run_ms(1_000);
        pool.restart(from_snapshot);
    });
}

/// Guards against giving up jobs whose upstreams crash together with others, however often.
#[rstest]
#[case::of_a_busy_pool(&["a", "b", "c", "d"], 200)]
#[case::of_a_busy_pool_later(&["a", "b", "c", "d"], 8_000)]
#[case::of_an_idle_pool(&["a"], 200)]
#[case::of_an_idle_pool_later(&["a"], 8_000)]
fn jobs_outlive_outages(#[case] names: &[&str], #[case] run_ms: u64) {
    let mut pool = CrashingPool::new();
    for name in names {
        pool.core.submit(job(name, 8));
    }
    for _ in 0..ROUNDS {
        pool.core.run_ms(run_ms);
        for position in 0..UPSTREAMS {
            pool.crash(position);
            pool.core.run_ms(100);
        }
        pool.core.run_ms(10_000);
    }
    for name in names {
        assert!(pool.is_waiting_or_placed(name), "{name}: {:?}", pool.core.state(name));
    }
}

/// Guards against giving up a job that works beside one culprit after the other.
#[test]
fn a_neighbour_of_jobs_that_crash_their_upstream_goes_on() {
    let mut pool =
        CrashingPool { core: SimulatedCore::with_racks(1, 1), incarnations: [(0, 1)].into() };
    pool.core.submit(job("neighbour", 1));
    pool.core.run_ms(8_000);
    for round in 0..ROUNDS {
        let culprit = format!("culprit-{round}");
        pool.core.submit(job(&culprit, 1));
        pool.core.run_ms(200);
        pool.crash(0);
        pool.core.step(Event::JobCancelled { job: culprit.parse().expect("a name") });
        pool.core.run_ms(15_000);
    }
    assert!(pool.is_waiting_or_placed("neighbour"), "{:?}", pool.core.state("neighbour"));
}

/// Guards against taking an upstream that leaves as announced for one that its jobs have crashed.
#[test]
fn an_upstream_that_leaves_has_not_crashed() {
    let mut pool = CrashingPool::new();
    pool.core.submit(job("a", 1));
    for _ in 0..ROUNDS {
        pool.core.run_ms(200);
        for position in pool.positions("a") {
            let (upstream, incarnation) = (upstream(0, position), pool.incarnations[&position]);
            pool.core.step(Event::UpstreamLeaving { upstream, incarnation });
            pool.crash(position);
        }
        pool.core.run_ms(10_000);
    }
    assert!(pool.is_waiting_or_placed("a"), "{:?}", pool.core.state("a"));
}
