//! Crashes of upstreams, as evidence about the work that ran there.
//!
//! A piece of work may crash each upstream that starts it. Who lets lost work start again records
//! the losses here, so that what is known of them outlives the process, and asks [`verdict`] before
//! the next start.

mod evidence;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

pub(crate) use evidence::{Verdict, count, large_outage_crashes, needs_probation, verdict};

/// Time for which a run must have been seen alive to have survived its start.
pub(crate) const SURVIVED_START_MS: u64 = 500;

/// Time within which upstreams that are lost together are last heard of: they are polled every 2 s.
pub(crate) const OUTAGE_SPREAD_MS: u64 = 2_500;

/// Time for which an upstream that crashes again counts as unstable.
const UNSTABLE_MS: u64 = 60_000;

/// Time after which a crash says nothing about a subject any more.
const FORGET_AFTER_MS: u64 = 3_600_000;

/// Maximum number of crashes that are kept for a subject.
const CRASHES_KEPT_MAX: usize = 16;

/// A piece of work that starts again after a loss, and the job that it belongs to.
pub trait Subject: Ord + Clone {
    type Job: Ord + Clone;

    fn job(&self) -> &Self::Job;
}

/// A run that was lost when its upstream crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun<S> {
    pub(crate) subject: S,
    /// Number of the run; a run is counted once.
    pub(crate) run: u64,
    /// For how long it was seen alive; `None` if it may not have started.
    pub(crate) seen_alive_ms: Option<u64>,
}

impl<S> CrashedRun<S> {
    fn survived_start(&self) -> bool {
        self.seen_alive_ms.is_some_and(|alive_ms| alive_ms >= SURVIVED_START_MS)
    }
}

/// An upstream that has crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostUpstream {
    pub(crate) name: Arc<str>,
    pub(crate) incarnation: u64,
    /// Address or name under which its successor comes back.
    pub(crate) address: Arc<str>,
    /// When it was last heard of.
    pub(crate) heard_ms: u64,
}

/// A crash of an upstream under a run of a subject.
#[expect(clippy::struct_excessive_bools, reason = "independent observations")]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    run: u64,
    /// When it was recorded.
    recorded_ms: u64,
    /// When the upstream was last heard of.
    heard_ms: u64,
    /// Whether the run is known to have started.
    started: bool,
    survived_start: bool,
    /// Whether a run of another job on the upstream had not survived its start, either.
    others_suspect: bool,
    /// Whether the upstream had crashed shortly before without the job.
    upstream_unstable: bool,
    elsewhere: Elsewhere,
}

/// Upstreams without a subject's job that crashed at about the same time as the subject's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Elsewhere {
    crashes: u32,
    /// How many of them had no run that was just starting, so that no run explains their crash.
    unexplained: u32,
}

impl Elsewhere {
    fn add(&mut self, is_explained: bool) {
        self.crashes += 1;
        self.unexplained += u32::from(!is_explained);
    }
}

/// A crash of an upstream, with the jobs that ran there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct UpstreamCrash<J> {
    upstream: LostUpstream,
    recorded_ms: u64,
    jobs: SmallVec<[J; 4]>,
    /// Whether some run there had not survived its start, which may have caused the crash.
    is_explained: bool,
}

/// Crashes of one subject, in the order in which they were recorded.
pub type Crashes = SmallVec<[Crash; 2]>;

/// Crashes of upstreams, and of the runs that were lost with them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory<S: Ord, J> {
    by_subject: BTreeMap<S, Crashes>,
    /// Recent crashes of upstreams.
    upstreams: VecDeque<UpstreamCrash<J>>,
}

impl<S: Ord, J> Default for CrashHistory<S, J> {
    fn default() -> Self {
        Self { by_subject: BTreeMap::new(), upstreams: VecDeque::new() }
    }
}

