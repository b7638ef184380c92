//! Placement of waiting jobs.

use smallvec::SmallVec;

use super::event::GangId;
use super::gang::{Gang, Member};
use super::job::JobState;
use super::limits::{PLACEMENTS_PER_STEP, STAGE_HOLD_MS};
use super::pool::UpstreamIx;
use super::queue::Class;
use super::rack::{Block, View};
use super::timers::Timer;
use super::{Decision, JobRecord, MemberRecord, Scheduler};
use crate::names::JobName;

/// Jobs of a class that a search looks at. Jobs of a class differ only in the upstreams on which
/// they failed, so that a few are enough to get past one that finds no other upstream.
const HEADS_PER_CLASS: usize = 4;

impl Scheduler {
    /// Places waiting jobs in the order of their turns, as far as capacity allows.
    pub(super) fn place_waiting(&mut self, now_ms: u64) {
        for _ in 0..PLACEMENTS_PER_STEP {
            let Some(class) = self.queue.next_class() else { return };
            if !self.place_first_of(&class, now_ms) {
                self.queue.set_aside(&class);
            }
        }
    }

    fn place_first_of(&mut self, class: &Class, now_ms: u64) -> bool {
        for job in self.queue.first_of(class, HEADS_PER_CLASS) {
            let avoid = self.failed_upstreams(&job);
            if let Some((block, on_loan)) = self.find_place(class, &avoid) {
                self.start_gang(&job, &block, on_loan, now_ms);
                return true;
            }
            if avoid.is_empty() {
                return false;
            }
        }
        false
    }

    fn failed_upstreams(&self, job: &JobName) -> SmallVec<[UpstreamIx; 3]> {
        let failed = self.jobs.get(job).map(|job| job.failed_on.iter());
        failed.into_iter().flatten().filter_map(|name| self.pool.find(name)).collect()
    }

    /// Finds accelerators for a class of jobs and tells whether they are a loan.
    fn find_place(&self, class: &Class, avoid: &[UpstreamIx]) -> Option<(Block, bool)> {
        let block = self.pool.find_block(class.accelerators, View::Open, avoid)?;
        Some((block, false))
    }

    fn start_gang(&mut self, name: &JobName, block: &Block, on_loan: bool, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(name) else { return };
        let id = GangId(self.next_gang);
        self.next_gang += 1;
        self.queue.remove(&job.spec, job.accepted_ms);
        job.state = JobState::Placed(id);
        self.pool.take(id, block);
        let members = block.iter().map(|&(ix, mask)| self.member(ix, mask)).collect();
        let mut gang = Gang::stage(id, name.clone(), members, now_ms);
        gang.on_loan = on_loan;
        self.timers.set(Timer::Gang(id), gang.deadline_ms);
        let members = gang.members.iter().map(|m| self.member_record(m)).collect();
        self.persist(JobRecord::Placed { job: name.clone(), gang: id, members });
        for &(ix, mask) in block {
            let upstream = self.pool.upstream(ix).name.clone();
            let (job, hold_ms) = (name.clone(), STAGE_HOLD_MS);
            self.emit(Decision::Stage { gang: id, job, upstream, mask, hold_ms });
        }
        self.gangs.insert(id, gang);
    }

    fn member(&self, ix: UpstreamIx, mask: super::Mask) -> Member {
        Member {
            upstream: ix,
            incarnation: self.pool.upstream(ix).incarnation,
            mask,
            answered: false,
            ended: false,
            completed: false,
            ran: super::Ran::No,
        }
    }

    fn member_record(&self, member: &Member) -> MemberRecord {
        let upstream = self.pool.upstream(member.upstream);
        MemberRecord {
            upstream: upstream.name.clone(),
            incarnation: member.incarnation,
            rack: self.pool.racks[upstream.rack.get()].name.clone(),
            position: upstream.position,
            accelerators: upstream.accelerators,
            mask: member.mask,
        }
    }
}
