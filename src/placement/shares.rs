//! Shares of organisations under scarcity: weighted max-min fairness over the dominant resource.
//!
//! Load pattern: one organisation sends many times its share. Within a priority and timeliness class,
//! work beyond its fair part goes after the work of the others, and the forecast of the others does not
//! count it. While all work fits, nobody is beyond its part and the order is unchanged.
//!
//! In the order, what an organisation runs now counts; in the forecast, what it had in the last seconds
//! (`tasks/attained.rs`). What its guarantee covers does not count.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::View;
use crate::tasks::{ATTAINED_DECAY_MS, Configuration, Organisation, Usage};

/// The whole capacity of a service; shares are in millionths of it.
const WHOLE: u64 = 1_000_000;

/// What an organisation has attained at a service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Service {
    in_use: Usage,
    /// Usage multiplied by milliseconds, decaying.
    pub(super) history: Usage,
}

/// Service by name of the service and of the organisation; that of public queues is empty.
type ServiceKey = (Arc<str>, Arc<str>);

/// Returns what organisations have attained beyond their guarantees.
pub(super) fn attained(view: &View<'_>) -> HashMap<ServiceKey, Service> {
    let mut by_key: HashMap<ServiceKey, Service> = HashMap::new();
    for ((organisation, service, urgent), attained) in &view.state.attained {
        let guaranteed = match (&view.state.configuration, urgent) {
            (Some(configuration), true) => guaranteed_accelerators(configuration, organisation),
            _ => 0,
        };
        let key = (Arc::clone(service), Arc::clone(organisation));
        let known = by_key.entry(key).or_default();
        known.in_use.add(beyond(attained.in_use, guaranteed));
        let history = attained.history_at(view.now_ms);
        known.history.add(beyond(history, guaranteed.saturating_mul(ATTAINED_DECAY_MS)));
    }
    by_key
}

/// Returns the weight of an organisation; one that is not configured has the default.
pub(super) fn weight(configuration: Option<&Configuration>, organisation: &str) -> u64 {
    let known = configuration.and_then(|configuration| find(configuration, organisation));
    known.map_or(Organisation::DEFAULT_WEIGHT, |known| known.weight).max(1).into()
}

fn find<'a>(configuration: &'a Configuration, organisation: &str) -> Option<&'a Organisation> {
    configuration.organisations.iter().find(|known| *known.name == *organisation)
}

fn guaranteed_accelerators(configuration: &Configuration, organisation: &str) -> u64 {
    find(configuration, organisation).map_or(0, |known| known.guaranteed.accelerators.into())
}

/// Returns the part of a usage that some accelerators do not cover.
fn beyond(usage: Usage, covered: u64) -> Usage {
    let accelerators = usage.accelerators.saturating_sub(covered);
    let cpu_millicores = match usage.accelerators {
        0 => usage.cpu_millicores,
        // Processors are covered together with the accelerators that they belong to.
        all => scaled(usage.cpu_millicores, accelerators, all),
    };
    Usage { cpu_millicores, accelerators }
}

/// Returns `value * numerator / denominator` without overflow.
pub(super) fn scaled(value: u64, numerator: u64, denominator: u64) -> u64 {
    let product = u128::from(value) * u128::from(numerator);
    u64::try_from(product / u128::from(denominator.max(1))).unwrap_or(u64::MAX)
}

/// What an organisation has of a service, in thousandths of its capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ShareFigures {
    pub(crate) service: Arc<str>,
    /// Empty for public queues.
    pub(crate) organisation: Arc<str>,
    /// What it uses, beyond its guarantee.
    pub(crate) used_permille: u64,
    /// Its fair part, if the work that waits exceeds the capacity.
    pub(crate) fair_permille: Option<u64>,
}

/// One organisation at one service.
#[derive(Debug)]
struct Entry {
    service: usize,
    weight: u64,
    used: Usage,
    /// What waits, by priority.
    demand: BTreeMap<u32, Usage>,
}

/// Shares of the organisations at all services during one decision.
#[derive(Debug, Default)]
pub(super) struct Shares {
    /// Capacity of each service.
    capacities: Vec<Usage>,
    services: HashMap<Arc<str>, usize>,
    entries: Vec<Entry>,
    index: HashMap<ServiceKey, ShareId>,
}

/// Number of an organisation at a service, valid for one decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShareId(usize);

impl Shares {
    pub(super) fn of(view: &View<'_>) -> Self {
        let mut shares = Self::default();
        for host in view.hosts.iter().filter(|host| host.takes_work) {
            let service = shares.service(&host.service);
            shares.capacities[service].add(Usage::of(&host.capacity));
        }
        for ((service, organisation), attained) in attained(view) {
            let id = shares.id(view, &service, &organisation);
            shares.entries[id.0].used = attained.in_use;
        }
        shares
    }

    fn service(&mut self, name: &Arc<str>) -> usize {
        if let Some(known) = self.services.get(name) {
            return *known;
        }
        self.capacities.push(Usage::default());
        self.services.insert(Arc::clone(name), self.capacities.len() - 1);
        self.capacities.len() - 1
    }