impl<S: Subject<Job = J>, J: Ord + Clone> CrashHistory<S, J> {
    /// Records a crash for the runs that it may have ended; returns false if it is known.
    ///
    /// Only subjects for which `is_kept` returns true are kept.
    pub(crate) fn record(
        &mut self,
        upstream: LostUpstream,
        runs: &[CrashedRun<S>],
        now_ms: u64,
        is_kept: impl Fn(&S) -> bool,
    ) -> bool {
        let is_same = |known: &LostUpstream| {
            known.name == upstream.name && known.incarnation == upstream.incarnation
        };
        if self.upstreams.iter().any(|crash| is_same(&crash.upstream)) {
            return false;
        }
        let mut jobs: SmallVec<[J; 4]> = runs.iter().map(|run| run.subject.job().clone()).collect();
        jobs.sort();
        jobs.dedup();
        let is_explained = runs.iter().any(|run| !run.survived_start());
        let crash = UpstreamCrash { upstream, recorded_ms: now_ms, jobs, is_explained };
        self.count_elsewhere(&crash);
        for run in runs.iter().filter(|run| is_kept(&run.subject)) {
            let others_suspect = runs
                .iter()
                .any(|other| other.subject.job() != run.subject.job() && !other.survived_start());
            self.add(run, &crash.upstream, others_suspect, now_ms);
        }
        self.upstreams.retain(|known| now_ms.saturating_sub(known.recorded_ms) <= UNSTABLE_MS);
        self.upstreams.push_back(crash);
        true
    }

    fn add(
        &mut self,
        run: &CrashedRun<S>,
        upstream: &LostUpstream,
        others_suspect: bool,
        now_ms: u64,
    ) {
        let mut elsewhere = Elsewhere::default();
        let mut upstream_unstable = false;
        let job = run.subject.job();
        for other in self.upstreams.iter().filter(|other| !other.jobs.contains(job)) {
            let known = &other.upstream;
            if known.is_lost_with(upstream) {
                elsewhere.add(other.is_explained);
            }
            upstream_unstable |= known.address == upstream.address
                && upstream.heard_ms.saturating_sub(known.heard_ms) <= UNSTABLE_MS
                && !other.is_explained;
        }
        let crash = Crash {
            run: run.run,
            recorded_ms: now_ms,
            heard_ms: upstream.heard_ms,
            started: run.seen_alive_ms.is_some(),
            survived_start: run.survived_start(),
            others_suspect,
            upstream_unstable,
            elsewhere,
        };
        let crashes = self.by_subject.entry(run.subject.clone()).or_default();
        crashes.retain(|known| now_ms.saturating_sub(known.recorded_ms) <= FORGET_AFTER_MS);
        if crashes.iter().any(|known| known.run == crash.run) {
            return;
        }
        if crashes.len() == CRASHES_KEPT_MAX {
            crashes.remove(0);
        }
        crashes.push(crash);
    }

    /// Counts a crash for the subjects of other jobs whose upstreams were lost at about the same
    /// time.
    fn count_elsewhere(&mut self, crash: &UpstreamCrash<J>) {
        for (subject, crashes) in &mut self.by_subject {
            if crash.jobs.contains(subject.job()) {
                continue;
            }
            for known in crashes.iter_mut() {
                if known.heard_ms.abs_diff(crash.upstream.heard_ms) <= OUTAGE_SPREAD_MS {
                    known.elsewhere.add(crash.is_explained);
                }
            }
        }
    }

    /// Returns the crashes of upstreams under a subject.
    pub(crate) fn of(&self, subject: &S) -> &[Crash] {
        self.by_subject.get(subject).map_or(&[], SmallVec::as_slice)
    }

    /// Iterates over the subjects under which upstreams have crashed.
    pub(crate) fn subjects(&self) -> impl Iterator<Item = (&S, &Crashes)> {
        self.by_subject.iter()
    }

    /// Returns whether no upstream has crashed under any subject.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_subject.is_empty()
    }

    /// Drops the crashes of all subjects but some.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&S) -> bool) {
        self.by_subject.retain(|subject, _| is_kept(subject));
    }
}

impl LostUpstream {
    fn is_lost_with(&self, other: &Self) -> bool {
        self.heard_ms.abs_diff(other.heard_ms) <= OUTAGE_SPREAD_MS
    }
}
