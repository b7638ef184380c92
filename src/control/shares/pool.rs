//! Slots and connections of one upstream, and the shares of them that hosts hold.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::UpstreamLimits;
use crate::names::{HostName, UpstreamName};

/// Slots that each configured host holds permanently.
const BASE_SLOTS: u32 = 1;

/// Most connections reserved for control, whose gang messages and queries open connections to an
/// upstream in addition to those of the entry hosts.
const CONTROL_CONNECTIONS_MAX: u32 = 4;

/// At most one in this many connections is reserved for control, so that an upstream with few
/// connections still has some to lend.
const CONTROL_CONNECTIONS_DIVISOR: u32 = 8;

/// Time for which a peak of demand is kept, so that loans do not follow every single request.
const DEMAND_PEAK_MS: u64 = 1000;

/// Slots of a host, base share and loan together, and the connections that go with them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Grant {
    pub(super) slots: u32,
    pub(super) connections: u32,
}

/// Loan to one host, in slots beyond its base share.
#[derive(Debug, Clone, Default)]
struct Loan {
    /// Size of the current loan.
    lent: u32,
    /// Larger loans that the host may still use, each with the revision that replaced it.
    replaced: SmallVec<[(u64, u32); 4]>,
    demand: u32,
    /// Largest recent demand, with the time at which it was reported.
    demand_peak: u32,
    peak_at_ms: u64,
}

impl Loan {
    /// Returns the largest loan that the host may still use.
    fn worst_case(&self) -> u32 {
        let replaced = self.replaced.iter().map(|(_, slots)| *slots);
        replaced.max().unwrap_or(0).max(self.lent)
    }

    /// Returns the slots wanted beyond the base share.
    fn wanted_slots(&self) -> u32 {
        self.demand_peak.saturating_sub(BASE_SLOTS)
    }
}

/// Slots and connections of one upstream with their loans.
#[derive(Debug, Clone)]
pub(super) struct Pool {
    limits: UpstreamLimits,
    /// Whether slots may be lent; `false` while the upstream is lost.
    open: bool,
    loans: BTreeMap<HostName, Loan>,
}

impl Pool {
    pub(super) fn new(limits: UpstreamLimits, hosts: impl Iterator<Item = HostName>) -> Self {
        let loans = hosts.map(|host| (host, Loan::default())).collect();
        Self { limits, open: true, loans }
    }

    pub(super) const fn limits(&self) -> UpstreamLimits {
        self.limits
    }

    pub(super) const fn is_open(&self) -> bool {
        self.open
    }

    pub(super) const fn set_open(&mut self, open: bool) {
        self.open = open;
    }

    fn host_count(&self) -> u32 {
        u32::try_from(self.loans.len()).unwrap_or(u32::MAX)
    }

    fn base_connections(&self) -> u32 {
        self.limits.connections / (2 * self.host_count().max(1))
    }

    /// Returns the number of slots that can be lent; each needs at least one connection.
    fn lendable(&self) -> u32 {
        let slots = self.limits.slots.saturating_sub(self.host_count() * BASE_SLOTS);
        slots.min(self.lendable_connections())
    }

    fn control_connections(&self) -> u32 {
        CONTROL_CONNECTIONS_MAX.min(self.limits.connections / CONTROL_CONNECTIONS_DIVISOR)
    }

    fn lendable_connections(&self) -> u32 {
        let reserved = self.base_connections() * self.host_count() + self.control_connections();
        self.limits.connections.saturating_sub(reserved)
    }

    /// Returns the whole share of a host to which this many slots are lent.
    fn share(&self, lent: u32) -> Grant {
        let per_slot = self.lendable_connections() / self.lendable().max(1);
        Grant { slots: BASE_SLOTS + lent, connections: self.base_connections() + lent * per_slot }
    }

    pub(super) fn granted(&self, host: &HostName) -> Option<Grant> {
        self.loans.get(host).map(|loan| self.share(loan.lent))
    }

    pub(super) fn lent_slots(&self) -> u32 {
        self.loans.values().map(|loan| loan.lent).sum()
    }

    /// Drops the larger loans that the host no longer uses as of this revision.
    ///
    /// Slots that it reports as in use beyond its share are still counted.
    pub(super) fn acknowledge(&mut self, host: &HostName, revision: u64, slots_in_use: u32) {
        let Some(loan) = self.loans.get_mut(host) else { return };
        let lent_in_use = slots_in_use.saturating_sub(BASE_SLOTS);
        let lent = loan.lent;
        loan.replaced.retain(|(replaced_by, slots)| {
            if *replaced_by > revision {
                return true;
            }
            *slots = lent_in_use.min(*slots);
            *slots > lent
        });
    }

