//! A simulated upstream that guarantees what the gang protocol requires and nothing more.

use std::collections::{BTreeMap, BTreeSet};

use crate::scheduler::event::{GangId, MemberStatus, StopStatus};
use crate::scheduler::{Announcement, Mask};

/// State of the process of an upstream and of its connection to the core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// The process runs and messages arrive.
    Up,
    /// No message arrives, while members work on until their leases end.
    Frozen,
    /// The process has ended, with all its members.
    Down,
}

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// Its accelerators are reserved and nothing runs.
    Staged { until_ms: u64 },
    /// The member works until its lease or its work ends.
    Working { lease_until_ms: u64, done_ms: u64 },
    /// A stop has arrived, and the member works until it has been carried out.
    Stopping { until_ms: u64 },
    /// The work ended by itself, completed or failed.
    Done,
    /// The lease or the hold ended, or the member was stopped, before its work was done.
    Interrupted { worked: bool },
}

/// A member on the upstream.
#[derive(Debug, Clone)]
pub struct WorkerMember {
    /// Accelerators of the member.
    pub mask: Mask,
    /// State of the member.
    pub activity: Activity,
    /// Whether its work fails.
    pub fails: bool,
    /// Time at which the member ended, once it did.
    pub end_ms: Option<u64>,
}

impl WorkerMember {
    /// Returns whether the member holds its accelerators.
    const fn is_active(&self) -> bool {
        matches!(
            self.activity,
            Activity::Staged { .. } | Activity::Working { .. } | Activity::Stopping { .. }
        )
    }
}

/// A simulated upstream; called worker to distinguish it from the core's own record of upstreams.
#[derive(Debug)]
pub struct Worker {
    /// Announcement that it sends to the core.
    pub announcement: Announcement,
    /// State of its process and connection.
    pub link: Link,
    /// Time at which the current incarnation announced that it leaves.
    pub leaving_since_ms: Option<u64>,
    /// Whether all members that it starts fail.
    pub fails_everything: bool,
    /// Simulated milliseconds for each second of its clock; the drift that leases allow for is 2%.
    pub clock_permille: u64,
    /// Whether the loss of the upstream was reported to the core.
    pub reported_lost: bool,
    /// Members by gang.
    pub members: BTreeMap<GangId, WorkerMember>,
    /// Gangs that were stopped or refused here; later messages to them are refused.
    pub stopped: BTreeSet<GangId>,
}

impl Worker {
    /// Returns for how long a lease lasts in simulated time by this upstream's clock.
    pub const fn lease_duration_ms(&self, lease_ms: u64) -> u64 {
        lease_ms * self.clock_permille / 1_000
    }

    /// Ends the members whose work, lease or hold has ended by now.
    pub fn end_due_members(&mut self, now_ms: u64) {
        for member in self.members.values_mut() {
            let (activity, end_ms) = match member.activity {
                Activity::Staged { until_ms } if until_ms <= now_ms => {
                    (Activity::Interrupted { worked: false }, until_ms)
                }
                Activity::Working { lease_until_ms, done_ms }
                    if done_ms <= now_ms.min(lease_until_ms) =>
                {
                    (Activity::Done, done_ms)
                }
                Activity::Working { lease_until_ms, .. } if lease_until_ms <= now_ms => {
                    (Activity::Interrupted { worked: true }, lease_until_ms)
                }
                Activity::Stopping { until_ms } if until_ms <= now_ms => {
                    (Activity::Interrupted { worked: true }, until_ms)
                }
                _ => continue,
            };
            member.activity = activity;
            member.end_ms = Some(end_ms);
        }
    }

    /// Stages a member unless the accelerators are in use or the gang was stopped. Returns whether
    /// it is staged.
    pub fn stage(&mut self, gang: GangId, mask: Mask, hold_ms: u64, now_ms: u64) -> bool {
        self.end_due_members(now_ms);
        if self.members.contains_key(&gang) {
            return matches!(self.members[&gang].activity, Activity::Staged { .. });
        }
        let in_use = |m: &WorkerMember| m.is_active() && m.mask & mask != 0;
        if self.stopped.contains(&gang) || self.members.values().any(in_use) {
            self.stopped.insert(gang);
            return false;
        }
        let activity = Activity::Staged { until_ms: now_ms + self.lease_duration_ms(hold_ms) };
        self.members.insert(gang, WorkerMember { mask, activity, fails: false, end_ms: None });
        true
    }

