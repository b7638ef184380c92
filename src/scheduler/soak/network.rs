//! Messages between the core and the simulated upstreams.

use rand::RngExt;

use super::worker::{Activity, Link};
use super::world::{SimEvent, Simulation};
use crate::names::UpstreamName;
use crate::scheduler::event::{Event, GangId, MemberEnd};
use crate::scheduler::limits::DELIVERY_ALLOWANCE_MS;
use crate::scheduler::{Decision, Renewal};

/// Longest time that an upstream takes to stop a member.
const STOP_TIME_MAX_MS: u64 = 1_500;

/// Time between the start of a job that crashes its upstreams and the crash.
const CRASH_DELAY_MS: u64 = 20;

impl Simulation {
    /// Returns true with the given probability, and never once faults have stopped.
    pub(super) fn random_fault(&mut self, probability: f64) -> bool {
        !self.faults_stopped && self.rng.random_bool(probability)
    }

    /// Sends a message that may be lost or repeated, and otherwise arrives within the delivery
    /// allowance.
    ///
    /// It is for the incarnation that the core knows, as `Sender` states it on the wire.
    pub(super) fn send(&mut self, upstream: UpstreamName, message: Decision) {
        let Some(&incarnation) = self.known_incarnations.get(&upstream) else { return };
        let receiver = (upstream, incarnation);
        if self.random_fault(0.03) {
            return self.count_fault("lost_message");
        }
        if self.random_fault(0.02) {
            self.count_fault("repeated_message");
            let delay_ms = self.rng.random_range(1..DELIVERY_ALLOWANCE_MS);
            self.schedule(delay_ms, SimEvent::Deliver(receiver.clone(), message.clone()));
        }
        let delay_ms = self.rng.random_range(1..DELIVERY_ALLOWANCE_MS);
        self.schedule(delay_ms, SimEvent::Deliver(receiver, message));
    }

    /// Sends an answer that may be lost, repeated, or so late that later answers overtake it.
    pub(super) fn answer(&mut self, event: Event) {
        if self.random_fault(0.03) {
            return self.count_fault("lost_answer");
        }
        if self.random_fault(0.03) {
            self.count_fault("repeated_answer");
            let delay_ms = self.rng.random_range(1..5_000);
            self.schedule(delay_ms, SimEvent::CoreEvent(event.clone()));
        }
        let late = self.random_fault(0.03);
        let delay_ms = self.rng.random_range(1..if late { 40_000 } else { 60 });
        if late {
            self.count_fault("reordered_answer");
        }
        self.schedule(delay_ms, SimEvent::CoreEvent(event));
    }

    pub(super) fn deliver(
        &mut self,
        (upstream, receiver): (UpstreamName, u64),
        message: Decision,
    ) -> Result<(), String> {
        let Some(&ix) = self.worker_indices.get(&upstream) else { return Ok(()) };
        if self.workers[ix].link != Link::Up {
            return Ok(());
        }
        let now_ms = self.now_ms;
        let incarnation = self.workers[ix].announcement.incarnation;
        if receiver != incarnation {
            self.refuse_misdirected(upstream, incarnation, &message);
            return Ok(());
        }
        let answer = match message {
            Decision::Stage { gang, mask, hold_ms, .. } => {
                let staged = self.workers[ix].stage(gang, mask, hold_ms, now_ms);
                Event::StageAnswered { gang, upstream, staged }
            }
            Decision::Commit { gang, lease_ms, .. } => {
                let started = self.deliver_commit(ix, gang, lease_ms)?;
                Event::CommitAnswered { gang, upstream, incarnation, started }
            }
            Decision::Renew { round, gangs, .. } => {
                let worker = &mut self.workers[ix];
                let renew = |r: &Renewal| (r.gang, worker.renew(r.gang, r.lease_ms, now_ms));
                let members = gangs.iter().map(renew).collect();
                Event::RenewAnswered { upstream, round, members }
            }
            Decision::Stop { gang, .. } => {
                let slow = self.random_fault(0.3);
                let stop_ms = if slow { self.rng.random_range(1..STOP_TIME_MAX_MS) } else { 0 };
                if let Some(until_ms) = self.workers[ix].begin_stop(gang, stop_ms, now_ms) {
                    self.count_fault("slow_stop");
                    let stopped = SimEvent::MemberStopped(ix, incarnation, gang);
                    self.schedule(until_ms - now_ms, stopped);
                    return Ok(());
                }
                let status = self.workers[ix].stop(gang, now_ms);
                Event::StopAnswered { gang, upstream, incarnation, status }
            }
            Decision::Probe { .. } => {
                let healthy = !self.workers[ix].fails_everything;
                Event::ProbeAnswered { upstream, healthy }
            }
            _ => return Ok(()),
        };
        self.answer(answer);
        Ok(())
    }