    pub(super) fn set_demand(&mut self, host: &HostName, slots: u32, now_ms: u64) {
        let Some(loan) = self.loans.get_mut(host) else { return };
        loan.demand = slots;
        if slots >= loan.demand_peak || loan.peak_at_ms + DEMAND_PEAK_MS <= now_ms {
            loan.demand_peak = slots;
            loan.peak_at_ms = now_ms;
        }
    }

    /// Revokes the loan of a host whose lease has expired.
    pub(super) fn expire(&mut self, host: &HostName) {
        if let Some(loan) = self.loans.get_mut(host) {
            *loan = Loan::default();
        }
    }

    /// Sets a loan; returns whether it has changed.
    pub(super) fn grant(&mut self, host: &HostName, slots: u32, revision: u64) -> bool {
        let Some(loan) = self.loans.get_mut(host) else { return false };
        if slots == loan.lent {
            return false;
        }
        if slots < loan.lent {
            loan.replaced.push((revision, loan.lent));
        }
        loan.lent = slots;
        true
    }

    /// Adopts a grant of an earlier epoch; returns `false` if it does not fit beside other loans.
    pub(super) fn adopt(&mut self, host: &HostName, grant: Grant) -> bool {
        let used: u32 = self.loans.values().map(Loan::worst_case).sum();
        let lent = grant.slots.saturating_sub(BASE_SLOTS);
        let fits = lent <= self.lendable().saturating_sub(used)
            && grant.connections <= self.share(lent).connections;
        if let Some(loan) = self.loans.get_mut(host).filter(|_| fits) {
            loan.lent = lent;
        }
        fits
    }

    /// Returns the loan that each host should have by its demand. Loans grow only by slots that no
    /// other host may still use.
    ///
    /// A host keeps an idle loan until another host lacks slots.
    pub(super) fn target_loans(
        &self,
        reachable: impl Fn(&HostName) -> bool,
    ) -> Vec<(HostName, u32)> {
        if !self.open {
            return self.loans.keys().map(|host| (host.clone(), 0)).collect();
        }
        let fair = self.fair_shares(&reachable);
        let lacking: u32 = self.sum_over_loans(&fair, |loan, fair| fair.saturating_sub(loan.lent));
        let used: u32 = self.loans.values().map(Loan::worst_case).sum();
        let mut free = self.lendable().saturating_sub(used);
        // Slots of revoked loans become free once the hosts acknowledge their smaller shares.
        let returning: u32 = self.loans.values().map(|loan| loan.worst_case() - loan.lent).sum();
        let mut to_revoke = lacking.saturating_sub(free + returning);
        let mut targets = Vec::new();
        for ((host, loan), fair) in self.loans.iter().zip(&fair) {
            let mut slots = loan.lent;
            if *fair > slots && reachable(host) {
                // Slots up to the worst case are already counted as used.
                let counted = loan.worst_case() - slots;
                let more = (fair - slots).min(counted + free);
                free -= more.saturating_sub(counted);
                slots += more;
            } else {
                let revoked = slots.saturating_sub(*fair).min(to_revoke);
                to_revoke -= revoked;
                slots -= revoked;
            }
            targets.push((host.clone(), slots));
        }
        targets
    }

    fn sum_over_loans(&self, fair: &[u32], part: impl Fn(&Loan, u32) -> u32) -> u32 {
        self.loans.values().zip(fair).map(|(loan, fair)| part(loan, *fair)).sum()
    }

    /// Divides the lendable slots: each in turn goes to the host that has the fewest of those that
    /// want more. Unreachable hosts want none.
    fn fair_shares(&self, reachable: &impl Fn(&HostName) -> bool) -> Vec<u32> {
        let wanted = |(host, loan): (&HostName, &Loan)| {
            if reachable(host) { loan.wanted_slots() } else { 0 }
        };
        let wanted: SmallVec<[u32; 4]> = self.loans.iter().map(wanted).collect();
        let mut fair = vec![0; wanted.len()];
        for _ in 0..self.lendable() {
            let unmet = (0..wanted.len()).filter(|index| fair[*index] < wanted[*index]);
            let Some(fewest) = unmet.min_by_key(|index| fair[*index]) else { break };
            fair[fewest] += 1;
        }
        fair
    }

    /// Checks the invariant of the shares.
    ///
    /// # Panics
    /// Panics if the hosts together could use more than the upstream's limits.
    pub(super) fn assert_within_limits(&self, name: &UpstreamName) {
        let worst = self.loans.values().map(|loan| self.share(loan.worst_case()));
        let (slots, connections) =
            worst.fold((0, 0), |sum, share| (sum.0 + share.slots, sum.1 + share.connections));
        assert!(slots <= self.limits.slots, "slots of {name} shared beyond its limit");
        let connections = connections + self.control_connections();
        assert!(connections <= self.limits.connections, "connections of {name} over its limit");
    }
}
