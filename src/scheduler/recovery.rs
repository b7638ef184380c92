//! Rebuilding the scheduler from its journal.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::document::Guarantees;
use super::event::{Announcement, GangId};
use super::gang::{Gang, Member, StopReason};
use super::job::{Job, JobState, Ran};
use super::organisation::Organisations;
use super::pool::UpstreamIx;
use super::timers::Timer;
use super::{JobRecord, MemberRecord, Scheduler};
use crate::names::JobName;

fn job_records(job: &Job) -> Vec<JobRecord> {
    let name = || job.spec.name.clone();
    let mut records = vec![JobRecord::Accepted { spec: job.spec.clone(), at_ms: job.accepted_ms }];
    if job.ran != Ran::No {
        records.push(JobRecord::History { job: name(), ran: job.ran });
    }
    if job.cancelled {
        records.push(JobRecord::Cancelled { job: name() });
    }
    if let JobState::Ended(end) = &job.state {
        records.push(JobRecord::Ended { job: name(), end: end.clone() });
    }
    records
}

/// A gang without a release record in the journal.
struct UnreleasedGang {
    job: JobName,
    members: SmallVec<[MemberRecord; 1]>,
    committed: bool,
}

impl Scheduler {
    /// Rebuilds a scheduler from the records that an earlier one persisted.
    ///
    /// A gang continues if all its members confirm within the lease; the jobs of other gangs are
    /// placed again after the lease has certainly ended. Upstreams become live again with their
    /// announcements. `now_ms` must be later than every time passed to the earlier scheduler.
    #[must_use]
    pub fn recover(records: impl IntoIterator<Item = JobRecord>, now_ms: u64) -> Self {
        let mut scheduler = Self::new(now_ms);
        let mut unreleased = BTreeMap::new();
        for record in records {
            scheduler.replay(record, &mut unreleased);
        }
        for (id, gang) in unreleased {
            scheduler.confirm_gang(id, &gang, now_ms);
        }
        // The records of the reservations are in the journal already.
        scheduler.pending_records.clear();
        scheduler.attach_recovered_gangs(now_ms);
        scheduler.queue_waiting(now_ms);
        scheduler.schedule_crash_review(now_ms);
        scheduler
    }

    /// Returns records from which the present state can be recovered, so that the journal can
    /// drop all earlier ones.
    #[must_use]
    pub fn snapshot(&self) -> Vec<JobRecord> {
        let mut records = vec![
            JobRecord::NextGang(GangId(self.next_gang)),
            JobRecord::Organisations(self.organisations.record()),
        ];
        for (id, guarantee) in &self.organisations.guarantees {
            let members = guarantee
                .reservation
                .iter()
                .map(|&(ix, mask)| self.member_record(ix, mask))
                .collect();
            records.push(JobRecord::Reserved { guarantee: *id, members });
        }
        for name in &self.ended_jobs {
            records.extend(self.jobs.get(name).into_iter().flat_map(job_records));
        }
        let unfinished = self.jobs.values().filter(|job| !matches!(job.state, JobState::Ended(_)));
        records.extend(unfinished.flat_map(job_records));
        records.push(JobRecord::Crashes(self.crashes.clone()));
        for (id, gang) in &self.gangs {
            self.gang_records(*id, gang, &mut records);
        }
        records
    }

    fn gang_records(&self, id: GangId, gang: &Gang, records: &mut Vec<JobRecord>) {
        let member = |m: &Member| {
            let record = self.member_record(m.upstream, m.mask);
            MemberRecord { incarnation: m.incarnation, ..record }
        };
        let members = gang.members.iter().map(member).collect();
        records.push(JobRecord::Placed { job: gang.job.clone(), gang: id, members });
        if gang.committed_ms.is_some() {
            records.push(JobRecord::Committed { gang: id });
        }
    }