    /// Answers a message for another incarnation of an upstream as an upstream that refuses it does:
    /// the answer to a stage or commit counts, and other refusals leave the effect unknown.
    fn refuse_misdirected(&mut self, upstream: UpstreamName, incarnation: u64, message: &Decision) {
        self.count_fault("message_for_another_incarnation");
        match *message {
            Decision::Stage { gang, .. } => {
                self.answer(Event::StageAnswered { gang, upstream, staged: false });
            }
            Decision::Commit { gang, .. } => {
                let started = false;
                self.answer(Event::CommitAnswered { gang, upstream, incarnation, started });
            }
            _ => {}
        }
    }

    /// Answers a stop once the member has ended.
    pub(super) fn member_stopped(&mut self, ix: usize, incarnation: u64, gang: GangId) {
        let worker = &mut self.workers[ix];
        if worker.link != Link::Up || worker.announcement.incarnation != incarnation {
            return;
        }
        let upstream = worker.announcement.name.clone();
        let status = worker.stop(gang, self.now_ms);
        self.answer(Event::StopAnswered { gang, upstream, incarnation, status });
    }

    /// Returns whether the member has started.
    fn deliver_commit(&mut self, ix: usize, id: GangId, lease_ms: u64) -> Result<bool, String> {
        let job = self.actual.gangs.get(&id).map(|gang| gang.job.clone());
        let actual = job.as_ref().and_then(|job| self.actual.jobs.get(job));
        let fails =
            self.workers[ix].fails_everything || actual.is_some_and(|job| job.behaviour.fails);
        let crashes = actual.is_some_and(|job| job.behaviour.crashes);
        let run_ms = if fails { 200 } else { actual.map_or(1_000, |job| job.behaviour.run_ms) };
        let worker = &mut self.workers[ix];
        let (started, is_new) = worker.commit(id, lease_ms, run_ms, fails, self.now_ms);
        if is_new {
            self.check_start(ix, id)?;
            if crashes {
                self.schedule(CRASH_DELAY_MS, SimEvent::Crash(ix));
            }
            self.schedule(run_ms, SimEvent::MemberDone(ix, id));
        }
        Ok(started)
    }

    /// Checks that a starting member does not share accelerators or its job with another working
    /// gang.
    fn check_start(&mut self, ix: usize, id: GangId) -> Result<(), String> {
        let now_ms = self.now_ms;
        self.count_check("accelerator_used_once");
        self.count_check("one_gang_per_job");
        let mask = self.workers[ix].members[&id].mask;
        if self.workers[ix].working_mask(id, now_ms) & mask != 0 {
            return Err(format!("gang {id} started on accelerators in use"));
        }
        let Some(gang) = self.actual.gangs.get_mut(&id) else {
            return Err(format!("gang {id} started after its release"));
        };
        if let Some(work) = gang.members.get_mut(&ix) {
            work.start_ms = Some(now_ms);
        }
        let job = gang.job.clone();
        for (other, gang) in &self.actual.gangs {
            let is_working = |ix: &usize| self.workers[*ix].is_working(*other, now_ms);
            if *other != id && gang.job == job && gang.members.keys().any(is_working) {
                return Err(format!("job {job} runs in gangs {other} and {id} at once"));
            }
        }
        self.count_check("crashing_job_is_given_up");
        self.actual.jobs.entry(job.clone()).or_default().record_start(&job, id)
    }

    pub(super) fn member_done(&mut self, ix: usize, gang: GangId) {
        let worker = &mut self.workers[ix];
        worker.end_due_members(self.now_ms);
        let Some(member) = worker.members.get(&gang) else { return };
        if worker.link != Link::Up || member.activity != Activity::Done {
            return;
        }
        let sequence = self.now_ms;
        self.report_usage(gang, sequence);
        let Some(member) = self.workers[ix].members.get(&gang) else { return };
        let end = if member.fails { MemberEnd::Failed } else { MemberEnd::Completed };
        let upstream = self.workers[ix].announcement.name.clone();
        self.answer(Event::MemberEnded { gang, upstream, end });
    }

    /// Reports a random accelerator time, which is often far from the declared size.
    fn report_usage(&mut self, gang: GangId, sequence: u64) {
        let used_ms = self.rng.random_range(0..1_000_000);
        self.count_fault("wrong_declared_size");
        self.answer(Event::UsageReported { gang, sequence, used_ms });
    }
}
