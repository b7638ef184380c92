//! Simulated hosts: run tasks for their actual run times and end them on orders and failures.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use rand::RngExt;
use rand::rngs::StdRng;

use super::conditions::{Conditions, FULL_RATE};
use super::lists::{Reads, Reported};
use super::load::{Request, SERVICE};
use super::runs::{Run, RunKey};
use super::stops::Discarded;
use crate::placement::{Host, Learned, ListedProgress, Progress, StopCause};
use crate::tasks::{
    Change, EndKind, EndRecord, Heartbeat, Incarnation, Resources, StartRecord, State, UnitId,
};

/// Time from the decision to start a run until it works.
const START_MS: u64 = 100;

/// Time from the decision to stop a run until it has ended.
pub(super) const STOP_MS: u64 = 200;

/// Probability that a run fails by itself.
const FAILURE_CHANCE: f64 = 0.02;

const RACK_HOSTS: usize = 8;

const CAPACITY: Resources =
    Resources { cpu_millicores: 128_000, memory_mb: 512_000, accelerators: 8 };

/// All hosts and what runs on them.
#[derive(Debug)]
pub(super) struct Hosts {
    count: usize,
    conditions: Conditions,
    /// Time up to which the work of the runs is counted.
    advanced_ms: u64,
    reads: Reads,
    /// Hosts on which a run has ended since the lists were last read.
    ended_on: BTreeSet<usize>,
    /// Runs that are done and were not listed as such yet.
    done: Vec<(RunKey, Run)>,
    lost: usize,
    /// Rises each time that lost hosts return.
    born_unix_ms: u64,
    runs: BTreeMap<RunKey, Run>,
    /// Saved work of units, which later runs need not repeat.
    saved_ms: HashMap<UnitId, u64>,
    /// Work that was done and lost, and the runs that lost it.
    pub(super) discarded: Discarded,
}

/// Number of data centres over which the hosts are spread.
const DATA_CENTRES: usize = 6;

/// Returns the name of a data centre.
pub(super) fn data_centre(number: usize) -> Arc<str> {
    format!("dc-{number}").into()
}

impl Hosts {
    pub(super) fn new(count: usize, conditions: Conditions) -> Self {
        Self {
            count,
            conditions,
            advanced_ms: 0,
            reads: Reads::new(count),
            ended_on: BTreeSet::new(),
            done: Vec::new(),
            lost: 0,
            born_unix_ms: 1,
            runs: BTreeMap::new(),
            saved_ms: HashMap::new(),
            discarded: Discarded::default(),
        }
    }

    fn incarnation(&self, number: usize) -> Incarnation {
        Incarnation { id: format!("host-{number:04}").into(), born_unix_ms: self.born_unix_ms }
    }

    fn register(&self, number: usize) -> Change {
        let Incarnation { id, born_unix_ms } = self.incarnation(number);
        let rack: Arc<str> = format!("rack-{}", number / RACK_HOSTS).into();
        Change::RegisterUpstream {
            heartbeat: Heartbeat {
                address: Arc::clone(&id),
                id,
                born_unix_ms,
                sequence: 1,
                service: SERVICE.into(),
                data_centre: data_centre(number * DATA_CENTRES / self.count),
                machine: None,
                draining: false,
                drain_remaining_ms: 0,
                cold_remaining_ms: 0,
                capacity: CAPACITY,
                labels: vec![Arc::clone(&rack)],
                rack,
            },
        }
    }

    /// Returns the commands that register all hosts.
    pub(super) fn register_all(&self) -> Vec<Change> {
        (0..self.count).map(|number| self.register(number)).collect()
    }

    /// Loses hosts or lets the lost ones return, and returns the commands that record it.
    pub(super) fn set_lost(&mut self, percent: usize) -> Vec<Change> {
        let lost = self.count * percent / 100;
        let before = std::mem::replace(&mut self.lost, lost);
        if lost > before {
            let gone: Vec<_> = (before..lost).map(|number| self.incarnation(number)).collect();
            for incarnation in &gone {
                self.lose(incarnation);
            }
            return gone
                .into_iter()
                .map(|incarnation| Change::RemoveUpstream { incarnation })
                .collect();
        }
        if lost < before {
            // Only lost hosts get a new incarnation, and the scenarios lose hosts only once.
            self.born_unix_ms += 1;
        }
        (lost..before).map(|number| self.register(number)).collect()
    }

