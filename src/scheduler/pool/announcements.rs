//! Applies announcements of upstreams to the pool.

use super::{Pool, UpstreamIx};
use crate::scheduler::event::Announcement;
use crate::scheduler::limits::{RACK_POSITIONS_LIMIT, UPSTREAM_ACCELERATORS_LIMIT};

/// Effect of an announcement on the pool.
#[derive(Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// Nothing that concerns the scheduler.
    Unchanged,
    /// The upstream can take work now, or its position or size changed.
    Changed(UpstreamIx),
    /// The upstream started again, so that members of earlier incarnations have ended.
    Restarted(UpstreamIx),
    /// The position or size is out of range, and no upstream of this name is known.
    Invalid,
    /// The upstream started again with a position or size that is out of range: members of earlier
    /// incarnations have ended, and the new one gets no work.
    RestartedInvalid(UpstreamIx),
}

impl Pool {
    /// Applies an announcement.
    pub fn apply_announcement(&mut self, a: &Announcement) -> AnnounceOutcome {
        let is_valid_size = (1..=UPSTREAM_ACCELERATORS_LIMIT).contains(&a.accelerators);
        if !is_valid_size || a.position >= RACK_POSITIONS_LIMIT {
            return self.apply_invalid_announcement(a);
        }
        let Some(ix) = self.find(&a.name) else {
            let ix = self.insert(a);
            self.update(ix, |u| {
                u.live = true;
                u.leaving = a.leaving.then_some(a.incarnation);
            });
            self.mount_pending(ix);
            return AnnounceOutcome::Changed(ix);
        };
        let known = &self.upstreams[ix.get()];
        if a.incarnation < known.incarnation {
            return AnnounceOutcome::Unchanged;
        }
        let restarted = a.incarnation > known.incarnation;
        let same_location = self.has_location_of(ix, a);
        let starts_leaving = a.leaving && !known.is_leaving();
        if !restarted
            && same_location
            && known.live
            && known.pending_announcement.is_none()
            && !starts_leaving
        {
            return AnnounceOutcome::Unchanged;
        }
        self.update(ix, |u| {
            u.incarnation = a.incarnation;
            u.live = true;
            u.leaving = u.leaving.max(a.leaving.then_some(a.incarnation));
            u.pending_announcement = (!same_location).then(|| a.clone());
        });
        self.mount_pending(ix);
        if restarted { AnnounceOutcome::Restarted(ix) } else { AnnounceOutcome::Changed(ix) }
    }

    /// Takes the upstream for lost if the announcement is from a later incarnation than the known one.
    fn apply_invalid_announcement(&mut self, a: &Announcement) -> AnnounceOutcome {
        let Some(ix) = self.find(&a.name) else { return AnnounceOutcome::Invalid };
        if a.incarnation <= self.upstream(ix).incarnation {
            return AnnounceOutcome::Unchanged;
        }
        self.update(ix, |u| u.incarnation = a.incarnation);
        self.mark_lost(ix);
        AnnounceOutcome::RestartedInvalid(ix)
    }

    fn has_location_of(&self, ix: UpstreamIx, a: &Announcement) -> bool {
        let u = self.upstream(ix);
        let rack = &self.racks[u.rack.get()].name;
        *rack == a.rack && u.position == a.position && u.accelerators == a.accelerators
    }
}
