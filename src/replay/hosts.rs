//! Simulated hosts: run tasks for their actual run times and end them on orders and failures.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use rand::RngExt;
use rand::rngs::StdRng;

use super::load::{Request, SERVICE};
use super::stops::Discarded;
use crate::placement::{Host, Progress, StopCause};
use crate::tasks::{
    Change, EndKind, EndRecord, Heartbeat, Incarnation, Resources, StartRecord, State, UnitId,
};

/// Time from the decision to start a run until it works.
const START_MS: u64 = 100;

/// Time from the decision to stop a run until it has ended.
pub(super) const STOP_MS: u64 = 200;

/// Work between two checkpoints.
const CHECKPOINT_MS: u64 = 1_000;

/// Probability that a run fails by itself.
const FAILURE_CHANCE: f64 = 0.02;

const RACK_HOSTS: usize = 8;

const CAPACITY: Resources =
    Resources { cpu_millicores: 128_000, memory_mb: 512_000, accelerators: 8 };

/// A unit and the number of its run.
type RunKey = (UnitId, u32);

/// A run in execution.
#[derive(Debug)]
struct Run {
    /// Tasks that have not ended, by their index in the unit, and the host of each.
    members: Vec<(u32, Incarnation)>,
    /// When it begins to work.
    working_ms: u64,
    /// When its work would be done.
    done_at_ms: u64,
    /// When it ends if nothing stops it, and how.
    ends: (u64, EndKind),
    /// When it ends on an order to stop, and the cause of the order.
    stops: Option<(u64, StopCause)>,
    checkpoints: bool,
    /// Weight of one task in thousandths of a core.
    weight_millicores: u64,
}

impl Run {
    fn is_on(&self, host: &Incarnation) -> bool {
        self.members.iter().any(|(_, member)| member == host)
    }

    fn worked_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.working_ms)
    }

    /// Returns the worked time that a stop keeps.
    fn saved_ms(&self, now_ms: u64) -> u64 {
        let worked_ms = self.worked_ms(now_ms);
        if self.checkpoints { worked_ms - worked_ms % CHECKPOINT_MS } else { 0 }
    }
}

/// All hosts and what runs on them.
#[derive(Debug)]
pub(super) struct Hosts {
    count: usize,
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
    pub(super) fn new(count: usize) -> Self {
        Self {
            count,
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
    pub(super) fn set_lost(&mut self, percent: usize, now_ms: u64) -> Vec<Change> {
        let lost = self.count * percent / 100;
        let before = std::mem::replace(&mut self.lost, lost);
        if lost > before {
            let gone: Vec<_> = (before..lost).map(|number| self.incarnation(number)).collect();
            for incarnation in &gone {
                self.lose(incarnation, now_ms);
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

    fn lose(&mut self, incarnation: &Incarnation, now_ms: u64) {
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
            self.remove(&key, now_ms, 1);
        }
    }

    /// Begins a run; `saved` work of earlier runs is not repeated.
    pub(super) fn start(
        &mut self,
        start: &StartRecord,
        request: &Request,
        now_ms: u64,
        rng: &mut StdRng,
    ) {
        let step = &request.spec.steps[0];
        let total_ms = request.run_ms[start.unit.unit as usize];
        let saved_ms = self.saved_ms.get(&start.unit).copied().unwrap_or(0);
        let left_ms = total_ms.saturating_sub(saved_ms).max(1);
        let working_ms = now_ms + START_MS;
        let done_at_ms = working_ms + left_ms;
        let ends = if rng.random_bool(FAILURE_CHANCE) {
            (working_ms + rng.random_range(0..left_ms), EndKind::Failed)
        } else {
            (done_at_ms, EndKind::Done)
        };
        let run = Run {
            members: (0..).zip(start.incarnations.iter().cloned()).collect(),
            working_ms,
            done_at_ms,
            ends,
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

    /// Returns what the leader knows of the progress of the runs.
    pub(super) fn progress(&self, now_ms: u64) -> HashMap<RunKey, Progress> {
        let progress = |run: &Run| Progress {
            unsaved_ms: run.worked_ms(now_ms) - run.saved_ms(now_ms),
            left_ms: run.done_at_ms.saturating_sub(now_ms),
            seen_alive_ms: run.worked_ms(now_ms),
        };
        self.runs.iter().map(|(key, run)| (key.clone(), progress(run))).collect()
    }

    /// Ends the runs that are due and returns the commands that record it.
    pub(super) fn end_due(&mut self, now_ms: u64) -> Vec<Change> {
        let due = |run: &Run| {
            let (ends_ms, how) = run.ends;
            match run.stops {
                Some((stops_ms, _)) if stops_ms <= now_ms && stops_ms < ends_ms => {
                    Some(EndKind::Stopped)
                }
                _ => (ends_ms <= now_ms).then_some(how),
            }
        };
        let ended: Vec<_> =
            self.runs.iter().filter_map(|(key, run)| Some((key.clone(), due(run)?))).collect();
        let mut changes = Vec::new();
        for (key, how) in ended {
            let tasks = self.runs[&key].members.len() as u64;
            let run = if how == EndKind::Done {
                self.runs.remove(&key)
            } else {
                self.remove(&key, now_ms, tasks)
            };
            let Some(run) = run else { continue };
            for (member, incarnation) in run.members {
                let task = key.0.task(member);
                let end = EndRecord { task, run: key.1, how, checkpoint: None };
                changes.push(Change::RecordEnds { incarnation, up_to: 0, ends: vec![end] });
            }
        }
        changes
    }

    /// Removes a run that did not finish, and counts its unsaved work as thrown away.
    fn remove(&mut self, key: &RunKey, now_ms: u64, tasks: u64) -> Option<Run> {
        let run = self.runs.remove(key)?;
        let saved_ms = run.saved_ms(now_ms);
        let lost_ms = run.worked_ms(now_ms) - saved_ms;
        let cause = match run.ends {
            (_, EndKind::Broken) => "upstream lost".to_owned(),
            (ends_ms, EndKind::Failed) if ends_ms <= now_ms => "failed".to_owned(),
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
