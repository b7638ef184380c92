//! The simulated control process: its journal, its restarts, and the gangs that it releases.

use rand::RngExt;

use super::truth::{ActualGang, JobProgress, MemberWork};
use super::worker::Link;
use super::world::{SimEvent, Simulation, record_end};
use crate::names::UpstreamName;
use crate::scheduler::event::GangId;
use crate::scheduler::{JobRecord, JobState, Scheduler};

/// Records after which the journal is replaced by a snapshot.
const JOURNAL_RECORDS_LIMIT: usize = 20_000;

/// Upstreams keep stopped gangs whose ids are at most this far below the oldest unreleased gang.
const PRUNE_MARGIN_GANGS: u64 = 1_000;

impl Simulation {
    pub(super) fn compact(&mut self) {
        self.records_max = self.records_max.max(self.journal.len());
        if self.journal.len() > JOURNAL_RECORDS_LIMIT
            && let Some(core) = &self.core
        {
            self.journal = core.snapshot();
            // Late copies of messages to recently released gangs must still be refused.
            let oldest = self.actual.gangs.keys().next().map_or(0, |id| id.0);
            let before = GangId(oldest.saturating_sub(PRUNE_MARGIN_GANGS));
            for worker in &mut self.workers {
                worker.prune(before);
            }
        }
    }

    pub(super) fn persist(&mut self, record: JobRecord) -> Result<(), String> {
        match &record {
            JobRecord::Placed { job, gang, members } => {
                let member_work =
                    |u: &UpstreamName| Some((*self.worker_indices.get(u)?, MemberWork::default()));
                let members = members.iter().filter_map(|m| member_work(&m.upstream)).collect();
                self.actual.gangs.insert(*gang, ActualGang { job: job.clone(), members });
            }
            JobRecord::Released { gang } => self.release_gang(*gang)?,
            _ => {}
        }
        self.journal.push(record);
        Ok(())
    }

    /// Removes a released gang and records whether it completed. Checks that none of its members
    /// still works, and that it did not work for too long with a member missing.
    fn release_gang(&mut self, id: GangId) -> Result<(), String> {
        let Some(mut gang) = self.actual.gangs.remove(&id) else {
            return Err(format!("gang {id} was released twice"));
        };
        for (ix, work) in &mut gang.members {
            record_end(&mut self.workers[*ix], id, work, self.now_ms);
            if work.start_ms.is_some() && work.end_ms.is_none() {
                return Err(format!("gang {id} was released while a member was working"));
            }
        }
        self.count_check("no_partial_gang_beyond_bound");
        self.count_check("released_gang_has_ended");
        // A gang whose hosts had all been replaced when it was placed has no members here, and has
        // not completed.
        let completed =
            !gang.members.is_empty() && gang.members.values().all(|work| work.completed);
        if completed && let Some(job) = self.actual.jobs.get_mut(&gang.job) {
            job.progress = JobProgress::Completed;
        }
        gang.check_partial()
    }

    /// Stops the control process and schedules its restart.
    pub(super) fn stop_core(&mut self) {
        self.core = None;
        self.announced.clear();
        self.known_incarnations.clear();
        let down_ms = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(30_000..60_000),
            1..4 => self.rng.random_range(2_000..10_000),
            _ => self.rng.random_range(1..1_000),
        };
        self.count_fault("scheduler_restart");
        self.schedule(down_ms, SimEvent::RestartCore);
    }

    pub(super) fn restart_core(&mut self) -> Result<(), String> {
        let core = Scheduler::recover(self.journal.iter().cloned(), self.now_ms);
        core.check_all();
        for name in self.open_jobs.clone() {
            match core.job(&name) {
                Some(JobState::Ended(end)) => self.job_ended(&name, end.clone())?,
                Some(_) => self.actual.jobs.entry(name).or_default().accepted = true,
                None if self.actual.jobs.get(&name).is_some_and(|job| job.accepted) => {
                    return Err(format!("job {name} was accepted, but is unknown after a restart"));
                }
                // The submission was lost, or has not arrived yet; acceptance adds the job again.
                None => {
                    self.open_jobs.remove(&name);
                }
            }
        }
        self.count_check("accepted_jobs_survive");
        self.core = Some(core);
        for ix in 0..self.workers.len() {
            if self.workers[ix].link == Link::Up {
                self.announce(ix);
            }
        }
        Ok(())
    }
}
