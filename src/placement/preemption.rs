//! Making room for work that may displace other work.
//!
//! Load: borrowers fill the pool when jobs under a guarantee arrive. The runs with the least
//! unsaved work on the fewest hosts are stopped, and what they free is kept for the arriving unit.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, HashSet};

use super::order::Waiting;
use super::pool::Pool;
use super::room::{find_in, groups, tasks_for_host};
use super::{View, for_each_unit};
use crate::tasks::{Resources, UnitId};

/// Work that the stop of a lasting task counts as, in milliseconds: about the time it is away.
const LASTING_LOSS_MS: u64 = 10_000;

/// A run that may be stopped.
#[derive(Debug, Clone)]
pub(super) struct Victim {
    pub(super) unit: UnitId,
    pub(super) run: u32,
    pub(super) priority: u32,
    pub(super) need: Resources,
    pub(super) hosts: Vec<usize>,
    /// Unsaved work of all its tasks, in core-milliseconds.
    lost: u64,
    /// Time that a lasting task has run.
    pub(super) ran_ms: Option<u64>,
}

/// Runs that may be stopped, by host.
#[derive(Debug)]
pub(super) struct Victims {
    all: Vec<Victim>,
    on_host: Vec<Vec<usize>>,
    taken: HashSet<usize>,
}

impl Victims {
    /// Lists the runs that are not being stopped already.
    pub(super) fn of(view: &View<'_>, ending: &HashSet<(UnitId, u32)>) -> Self {
        let by_life: HashMap<_, usize> =
            view.hosts.iter().enumerate().map(|(number, host)| (&host.life, number)).collect();
        let mut victims = Self {
            all: Vec::new(),
            on_host: vec![Vec::new(); view.hosts.len()],
            taken: HashSet::new(),
        };
        for job in view.state.jobs.values() {
            let Some(queue) = view.state.queue_of(job) else { continue };
            if queue.priority == 0 {
                continue;
            }
            for_each_unit(job, |unit, state| {
                let run = (unit, state.run);
                let step = &job.spec.steps[run.0.step as usize];
                let stops = ending.contains(&run) || view.stopping.contains(&run);
                if !state.is_running() || stops || step.away_limit.is_some() {
                    return;
                }
                let members = state.members().iter().filter(|member| member.end.is_none());
                let hosts: Vec<_> =
                    members.filter_map(|member| by_life.get(&member.life).copied()).collect();
                let seen_ms = view.progress.get(&run).map_or(0, |seen| seen.unsaved_ms);
                let unsaved_ms = if step.lasting { LASTING_LOSS_MS } else { seen_ms };
                let lost = unsaved_ms * step.need.weight() / 1000 * hosts.len() as u64;
                let need = step.reserved();
                let priority = queue.priority;
                let ran_ms = step.lasting.then_some(seen_ms);
                let (unit, run) = run;
                victims.add(Victim { unit, run, priority, need, hosts, lost, ran_ms });
            });
        }
        victims
    }

    fn add(&mut self, victim: Victim) {
        let number = self.all.len();
        for host in victim.hosts.iter().copied().collect::<BTreeSet<_>>() {
            self.on_host[host].push(number);
        }
        self.all.push(victim);
    }

    /// Lists the runs that are still open to be stopped, with their numbers.
    pub(super) fn open(&self) -> impl Iterator<Item = (usize, &Victim)> {
        let all = self.all.iter().enumerate();
        all.filter(|(number, _)| !self.taken.contains(number))
    }

    pub(super) fn get(&self, number: usize) -> &Victim {
        &self.all[number]
    }

    /// Takes a run to be stopped, so that its capacity is free soon.
    pub(super) fn take(&mut self, number: usize, pool: &mut Pool) -> &Victim {
        self.taken.insert(number);
        let victim = &self.all[number];
        for &host in &victim.hosts {
            pool.vacate(host, &victim.need);
        }
        victim
    }
}

/// Reserves room for the unit and returns the runs to stop for it.
pub(super) fn make_room(
    view: &View<'_>,
    pool: &mut Pool,
    victims: &mut Victims,
    unit: &Waiting<'_>,
) -> Vec<(UnitId, u32)> {
    let soon = pool.soon.clone();
    if let Some(places) = find_in(view, pool, &soon, unit) {
        pool.reserve(unit, &places);
        return Vec::new();
    }
    let options = groups(view, pool, unit);
    let choices = options.iter().filter_map(|hosts| choose(view, pool, victims, unit, hosts));
    let Some(choice) = choices.min_by_key(|choice| choice.lost) else { return Vec::new() };
    let mut stops = Vec::with_capacity(choice.stopped.len());
    for number in choice.stopped {
        let victim = victims.take(number, pool);
        stops.push((victim.unit.clone(), victim.run));
    }
    pool.reserve(unit, &choice.places);
    stops
}

/// Places for a unit and what has to be stopped for them.
struct Choice {
    places: Vec<usize>,
    stopped: Vec<usize>,
    lost: u64,
}

/// Room for one more task on a host.
struct Slot {
    host: usize,
    lost: u64,
    stopped: Vec<usize>,
}

fn choose(
    view: &View<'_>,
    pool: &Pool,
    victims: &Victims,
    unit: &Waiting<'_>,
    hosts: &[usize],
) -> Option<Choice> {
    let wanted = unit.step.unit_size() as usize;
    let mut per_host: Vec<Vec<Slot>> =
        hosts.iter().map(|host| slots(view, pool, victims, unit, *host, wanted)).collect();
    let mut choice = Choice { places: Vec::new(), stopped: Vec::new(), lost: 0 };
    while choice.places.len() < wanted {
        let next = per_host.iter_mut().filter(|slots| !slots.is_empty());
        let cheapest = next.min_by_key(|slots| slots[0].lost)?;
        let slot = cheapest.remove(0);
        choice.places.push(slot.host);
        for number in slot.stopped {
            if !choice.stopped.contains(&number) {
                choice.lost += victims.all[number].lost;
                choice.stopped.push(number);
            }
        }
    }
    Some(choice)
}

/// Lists the room that a host can give, task by task, the cheapest first.
fn slots(
    view: &View<'_>,
    pool: &Pool,
    victims: &Victims,
    unit: &Waiting<'_>,
    host: usize,
    wanted: usize,
) -> Vec<Slot> {
    let mut free = pool.soon.clone();
    let mut candidates: Vec<_> = victims.on_host[host]
        .iter()
        .copied()
        .filter(|number| !victims.taken.contains(number))
        .filter(|number| victims.all[*number].priority > unit.queue.priority)
        .collect();
    candidates.sort_by_key(|number| {
        let victim = &victims.all[*number];
        (victim.lost, Reverse(victim.priority), Reverse(victim.ran_ms), *number)
    });
    let mut candidates = candidates.into_iter();
    let mut slots: Vec<Slot> = Vec::new();
    let mut pending = Slot { host, lost: 0, stopped: Vec::new() };
    while slots.len() < wanted {
        if tasks_for_host(view, pool, &free, unit, host) as usize > slots.len() {
            let room = std::mem::replace(&mut pending, Slot { host, lost: 0, stopped: Vec::new() });
            slots.push(room);
            continue;
        }
        let Some(number) = candidates.next() else { break };
        let victim = &victims.all[number];
        for _ in victim.hosts.iter().filter(|at| **at == host) {
            free[host].give(&victim.need);
        }
        pending.lost += victim.lost;
        pending.stopped.push(number);
    }
    slots
}
