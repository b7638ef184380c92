//! Work that jobs have saved in checkpoints, by rules that are the same for every policy.

use super::scenario::{Arrival, Scenario};

/// Delivery time of a message to a worker and of an answer to the scheduler.
pub const MESSAGE_DELAY_MS: u64 = 5;

/// Interval at which a job that can write checkpoints does so without a request.
const CHECKPOINT_INTERVAL_MS: u64 = 600_000;

/// Time for writing a checkpoint on request.
const CHECKPOINT_WRITE_MS: u64 = 500;

/// Time for restoring a checkpoint before the work continues.
const RESTORE_MS: u64 = 5_000;

/// Longest run time of a failing job, or of any job on a failing worker, before it fails.
const FAILURE_AFTER_MS: u64 = 5_000;

/// Saved work of each job, by its index in the scenario.
#[derive(Debug)]
pub struct SavedWork {
    saved_ms: Vec<u64>,
}

impl SavedWork {
    /// Builds the state in which no job has saved any work.
    pub fn new(scenario: &Scenario) -> Self {
        Self { saved_ms: vec![0; scenario.jobs.len()] }
    }

    fn restore_ms(&self, job: usize) -> u64 {
        if self.saved_ms[job] > 0 { RESTORE_MS } else { 0 }
    }

    /// Returns how long the job runs if it starts now and is not stopped.
    pub fn run_ms(&self, job: usize, arrival: &Arrival, fails: bool) -> u64 {
        let remaining_ms = arrival.run_ms - self.saved_ms[job] + self.restore_ms(job);
        if fails { remaining_ms.min(FAILURE_AFTER_MS) } else { remaining_ms }
    }

    /// Records that a job was stopped after `ran_ms`. `checkpoint_requested_ms` is the run time at
    /// which a checkpoint was requested. Returns the lost work in accelerator milliseconds.
    pub fn record_stop(
        &mut self,
        job: usize,
        arrival: &Arrival,
        ran_ms: u64,
        checkpoint_requested_ms: Option<u64>,
    ) -> u64 {
        let restore_ms = self.restore_ms(job);
        let worked_ms = ran_ms.saturating_sub(restore_ms);
        let mut saved_ms = 0;
        if arrival.spec.can_checkpoint {
            saved_ms = worked_ms / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
            let written = checkpoint_requested_ms
                .filter(|requested_ms| requested_ms + CHECKPOINT_WRITE_MS <= ran_ms);
            let requested_save_ms =
                written.map_or(0, |requested_ms| requested_ms.saturating_sub(restore_ms));
            saved_ms = saved_ms.max(requested_save_ms);
        }
        let remaining_ms = arrival.run_ms - self.saved_ms[job];
        self.saved_ms[job] += saved_ms.min(remaining_ms.saturating_sub(1));
        worked_ms.saturating_sub(saved_ms) * u64::from(arrival.spec.accelerators)
    }
}