    fn lose(&mut self, incarnation: &Incarnation) {
        let hit = self.runs.iter_mut().filter(|(_, run)| run.is_on(incarnation));
        let mut ended = Vec::new();
        for (key, run) in hit {
            run.members.retain(|(_, host)| host != incarnation);
            // The rest of a gang does no more work; the scheduler has to stop it.
            run.ends = (u64::MAX, EndKind::Broken);
            if run.members.is_empty() {
                ended.push(key.clone());
            }
        }
        for key in ended {
            self.remove(&key, 1);
        }
    }

    /// Begins a run; `saved` work of earlier runs is not repeated.
    pub(super) fn start(
        &mut self,
        start: &StartRecord,
        (request, expected_ms): (&Request, u64),
        now_ms: u64,
        rng: &mut StdRng,
    ) {
        let step = &request.spec.steps[0];
        let total_ms = request.run_ms[start.unit.unit as usize];
        let saved_ms = self.saved_ms.get(&start.unit).copied().unwrap_or(0);
        let left_ms = total_ms.saturating_sub(saved_ms).max(1);
        let working_ms = now_ms + START_MS;
        let ends = if rng.random_bool(FAILURE_CHANCE) {
            (rng.random_range(0..left_ms), EndKind::Failed)
        } else {
            (left_ms, EndKind::Done)
        };
        let run = Run {
            members: (0..).zip(start.incarnations.iter().cloned()).collect(),
            working_ms,
            work_ms: left_ms,
            ends,
            done: 0,
            rate: FULL_RATE,
            resumed_ms: saved_ms,
            kind: request.kind_of_work(),
            declared_ms: step.estimate_ms,
            reported: Reported::new(expected_ms),
            stops: None,
            checkpoints: step.checkpoints,
            weight_millicores: step.need.weight_millicores(),
        };
        self.runs.insert((start.unit.clone(), start.run), run);
    }

    /// Orders a run to stop.
    pub(super) fn stop(&mut self, unit: &UnitId, run: u32, cause: StopCause, now_ms: u64) {
        if let Some(run) = self.runs.get_mut(&(unit.clone(), run)) {
            run.stops.get_or_insert((now_ms + STOP_MS, cause));
        }
    }

    /// Returns the runs that were ordered to stop and have not ended.
    pub(super) fn stopping(&self) -> HashSet<RunKey> {
        let stopping = self.runs.iter().filter(|(_, run)| run.stops.is_some());
        stopping.map(|(key, _)| key.clone()).collect()
    }

    /// Counts the work of the runs since the last call.
    pub(super) fn advance(&mut self, now_ms: u64) {
        let from_ms = std::mem::replace(&mut self.advanced_ms, now_ms);
        let mut images: HashMap<Arc<str>, BTreeSet<Arc<str>>> = HashMap::new();
        for run in self.runs.values().filter(|run| run.kind.image.is_some()) {
            for (_, host) in &run.members {
                images.entry(Arc::clone(&host.id)).or_default().extend(run.kind.image.clone());
            }
        }
        let (conditions, count) = (self.conditions, self.count);
        for run in self.runs.values_mut() {
            let rate_on = |host: &Incarnation| {
                let beside = Conditions::rate_beside(run.kind.image.as_ref(), images.get(&host.id));
                conditions.speeds(host_number(host), count, from_ms).1 * beside / FULL_RATE
            };
            // A gang advances at the pace of its slowest member.
            let slowest = run.members.iter().map(|(_, host)| rate_on(host)).min();
            run.rate = slowest.unwrap_or(FULL_RATE);
            let worked_ms = now_ms.saturating_sub(from_ms.max(run.working_ms));
            run.done += worked_ms * run.rate;
        }
    }

    /// Sets what a scheduler that knows all knows of the hosts and images.
    pub(super) fn tell_all(&self, learned: &mut Learned, now_ms: u64) {
        if !self.conditions.are_hidden() {
            return;
        }
        for host in 0..self.count {
            let (usual, now) = self.conditions.speeds(host, self.count, now_ms);
            let usual_factor = usual as f64 / FULL_RATE as f64;
            let recent_factor = now as f64 / usual as f64;
            learned.assume_speed(&self.incarnation(host), (usual_factor, recent_factor), now_ms);
        }
        if let Some((one, other, factor)) = self.conditions.noisy_pair() {
            learned.assume_noisy(&one, &other, factor);
        }
    }

