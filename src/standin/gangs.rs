//! Gang members of the stand-in: staged, running under leases, ended.

mod http;
mod member;
#[cfg(test)]
mod tests;

pub(super) use http::{ends_wait, handle, run_log};
pub use member::{MemberRun, RunEnd};

use std::collections::BTreeMap;
use std::time::SystemTime;

use tokio::time::Instant;

use crate::scheduler::{GangId, MemberStatus, Renewal, StopStatus};
use crate::upstream_http::{
    CheckpointRequest, CommitRequest, EndsRequest, GangAnswer, GangMessage, GangReply, GangRequest,
    MemberState, RefusalCode, RenewRequest, Sender, StageRequest, StopRequest,
};
use member::{Member, State};

/// Most ends in the answer to a query without a position; control learns of the others by renewals.
const MAX_LATEST_ENDS: usize = 64;

/// Capacity for gang members when a message arrives.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FreeCapacity {
    /// Slots that requests do not take.
    pub(crate) slots: u32,
    /// Whether new members are accepted.
    pub(crate) accepts_members: bool,
}

/// Gang members of one incarnation of the stand-in; none is removed while it runs.
#[derive(Debug)]
pub(crate) struct Gangs {
    incarnation: u64,
    accelerators: u32,
    started: Instant,
    /// Wall-clock time of the start; only the run log uses it.
    started_unix_ms: u64,
    epoch: u64,
    members: BTreeMap<GangId, Member>,
    /// Gangs whose member completed or failed, in order.
    ends: Vec<GangId>,
}

impl Gangs {
    /// Builds the state of an incarnation that has just started.
    pub(crate) fn new(incarnation: u64, accelerators: u32) -> Self {
        Self {
            incarnation,
            accelerators,
            started: Instant::now(),
            started_unix_ms: unix_ms(),
            epoch: 0,
            members: BTreeMap::new(),
            ends: Vec::new(),
        }
    }

    /// Executes a message and returns the reply.
    pub(crate) fn answer(
        &mut self,
        request: &GangRequest,
        free_capacity: FreeCapacity,
    ) -> GangReply {
        let now_ms = self.clock_ms();
        self.end_due_members(now_ms);
        let answer = self
            .check_sender(&request.sender)
            .and_then(|()| self.execute(request, free_capacity, now_ms))
            .unwrap_or_else(|code| GangAnswer::Refused { code, epoch: self.epoch });
        GangReply { incarnation: self.incarnation, clock_ms: now_ms, answer }
    }

    /// Returns the number of slots that gang members take.
    pub(crate) fn slots_taken(&mut self) -> u32 {
        self.end_due_members(self.clock_ms());
        let active = self.members.values().filter(|m| m.is_active()).count();
        u32::try_from(active).unwrap_or(u32::MAX)
    }

    /// Returns the runs of the members that have started.
    pub(crate) fn runs(&mut self) -> Vec<MemberRun> {
        self.end_due_members(self.clock_ms());
        self.members.iter().filter_map(|(id, member)| member.run(*id, self.started)).collect()
    }

    /// Returns the monotonic time since the start.
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends the members whose hold, lease or work has ended by `now_ms`.
    fn end_due_members(&mut self, now_ms: u64) {
        for (id, member) in &mut self.members {
            let was_active = member.is_active();
            member.end_if_due(now_ms);
            let ended = matches!(member.status(), MemberStatus::Completed | MemberStatus::Failed);
            if was_active && ended {
                self.ends.push(*id);
            }
        }
    }

    /// Returns whether more than `after` members have completed or failed.
    pub(crate) fn has_ends_after(&mut self, after: u64) -> bool {
        self.end_due_members(self.clock_ms());
        self.ends.len() as u64 > after
    }

    fn answer_ends(&mut self, query: EndsRequest) -> GangAnswer {
        let first = query.after.and_then(|after| usize::try_from(after).ok());
        let first = first.unwrap_or_else(|| self.ends.len().saturating_sub(MAX_LATEST_ENDS));
        let ends = self.ends.get(first..).unwrap_or_default();
        let members = ends.iter().filter_map(|gang| {
            let status = self.members.get(gang)?.status();
            Some(MemberState { gang: *gang, status })
        });
        let members = members.collect();
        GangAnswer::Ends { count: self.ends.len() as u64, active: self.slots_taken(), members }
    }

    fn check_sender(&mut self, sender: &Sender) -> Result<(), RefusalCode> {
        if sender.epoch < self.epoch {
            return Err(RefusalCode::OlderEpoch);
        }
        self.epoch = sender.epoch;
        if sender.incarnation == self.incarnation {
            Ok(())
        } else {
            Err(RefusalCode::OtherIncarnation)
        }
    }

    fn execute(
        &mut self,
        request: &GangRequest,
        free_capacity: FreeCapacity,
        now_ms: u64,
    ) -> Result<GangAnswer, RefusalCode> {
        let clock_ms = request.sender.clock_ms;
        match &request.message {
            GangMessage::Stage(stage) => self.stage(stage, free_capacity, now_ms),
            GangMessage::Commit(commit) => {
                let lease_until_ms = lease_end(clock_ms, commit.lease_ms, now_ms);
                self.commit(commit, lease_until_ms, now_ms)
            }
            GangMessage::Renew(renew) => Ok(self.renew(renew, clock_ms, now_ms)),
            GangMessage::Checkpoint(checkpoint) => Ok(self.checkpoint(*checkpoint)),
            GangMessage::Stop(stop) => Ok(self.stop(*stop, now_ms)),
            GangMessage::Ends(query) => Ok(self.answer_ends(*query)),
        }
    }

