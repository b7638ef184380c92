//! Work that jobs have saved, by rules that are the same for every policy.

use super::scenario::{Arrival, Scenario};

/// Time in which a message reaches a worker, or an answer the scheduler.
pub const DELAY_MS: u64 = 5;

/// Interval at which a job that can write checkpoints does so by itself.
const CHECKPOINT_INTERVAL_MS: u64 = 600_000;

/// Time for writing a checkpoint on request.
const CHECKPOINT_WRITE_MS: u64 = 500;

/// Time for going on from a checkpoint.
const RESTORE_MS: u64 = 5_000;

/// Longest time after which the failure of a failing job or worker shows.
const FAILURE_MS: u64 = 5_000;

/// Saved work by job.
#[derive(Debug)]
pub struct Progress {
    saved_ms: Vec<u64>,
}

impl Progress {
    /// Starts without any work done.
    pub fn new(scenario: &Scenario) -> Self {
        Self { saved_ms: vec![0; scenario.jobs.len()] }
    }

    fn restore_ms(&self, job: usize) -> u64 {
        if self.saved_ms[job] > 0 { RESTORE_MS } else { 0 }
    }

    /// Returns for how long the job runs if it starts now and is not stopped.
    pub fn run_ms(&self, job: usize, arrival: &Arrival, fails: bool) -> u64 {
        let left_ms = arrival.run_ms - self.saved_ms[job] + self.restore_ms(job);
        if fails { left_ms.min(FAILURE_MS) } else { left_ms }
    }

    /// Notes that a job was stopped after a time; `asked_ms` is the run time at which it was asked
    /// for a checkpoint. Returns the work that is lost, in accelerator milliseconds.
    pub fn stop(
        &mut self,
        job: usize,
        arrival: &Arrival,
        ran_ms: u64,
        asked_ms: Option<u64>,
    ) -> u64 {
        let restore_ms = self.restore_ms(job);
        let worked_ms = ran_ms.saturating_sub(restore_ms);
        let mut saved_ms = 0;
        if arrival.spec.can_checkpoint {
            saved_ms = worked_ms / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
            let written = asked_ms.filter(|asked_ms| asked_ms + CHECKPOINT_WRITE_MS <= ran_ms);
            let asked_ms = written.map_or(0, |asked_ms| asked_ms.saturating_sub(restore_ms));
            saved_ms = saved_ms.max(asked_ms);
        }
        let left_ms = arrival.run_ms - self.saved_ms[job];
        self.saved_ms[job] += saved_ms.min(left_ms.saturating_sub(1));
        worked_ms.saturating_sub(saved_ms) * u64::from(arrival.spec.accelerators)
    }
}