    /// Reads the lists that are due and returns what they show.
    pub(super) fn read_lists(&mut self, now_ms: u64) -> Vec<(Incarnation, Vec<ListedProgress>)> {
        let due = self.reads.due(&std::mem::take(&mut self.ended_on), now_ms);
        let done = std::mem::take(&mut self.done);
        let mut lists: BTreeMap<Incarnation, Vec<ListedProgress>> = BTreeMap::new();
        for host in &due {
            lists.insert(self.incarnation(*host), Vec::new());
        }
        let working = self.runs.iter_mut().filter(|(_, run)| run.working_ms <= now_ms);
        for (key, run) in working {
            let mut is_listed = false;
            for (_, host) in &run.members {
                let Some(list) = lists.get_mut(host) else { continue };
                if !list.iter().any(|listed| listed.unit == key.0) {
                    list.push(run.listed(key, false));
                }
                is_listed = true;
            }
            if is_listed {
                run.reported.record(run.percent(), now_ms);
            }
        }
        for (key, run) in &done {
            for (_, host) in &run.members {
                if let Some(list) = lists.get_mut(host) {
                    list.push(run.listed(key, true));
                }
            }
        }
        lists.into_iter().collect()
    }

    /// Returns what the leader knows of the progress of the runs.
    ///
    /// Without hidden conditions, and for a scheduler that knows all, the time left is the actual one.
    pub(super) fn progress(&self, now_ms: u64, knows_all: bool) -> HashMap<RunKey, Progress> {
        let knows_all = knows_all || !self.conditions.are_hidden();
        let progress = |run: &Run| Progress {
            unsaved_ms: run.worked_ms() - run.saved_ms(),
            left_ms: if knows_all {
                let left_ms = run.work_ms.saturating_sub(run.worked_ms());
                left_ms * FULL_RATE / run.rate.max(1) + run.working_ms.saturating_sub(now_ms)
            } else {
                run.reported.left_ms(now_ms)
            },
            seen_alive_ms: now_ms.saturating_sub(run.working_ms),
        };
        self.runs.iter().map(|(key, run)| (key.clone(), progress(run))).collect()
    }

    /// Ends the runs that are due and returns the commands that record it.
    pub(super) fn end_due(&mut self, now_ms: u64) -> Vec<Change> {
        let due = |run: &Run| {
            let (ends_after_ms, how) = run.ends;
            if now_ms >= run.working_ms && run.worked_ms() >= ends_after_ms {
                return Some(how);
            }
            let is_stopped = run.stops.is_some_and(|(stops_ms, _)| stops_ms <= now_ms);
            is_stopped.then_some(EndKind::Stopped)
        };
        let ended: Vec<_> =
            self.runs.iter().filter_map(|(key, run)| Some((key.clone(), due(run)?))).collect();
        let mut changes = Vec::new();
        for (key, how) in ended {
            let tasks = self.runs[&key].members.len() as u64;
            let run = if how == EndKind::Done {
                self.runs.remove(&key)
            } else {
                self.remove(&key, tasks)
            };
            let Some(run) = run else { continue };
            for (member, incarnation) in run.members.iter().cloned() {
                self.ended_on.insert(host_number(&incarnation));
                let task = key.0.task(member);
                let end = EndRecord { task, run: key.1, how, checkpoint: None };
                changes.push(Change::RecordEnds { incarnation, up_to: 0, ends: vec![end] });
            }
            if how == EndKind::Done {
                self.done.push((key, run));
            }
        }
        changes
    }

    /// Removes a run that did not finish, and counts its unsaved work as thrown away.
    fn remove(&mut self, key: &RunKey, tasks: u64) -> Option<Run> {
        let run = self.runs.remove(key)?;
        let saved_ms = run.saved_ms();
        let lost_ms = run.worked_ms() - saved_ms;
        let cause = match run.ends {
            (_, EndKind::Broken) => "upstream lost".to_owned(),
            (ends_after_ms, EndKind::Failed) if run.worked_ms() >= ends_after_ms => {
                "failed".to_owned()
            }
            _ => run.stops.map(|(_, cause)| cause.to_string()).unwrap_or_default(),
        };
        self.discarded.add(cause, lost_ms * tasks * run.weight_millicores / 1_000);
        *self.saved_ms.entry(key.0.clone()).or_default() += saved_ms;
        Some(run)
    }

    /// Returns the hosts of the state as input of a decision.
    pub(super) fn view(state: &State, closed_percent: usize) -> Vec<Host> {
        let closed = state.upstreams.len() * closed_percent / 100;
        let host = |(number, upstream)| Host::of(state, upstream, number >= closed);
        state.upstreams.values().enumerate().map(host).collect()
    }
}

/// Returns the number of a host.
fn host_number(host: &Incarnation) -> usize {
    host.id.rsplit('-').next().and_then(|number| number.parse().ok()).expect("made of a number")
}