    fn stage(
        &mut self,
        stage: &StageRequest,
        free_capacity: FreeCapacity,
        now_ms: u64,
    ) -> Result<GangAnswer, RefusalCode> {
        match self.members.get(&stage.gang).map(Member::state) {
            // A repeated message does not extend the hold.
            Some(State::Staged { .. }) => return Ok(GangAnswer::Staged),
            Some(_) => return Err(RefusalCode::Stopped),
            None => {}
        }
        let refusal = self.stage_refusal(stage, free_capacity);
        // A refusal guarantees that the gang is never staged here, not even by a delayed duplicate.
        let member =
            refusal.map_or_else(|| Member::stage(stage, now_ms), |_| Member::never_started());
        self.members.insert(stage.gang, member);
        refusal.map_or(Ok(GangAnswer::Staged), Err)
    }

    fn stage_refusal(
        &mut self,
        stage: &StageRequest,
        free_capacity: FreeCapacity,
    ) -> Option<RefusalCode> {
        if !free_capacity.accepts_members {
            return Some(RefusalCode::Leaving);
        }
        let full = self.slots_taken() >= free_capacity.slots || !self.accelerators_free(stage.mask);
        full.then_some(RefusalCode::NoCapacity)
    }

    /// Returns whether all accelerators of the mask exist and no active member holds any of them.
    fn accelerators_free(&self, mask: u32) -> bool {
        let exists = mask != 0 && mask.checked_shr(self.accelerators).unwrap_or(0) == 0;
        let taken = |member: &&Member| member.is_active() && member.mask() & mask != 0;
        exists && !self.members.values().any(|member| taken(&member))
    }

    /// Starts a staged member; without a usable lease it never starts.
    fn commit(
        &mut self,
        commit: &CommitRequest,
        lease_until_ms: Option<u64>,
        now_ms: u64,
    ) -> Result<GangAnswer, RefusalCode> {
        let member = self.members.entry(commit.gang).or_insert_with(Member::never_started);
        match (member.state(), lease_until_ms) {
            (State::Staged { .. }, Some(lease_until_ms)) => {
                member.start(now_ms, lease_until_ms);
                Ok(GangAnswer::Started)
            }
            (State::Staged { .. }, None) => {
                member.stop(now_ms);
                Err(RefusalCode::NoLease)
            }
            (State::Running { .. } | State::Ended { .. }, _) => Ok(GangAnswer::Started),
            (State::NeverStarted, _) => Err(RefusalCode::NotStaged),
        }
    }

    fn renew(&mut self, renew: &RenewRequest, clock_ms: Option<u64>, now_ms: u64) -> GangAnswer {
        let states = renew.gangs.iter().filter_map(|renewal| {
            let status = self.renew_one(renewal, clock_ms, now_ms)?;
            Some(MemberState { gang: renewal.gang, status })
        });
        GangAnswer::Renewed { round: renew.round, members: states.collect() }
    }

    /// Renews one lease and returns the member's status.
    ///
    /// Returns `None` if the member runs but the new lease is unusable, because the status
    /// `Running` confirms the renewal.
    fn renew_one(
        &mut self,
        renewal: &Renewal,
        clock_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<MemberStatus> {
        let member = self.members.entry(renewal.gang).or_insert_with(Member::never_started);
        if let State::Running { .. } = member.state()
            && renewal.lease_ms > 0
        {
            member.extend(lease_end(clock_ms, renewal.lease_ms, now_ms)?);
        }
        // A staged member is reported as absent and must not start later, because control reassigns
        // its accelerators.
        if let State::Staged { .. } = member.state() {
            member.stop(now_ms);
        }
        Some(member.status())
    }

    fn checkpoint(&mut self, checkpoint: CheckpointRequest) -> GangAnswer {
        if let Some(member) = self.members.get_mut(&checkpoint.gang) {
            member.checkpoint();
        }
        GangAnswer::CheckpointRequested
    }

    fn stop(&mut self, stop: StopRequest, now_ms: u64) -> GangAnswer {
        let member = self.members.entry(stop.gang).or_insert_with(Member::never_started);
        member.stop(now_ms);
        let status = match member.state() {
            State::Ended { end: RunEnd::Completed, .. } => StopStatus::Completed,
            State::Ended { .. } | State::Running { .. } => StopStatus::Stopped,
            State::Staged { .. } | State::NeverStarted => StopStatus::NotStarted,
        };
        GangAnswer::Stopped { status }
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the end of a lease that counts from `clock_ms`, a reading of this clock that the sender
/// repeats; `None` if it is missing or in the future, or if the lease has ended.
fn lease_end(clock_ms: Option<u64>, lease_ms: u64, now_ms: u64) -> Option<u64> {
    let from_ms = clock_ms.filter(|clock_ms| *clock_ms <= now_ms)?;
    let lease_until_ms = from_ms.saturating_add(lease_ms);
    (lease_until_ms > now_ms).then_some(lease_until_ms)
}