    fn replay(&mut self, record: JobRecord, unreleased: &mut BTreeMap<GangId, UnreleasedGang>) {
        match record {
            JobRecord::Accepted { spec, at_ms } => {
                self.jobs.insert(spec.name.clone(), Job::accept(spec, at_ms));
            }
            JobRecord::Cancelled { job } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.cancelled = true;
                }
            }
            JobRecord::Placed { job, gang, members } => {
                self.next_gang = self.next_gang.max(gang.0 + 1);
                unreleased.insert(gang, UnreleasedGang { job, members, committed: false });
            }
            JobRecord::Committed { gang } => self.replay_commit(gang, unreleased),
            JobRecord::Released { gang } => {
                unreleased.remove(&gang);
            }
            JobRecord::Ended { job, end } => {
                if let Some(known) = self.jobs.get_mut(&job) {
                    known.state = JobState::Ended(end);
                    self.remember_ended(job);
                }
            }
            JobRecord::Organisations(record) => {
                self.organisations = Organisations::from_record(record);
            }
            JobRecord::History { job, ran } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.ran = job.ran.max(ran);
                }
            }
            JobRecord::NextGang(id) => self.next_gang = self.next_gang.max(id.0),
            JobRecord::Guarantees(document) => self.replay_document(&document),
            JobRecord::Crashed { upstream, runs, at_ms } => {
                _ = self.apply_crash(upstream, &runs, at_ms);
            }
            JobRecord::Crashes(crashes) => self.crashes = crashes,
            JobRecord::Reserved { guarantee, members } => {
                let reservation =
                    members.iter().map(|m| (self.recovered_upstream(m), m.mask)).collect();
                self.set_reservation(guarantee, &reservation);
            }
        }
    }

    fn replay_document(&mut self, document: &Guarantees) {
        for (id, guarantee) in self.organisations.apply(document).removed {
            self.clear_reservation(id, &guarantee.reservation);
        }
    }

    /// Marks the job of a committed gang as possibly run, even if the gang has ended since.
    fn replay_commit(&mut self, id: GangId, unreleased: &mut BTreeMap<GangId, UnreleasedGang>) {
        let Some(gang) = unreleased.get_mut(&id) else { return };
        gang.committed = true;
        if let Some(job) = self.jobs.get_mut(&gang.job) {
            job.ran = job.ran.max(Ran::Unknown);
        }
    }

    fn confirm_gang(&mut self, id: GangId, recovered: &UnreleasedGang, now_ms: u64) {
        let members = recovered
            .members
            .iter()
            .map(|record| self.recovered_member(record, recovered.committed));
        let members: SmallVec<[Member; 1]> = members.collect();
        let block: Vec<_> = members.iter().map(|m| (m.upstream, m.mask)).collect();
        let reclaimable = self.jobs.get(&recovered.job).is_none_or(|job| job.spec.is_reclaimable());
        self.pool.allocate(id, &block, !reclaimable);
        let mut gang = Gang::stage(id, recovered.job.clone(), members, now_ms);
        gang.reclaimable = reclaimable;
        if recovered.committed {
            gang.confirm(self.next_round, now_ms);
            self.next_round += 1;
        }
        self.timers.set(Timer::Gang(id), gang.deadline_ms);
        self.gangs.insert(id, gang);
        let Some(job) = self.jobs.get_mut(&recovered.job) else { return };
        let must_stop = matches!(job.state, JobState::Ended(_)) || job.cancelled;
        if job.state == JobState::Waiting {
            job.state = JobState::Placed(id);
        }
        if must_stop {
            self.stop_gang(id, StopReason::Cancelled, now_ms);
        } else if !recovered.committed {
            // No commit was sent, because its record would have been persisted before.
            self.stop_gang(id, StopReason::StageTimeout, now_ms);
        }
    }

    fn recovered_member(&mut self, record: &MemberRecord, committed: bool) -> Member {
        let upstream = self.recovered_upstream(record);
        Member {
            upstream,
            incarnation: record.incarnation,
            mask: record.mask,
            answered: false,
            ended: false,
            completed: false,
            ran: if committed { Ran::Unknown } else { Ran::No },
        }
    }

    fn recovered_upstream(&mut self, record: &MemberRecord) -> UpstreamIx {
        if let Some(ix) = self.pool.find(&record.upstream) {
            // The oldest incarnation is kept, so that a later announcement ends older members.
            self.pool.update(ix, |u| u.incarnation = u.incarnation.min(record.incarnation));
            return ix;
        }
        self.pool.insert(&Announcement {
            name: record.upstream.clone(),
            incarnation: record.incarnation,
            rack: record.rack.clone(),
            position: record.position,
            accelerators: record.accelerators,
            leaving: false,
        })
    }

    fn attach_recovered_gangs(&mut self, now_ms: u64) {
        for id in self.organisations.guarantees.keys().copied().collect::<Vec<_>>() {
            self.attach_gangs(id);
            self.update_risk(id, now_ms);
        }
    }

    fn queue_waiting(&mut self, now_ms: u64) {
        let waiting = self.jobs.values_mut().filter(|job| job.state == JobState::Waiting);
        let mut cancelled = Vec::new();
        for job in waiting {
            job.waiting_since_ms = now_ms;
            self.queue.push(&job.spec, job.accepted_ms);
            if job.cancelled {
                cancelled.push(job.spec.name.clone());
            }
        }
        for name in cancelled {
            self.end_cancelled(&name);
        }
    }
}