    /// Starts a staged member. Returns whether it has started, and whether this call started it.
    pub fn commit(
        &mut self,
        gang: GangId,
        lease_ms: u64,
        run_ms: u64,
        fails: bool,
        now_ms: u64,
    ) -> (bool, bool) {
        self.end_due_members(now_ms);
        let lease_until_ms = now_ms + self.lease_duration_ms(lease_ms);
        let Some(member) = self.members.get_mut(&gang) else {
            self.stopped.insert(gang);
            return (false, false);
        };
        match member.activity {
            Activity::Staged { .. } => {
                member.activity = Activity::Working { lease_until_ms, done_ms: now_ms + run_ms };
                member.fails = fails;
                (true, true)
            }
            Activity::Working { .. } | Activity::Stopping { .. } | Activity::Done => (true, false),
            Activity::Interrupted { worked } => (worked, false),
        }
    }

    /// Renews the lease of a member and returns its status; a lease of 0 ms does not extend it.
    pub fn renew(&mut self, gang: GangId, lease_ms: u64, now_ms: u64) -> MemberStatus {
        self.end_due_members(now_ms);
        let renewed_ms = now_ms + self.lease_duration_ms(lease_ms);
        let Some(member) = self.members.get_mut(&gang) else { return MemberStatus::Absent };
        match &mut member.activity {
            Activity::Working { lease_until_ms, .. } => {
                *lease_until_ms = renewed_ms.max(*lease_until_ms);
                MemberStatus::Running
            }
            Activity::Done if member.fails => MemberStatus::Failed,
            Activity::Done => MemberStatus::Completed,
            // A stop is final, so a member that is being stopped does not confirm a lease.
            Activity::Staged { .. } | Activity::Stopping { .. } | Activity::Interrupted { .. } => {
                MemberStatus::Absent
            }
        }
    }

    /// Begins to stop a member and refuses later messages to it. Returns the time of its end if it
    /// has not ended yet.
    pub fn begin_stop(&mut self, gang: GangId, stop_ms: u64, now_ms: u64) -> Option<u64> {
        self.end_due_members(now_ms);
        self.stopped.insert(gang);
        let member = self.members.get_mut(&gang)?;
        if let Activity::Working { lease_until_ms, .. } = member.activity {
            let until_ms = lease_until_ms.min(now_ms + stop_ms);
            member.activity = Activity::Stopping { until_ms };
        }
        match member.activity {
            Activity::Stopping { until_ms } if until_ms > now_ms => Some(until_ms),
            _ => None,
        }
    }

    /// Stops a member at once and refuses later messages to it.
    pub fn stop(&mut self, gang: GangId, now_ms: u64) -> StopStatus {
        self.begin_stop(gang, 0, now_ms);
        self.end_due_members(now_ms);
        let Some(member) = self.members.get_mut(&gang) else { return StopStatus::NotStarted };
        match member.activity {
            Activity::Done if !member.fails => StopStatus::Completed,
            Activity::Done
            | Activity::Working { .. }
            | Activity::Stopping { .. }
            | Activity::Interrupted { worked: true } => StopStatus::Stopped,
            Activity::Staged { .. } | Activity::Interrupted { worked: false } => {
                member.activity = Activity::Interrupted { worked: false };
                StopStatus::NotStarted
            }
        }
    }

    /// Returns whether a member is working.
    pub fn is_working(&self, gang: GangId, now_ms: u64) -> bool {
        self.members.get(&gang).is_some_and(|m| match m.activity {
            Activity::Working { lease_until_ms, done_ms } => now_ms < lease_until_ms.min(done_ms),
            Activity::Stopping { until_ms } => now_ms < until_ms,
            _ => false,
        })
    }

    /// Returns the accelerators on which members of other gangs than `except` work.
    pub fn working_mask(&self, except: GangId, now_ms: u64) -> Mask {
        let others = self.members.iter().filter(|(id, _)| **id != except);
        let working = others.filter(|(id, _)| self.is_working(**id, now_ms));
        working.fold(0, |mask, (_, member)| mask | member.mask)
    }

    /// Ends the process with all its members.
    pub fn kill(&mut self) {
        self.members.clear();
        self.stopped.clear();
        self.link = Link::Down;
    }

    /// Drops the stopped gangs and inactive members that are older than a gang.
    pub fn prune(&mut self, before: GangId) {
        self.stopped = self.stopped.split_off(&before);
        self.members.retain(|id, m| *id >= before || m.is_active());
    }
}
