//! Checks of the scheduler's invariants.

use super::Scheduler;
use super::gang::GangPhase;
use super::job::JobState;
use super::pool::UpstreamIx;
use super::rack::CapacityView;
use super::timers::Timer;

impl Scheduler {
    /// Checks invariants after each step at a cost that does not depend on the pool size.
    ///
    /// # Panics
    /// Panics if an invariant does not hold.
    pub(super) fn check_counts(&self) {
        assert!(self.queue.len() <= self.jobs.len(), "more jobs wait than are known");
        assert!(self.gangs.len() <= self.jobs.len() + 1, "more gangs than jobs hold accelerators");
    }

    /// Checks the whole state, at a cost in proportion to it.
    ///
    /// # Panics
    /// Panics if an invariant does not hold.
    pub fn check_all(&self) {
        self.check_accelerators();
        self.check_jobs();
        self.check_guarantees();
        self.check_suspensions();
    }

    /// Checks that a timer is set for every suspended upstream, to probe or resume it.
    fn check_suspensions(&self) {
        for (i, upstream) in self.pool.upstreams.iter().enumerate() {
            let ix = UpstreamIx(u32::try_from(i).unwrap_or(u32::MAX));
            assert!(
                !upstream.suspended || self.timers.is_set(Timer::Resume(ix)),
                "upstream {} is suspended without a timer to resume it",
                upstream.name
            );
        }
        let records = self.quarantine.records.values();
        let count = records.filter(|record| record.probe_interval_ms.is_some()).count();
        assert!(count == self.quarantine.count, "the number of upstreams in quarantine is wrong");
    }

    /// Checks that guaranteed blocks are disjoint, and that stopping borrowers frees each block
    /// that is not at risk.
    fn check_guarantees(&self) {
        for (id, guarantee) in &self.organisations.guarantees {
            for (ix, mask) in &guarantee.reservation {
                let upstream = self.pool.upstream(*ix);
                assert!(
                    upstream.guarantees.contains(&(*id, *mask)),
                    "a reserved block is not registered on its upstream"
                );
                assert!(
                    guarantee.risk.is_some() || upstream.is_in_service(),
                    "the loss of {} puts a guarantee at risk without a report",
                    upstream.name
                );
            }
            assert!(
                guarantee.risk.is_some() || !guarantee.reservation.is_empty(),
                "a guarantee without reserved accelerators is not at risk"
            );
            for gang in self.gangs_in(&guarantee.reservation) {
                let gang = &self.gangs[&gang];
                assert!(
                    guarantee.risk.is_some()
                        || gang.own_guarantee == Some(*id)
                        || Self::is_reclaimable(gang),
                    "gang {} cannot be stopped, but the guarantee that it blocks is not at risk",
                    gang.id
                );
            }
        }
        for upstream in &self.pool.upstreams {
            let reserved = upstream.guarantees.iter().fold(0, |others, (_, mask)| {
                assert!(others & mask == 0, "two blocks share accelerators of {}", upstream.name);
                others | mask
            });
            assert!(
                reserved == upstream.reserved,
                "reserved accelerators of {} leak",
                upstream.name
            );
        }
    }

    /// Checks that every accelerator in use belongs to exactly one gang, and the reverse.
    fn check_accelerators(&self) {
        for upstream in &self.pool.upstreams {
            let mut used = 0;
            for (id, mask) in &upstream.gangs {
                assert!(used & mask == 0, "two gangs share accelerators of {}", upstream.name);
                used |= mask;
                let gang = self.gangs.get(id);
                let members = gang.into_iter().flat_map(|g| &g.members);
                let held = members.filter(|m| self.pool.upstream(m.upstream).name == upstream.name);
                assert!(
                    held.map(|m| m.mask).eq([*mask]),
                    "gang {id} does not hold its accelerators"
                );
            }
            let non_reclaimable = upstream.gangs.iter().filter(|(id, _)| {
                self.gangs.get(id).is_some_and(|gang| !Self::is_reclaimable(gang))
            });
            let non_reclaimable =
                non_reclaimable.fold(0, |non_reclaimable, (_, mask)| non_reclaimable | mask);
            assert!(
                non_reclaimable == upstream.non_reclaimable,
                "accelerators of work that cannot be stopped on {} are miscounted",
                upstream.name
            );
            assert!(used == upstream.used, "accelerators of {} leak", upstream.name);
            let open = upstream.available(CapacityView::FreeUnreserved);
            assert!(open & used == 0, "accelerators in use of {} count as free", upstream.name);
        }
    }

    /// Checks that every job waits in the queue, has one live gang, or has ended.
    fn check_jobs(&self) {
        let waiting = self.jobs.values().filter(|job| job.state == JobState::Waiting).count();
        let queued = self.queue.len() + self.claims.len();
        assert!(waiting == queued, "{waiting} jobs wait, {queued} are queued or claim a block");
        for job in self.jobs.values() {
            if let JobState::Placed(id) = job.state {
                assert!(
                    self.gangs.contains_key(&id),
                    "job {} is placed on an unknown gang",
                    job.spec.name
                );
            }
        }
        for gang in self.gangs.values() {
            let Some(job) = self.jobs.get(&gang.job) else { continue };
            let current = job.state == JobState::Placed(gang.id);
            assert!(
                current || gang.phase == GangPhase::Stopping,
                "gang {} runs although its job {} is not placed on it",
                gang.id,
                gang.job
            );
        }
    }
}
