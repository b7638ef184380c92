//! Learning from the lists of upstreams: run times, speeds, and images that slow each other down.

use std::collections::HashSet;
use std::sync::Arc;

use smallvec::SmallVec;
use tracing::info;

use super::Leader;
use super::session::is_possible_clock;
use crate::cluster::upstream_calls::{ListedEnd, TaskLists};
use crate::placement::{Kind, Learned, ListRead, ListedProgress, SpellChange};
use crate::tasks::{EndKind, Incarnation, Job, State, StepSpec, TaskId, UnitId};

impl Leader {
    /// Learns from the lists of an upstream, before their ends change the state.
    pub(super) fn learn(&self, incarnation: &Incarnation, lists: &TaskLists) {
        if !is_possible_clock(lists.clock_ms) {
            return;
        }
        let inner = self.replica.lock();
        let runs = listed_progress(&inner.state, lists);
        let now_ms = inner.now_ms();
        let mut term_state = self.term_state();
        let super::TermState { learned, observer, .. } = &mut *term_state;
        // Decisions hold the lock of the replica while they read the figures, so nothing is copied.
        let learned = Arc::make_mut(learned);
        let pairs_before = learned.noisy_pair_count();
        let read = ListRead { upstream: incarnation, clock_ms: lists.clock_ms, runs: &runs };
        let change = observer.record(learned, &read, now_ms);
        match change {
            Some(SpellChange::Began) => {
                let pace = learned.speed(incarnation, now_ms).recent;
                info!(upstream = %incarnation.id, pace, "upstream has become slow");
            }
            Some(SpellChange::Ended) => {
                info!(upstream = %incarnation.id, "upstream is as fast as before");
            }
            None => {}
        }
        if learned.noisy_pair_count() != pairs_before {
            for (one, other, factor) in learned.noisy_pairs() {
                info!(%one, %other, factor, "images slow each other down");
            }
        }
    }

    /// Records how a run ended by itself, for the share of the runs of its kind that fail.
    pub(super) fn learn_end(&self, end: &ListedEnd) {
        let inner = self.replica.lock();
        let Some(kind) = kind_of(&inner.state, &end.task) else { return };
        let now_ms = inner.now_ms();
        let failed = end.how == EndKind::Failed;
        Arc::make_mut(&mut self.term_state().learned).record_end(&kind, failed, now_ms);
    }
}

/// Returns the units that an upstream lists, each one once.
///
/// Lasting tasks report no share of their work, and filling ones get a changing share of a processor;
/// neither says anything of an upstream.
fn listed_progress(state: &State, lists: &TaskLists) -> Vec<ListedProgress> {
    let running = lists.running.iter().map(|listed| (&listed.task, listed.run, listed.percent));
    let done = lists.ended.iter().filter(|end| end.how == EndKind::Done);
    let mut seen: HashSet<(UnitId, u32)> = HashSet::new();
    let mut units = Vec::with_capacity(lists.running.len());
    for (task, run, percent, is_done) in running
        .map(|(task, run, percent)| (task, run, percent, false))
        .chain(done.map(|end| (&end.task, end.run, 100, true)))
    {
        let Some((job, unit, member)) = state.find_task(task) else { continue };
        let step = &job.spec.steps[task.step as usize];
        if unit.run != run || step.lasting || step.fills {
            continue;
        }
        let Some(kind) = kind_of(state, task) else { continue };
        let id = UnitId {
            job: task.job.clone(),
            occurrence: task.occurrence,
            step: task.step,
            unit: if step.gang { 0 } else { task.index },
        };
        if unit.members().get(member as usize).is_none() || !seen.insert((id.clone(), run)) {
            continue;
        }
        let mut upstreams: SmallVec<[Incarnation; 2]> = SmallVec::new();
        for member in unit.members() {
            if !upstreams.contains(&member.incarnation) {
                upstreams.push(member.incarnation.clone());
            }
        }
        units.push(ListedProgress {
            unit: id,
            run,
            percent,
            kind,
            declared_ms: step.estimate_ms,
            is_remote: is_remote(state, step, &upstreams),
            upstreams,
            is_done,
        });
    }
    units
}

fn kind_of(state: &State, task: &TaskId) -> Option<Kind> {
    let (job, ..) = state.find_task(task)?;
    Some(Kind::of(state.queue_of(job)?, &job.spec.steps[task.step as usize]))
}

/// Returns whether a run is away from its data or in several racks, which makes it slower.
fn is_remote(state: &State, step: &StepSpec, upstreams: &[Incarnation]) -> bool {
    let rack = |upstream: &Incarnation| {
        state.upstreams.get(&upstream.id).map(|upstream| &upstream.heartbeat.rack)
    };
    let Some(first) = upstreams.first().and_then(rack) else { return true };
    let in_one_rack = upstreams.iter().all(|upstream| rack(upstream) == Some(first));
    step.data_rack.as_ref().is_some_and(|near| near != first || !in_one_rack)
        || step.same_rack && !in_one_rack
}

/// Returns the expected run time of a step, for the time that its runs have left.
pub(super) fn expected_ms(learned: &Learned, state: &State, job: &Job, step: &StepSpec) -> u64 {
    let queue = state.queue_of(job).filter(|_| learned.feeds.time_left);
    queue.map_or(step.estimate_ms, |queue| {
        learned.expected(&Kind::of(queue, step), step.estimate_ms).run_ms
    })
}

/// Returns the longest usual run time of a step; until it is known, the longer one of the declared and the
/// expected run time.
pub(super) fn usual_max_ms(learned: &Learned, state: &State, job: &Job, step: &StepSpec) -> u64 {
    let Some(queue) = state.queue_of(job) else { return step.estimate_ms };
    learned.usual_max_ms(&Kind::of(queue, step), step.estimate_ms)
}