    /// Returns the number of an organisation at a service.
    pub(super) fn id(
        &mut self,
        view: &View<'_>,
        service: &Arc<str>,
        organisation: &Arc<str>,
    ) -> ShareId {
        let key = (Arc::clone(service), Arc::clone(organisation));
        if let Some(known) = self.index.get(&key) {
            return *known;
        }
        let service = self.service(service);
        let weight = weight(view.state.configuration.as_deref(), organisation);
        let (used, demand) = (Usage::default(), BTreeMap::new());
        self.entries.push(Entry { service, weight, used, demand });
        let id = ShareId(self.entries.len() - 1);
        self.index.insert(key, id);
        id
    }

    /// Counts work that waits.
    pub(super) fn add_demand(&mut self, id: ShareId, priority: u32, need: Usage) {
        self.entries[id.0].demand.entry(priority).or_default().add(need);
    }

    /// Returns the fair parts of what a priority and the higher ones ask for.
    pub(super) fn fill(self) -> Filling {
        let priorities: Vec<u32> =
            self.entries.iter().flat_map(|entry| entry.demand.keys().copied()).collect();
        let mut levels = HashMap::new();
        for service in 0..self.capacities.len() {
            for priority in &priorities {
                if let Some(level) = self.level(service, *priority) {
                    levels.insert((service, *priority), level);
                }
            }
        }
        let taken = self.entries.iter().map(|entry| entry.used).collect();
        Filling { shares: self, levels, taken }
    }

    /// Returns the level to which the capacity fills the organisations' demand, for a weight of one.
    fn level(&self, service: usize, priority: u32) -> Option<u64> {
        let of_service = self.entries.iter().filter(|entry| entry.service == service);
        let demands = of_service.map(|entry| {
            let mut all = entry.used;
            entry.demand.range(..=priority).for_each(|(_, need)| all.add(*need));
            (dominant_share(all, self.capacities[service]), entry.weight)
        });
        water_level(demands.collect(), WHOLE)
    }
}

/// The capacity as it is filled by waiting work, unit by unit.
#[derive(Debug)]
pub(super) struct Filling {
    shares: Shares,
    /// Level by service and priority, where the demand exceeds the capacity.
    levels: HashMap<(usize, u32), u64>,
    /// What each organisation uses and would use with the units so far.
    taken: Vec<Usage>,
}

impl Filling {
    /// Returns whether some work exceeds a fair part.
    pub(super) fn is_scarce(&self) -> bool {
        !self.levels.is_empty()
    }

    /// Returns what the organisations have now, before any unit is taken.
    pub(super) fn figures(&self) -> Vec<ShareFigures> {
        let figures = self.shares.index.iter().map(|((service, organisation), id)| {
            let entry = &self.shares.entries[id.0];
            let used = dominant_share(entry.used, self.shares.capacities[entry.service]);
            // The level of the lowest priority, for which all demand counts.
            let levels = self.levels.iter().filter(|((service, _), _)| *service == entry.service);
            let lowest = levels.max_by_key(|((_, priority), _)| *priority);
            ShareFigures {
                service: Arc::clone(service),
                organisation: Arc::clone(organisation),
                used_permille: used / (WHOLE / 1_000),
                fair_permille: lowest.map(|(_, level)| level * entry.weight / (WHOLE / 1_000)),
            }
        });
        figures.collect()
    }

    /// Takes the next unit and returns whether its organisation has its fair part without it.
    ///
    /// What the unit itself needs does not count, so that large jobs are not beyond their part for
    /// their size.
    pub(super) fn take(&mut self, id: ShareId, priority: u32, need: Usage) -> bool {
        let entry = &self.shares.entries[id.0];
        let taken = &mut self.taken[id.0];
        let before = dominant_share(*taken, self.shares.capacities[entry.service]);
        taken.add(need);
        let level = self.levels.get(&(entry.service, priority));
        level.is_some_and(|level| before / entry.weight >= *level)
    }
}

/// Returns the larger of the shares of the processors and of the accelerators, in millionths.
fn dominant_share(usage: Usage, capacity: Usage) -> u64 {
    let share = |part: u64, whole: u64| match (part, whole) {
        (0, _) => 0,
        // What no host has cannot be shared; its share is the whole.
        (_, 0) => WHOLE,
        (part, whole) => part.saturating_mul(WHOLE) / whole,
    };
    share(usage.cpu_millicores, capacity.cpu_millicores)
        .max(share(usage.accelerators, capacity.accelerators))
}

/// Returns the level for a weight of one up to which demands are met; `None` if all are met.
///
/// Demands below the level times their weight are met in full, and what they leave is for the others.
fn water_level(mut demands: Vec<(u64, u64)>, capacity: u64) -> Option<u64> {
    demands.sort_unstable_by(|(a, a_weight), (b, b_weight)| {
        (u128::from(*a) * u128::from(*b_weight)).cmp(&(u128::from(*b) * u128::from(*a_weight)))
    });
    let mut weight_left: u64 = demands.iter().map(|(_, weight)| weight).sum();
    let mut left = capacity;
    for (demand, weight) in demands {
        let level = left / weight_left;
        if demand / weight > level || demand > left {
            return Some(level);
        }
        left -= demand;
        weight_left -= weight;
    }
    None
}

#[cfg(test)]
#[path = "tests/shares.rs"]
mod tests;
