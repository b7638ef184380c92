//! Figures of one policy over all data centres of an installation.

use std::collections::BTreeMap;

use serde::Serialize;

use super::ledger::{Fragmentation, GUARANTEED_START_LIMIT_MS, JobTimes, Outcome, Recorder};
use super::scenario::{Arrival, Scenario};

/// Smallest size of a large gang, in accelerators.
const LARGE_GANG_ACCELERATORS: u32 = 16;

/// Figures of one policy.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Mean time from submission to completion, over the jobs that are not cancelled and do not
    /// fail by themselves; one that does not complete counts with its time to the end of the run.
    pub completion_mean_s: f64,
    /// 99th percentile of the same times.
    pub completion_p99_s: f64,
    /// Time average of the share of free accelerators in which no waiting job and no guaranteed
    /// block fits.
    pub fragmentation_mean: f64,
    /// The same, where only those waiting jobs count that the policy allows to start next.
    pub fragmentation_startable_mean: f64,
    /// Free accelerators in which none of them fits, as a share of the whole pool.
    pub fragmentation_of_pool_mean: f64,
    /// Time average of the share of accelerators that gangs hold, within the window of arrivals.
    pub used_mean: f64,
    /// Covered guaranteed jobs that started late and had no fault near.
    pub guarantee_violations: u64,
    /// Covered guaranteed jobs that started late during a fault or within a minute after it.
    pub guarantee_late_near_faults: u64,
    /// Guaranteed jobs for which a guaranteed block of their organisation had room.
    pub guaranteed_covered: u64,
    /// 99th percentile of the time from cover to start of those that had no fault near.
    pub urgent_start_p99_s: f64,
    /// Longest of the same times.
    pub urgent_start_max_s: f64,
    /// Reports of a guarantee at risk.
    pub guarantees_at_risk: u64,
    /// Longest wait of a gang of 16 or more accelerators for a placement.
    pub large_gang_wait_max_s: f64,
    /// 99th percentile of the large gangs' longest waits.
    pub large_gang_wait_p99_s: f64,
    /// Jobs accepted.
    pub jobs_accepted: u64,
    /// Jobs refused.
    pub jobs_refused: u64,
    /// Jobs completed.
    pub jobs_completed: u64,
    /// Jobs cancelled.
    pub jobs_cancelled: u64,
    /// Jobs that failed.
    pub jobs_failed: u64,
    /// Jobs that should have completed and failed instead.
    pub jobs_blamed: u64,
    /// Jobs that have not ended.
    pub jobs_unfinished: u64,
    /// Gangs stopped for other work.
    pub preemptions: u64,
    /// Work done and then lost, as a share of the offered work.
    pub lost_work_share: f64,
    /// Time at which the last data centre's run ended.
    pub end_s: f64,
    /// Mean completion time by kind of work.
    pub completion_mean_by_kind_s: BTreeMap<String, f64>,
}

/// Collects the figures of one policy.
#[derive(Debug, Default)]
pub struct Collector {
    figures: Figures,
    completion_s: Vec<f64>,
    completion_by_kind_s: BTreeMap<String, Vec<f64>>,
    urgent_start_s: Vec<f64>,
    large_gang_wait_s: Vec<f64>,
    lost_work_ms: u64,
    offered_ms: u64,
    data_centres: f64,
}

impl Collector {
    /// Adds the run of one data centre, which ended at `end_ms`.
    pub fn add(&mut self, scenario: &Scenario, recorder: &Recorder<'_>, end_ms: u64) {
        for (arrival, times) in scenario.jobs.iter().zip(&recorder.jobs) {
            self.add_job(scenario, arrival, times, end_ms);
        }
        self.add_fragmentation(recorder.mean_fragmentation());
        self.figures.guarantees_at_risk += recorder.guarantees_at_risk;
        self.figures.preemptions += recorder.preemptions;
        self.figures.end_s = self.figures.end_s.max(seconds(end_ms));
        self.lost_work_ms += recorder.lost_work_ms;
        self.offered_ms += scenario.offered_ms();
        self.data_centres += 1.0;
    }

    fn add_fragmentation(&mut self, fragmentation: Fragmentation) {
        self.figures.fragmentation_mean += fragmentation.unusable_of_free;
        self.figures.fragmentation_startable_mean += fragmentation.unusable_by_startable_of_free;
        self.figures.fragmentation_of_pool_mean += fragmentation.unusable_of_pool;
        self.figures.used_mean += fragmentation.used_of_pool;
    }

    fn add_job(&mut self, scenario: &Scenario, arrival: &Arrival, times: &JobTimes, end_ms: u64) {
        if !times.accepted {
            self.figures.jobs_refused += 1;
            return;
        }
        self.figures.jobs_accepted += 1;
        match times.end {
            Some((_, Outcome::Completed)) => self.figures.jobs_completed += 1,
            Some((_, Outcome::Cancelled)) => self.figures.jobs_cancelled += 1,
            Some((_, Outcome::Failed)) => self.figures.jobs_failed += 1,
            None => self.figures.jobs_unfinished += 1,
        }
        if arrival.should_complete() {
            self.add_completion(arrival, times, end_ms);
        }
        if arrival.spec.accelerators >= LARGE_GANG_ACCELERATORS {
            let current_wait_ms = times.waiting_since_ms.map_or(0, |since_ms| end_ms - since_ms);
            self.large_gang_wait_s.push(seconds(times.longest_wait_ms.max(current_wait_ms)));
        }
        self.add_urgent_start(scenario, times, end_ms);
    }

    fn add_completion(&mut self, arrival: &Arrival, times: &JobTimes, end_ms: u64) {
        let completed = times.end.filter(|(_, outcome)| *outcome == Outcome::Completed);
        self.figures.jobs_blamed += u64::from(matches!(times.end, Some((_, Outcome::Failed))));
        let ended_ms = completed.map_or(end_ms, |(at_ms, _)| at_ms);
        let completion_s = seconds(ended_ms - arrival.at_ms);
        self.completion_s.push(completion_s);
        self.completion_by_kind_s.entry(arrival.spec.kind.clone()).or_default().push(completion_s);
    }

    /// Adds the time from cover to start of a guaranteed job.
    fn add_urgent_start(&mut self, scenario: &Scenario, times: &JobTimes, end_ms: u64) {
        let Some(covered_ms) = times.covered_ms else { return };
        let ended_ms = times.end.map_or(end_ms, |(at_ms, _)| at_ms);
        // A job that never started waited until it ended, or until the end of the run.
        let started_ms = times.started_ms.unwrap_or(ended_ms);
        let wait_ms = started_ms.saturating_sub(covered_ms);
        let late = u64::from(wait_ms > GUARANTEED_START_LIMIT_MS);
        self.figures.guaranteed_covered += 1;
        if scenario.is_fault_free(covered_ms, started_ms) {
            self.figures.guarantee_violations += late;
            self.urgent_start_s.push(seconds(wait_ms));
        } else {
            self.figures.guarantee_late_near_faults += late;
        }
    }

    /// Computes the figures of all data centres that were added.
    pub fn finish(mut self) -> Figures {
        let mut figures = self.figures;
        figures.completion_mean_s = mean(&self.completion_s);
        figures.completion_p99_s = percentile(&mut self.completion_s, 0.99);
        figures.urgent_start_p99_s = percentile(&mut self.urgent_start_s, 0.99);
        figures.urgent_start_max_s = percentile(&mut self.urgent_start_s, 1.0);
        figures.large_gang_wait_p99_s = percentile(&mut self.large_gang_wait_s, 0.99);
        figures.large_gang_wait_max_s = percentile(&mut self.large_gang_wait_s, 1.0);
        figures.lost_work_share = self.lost_work_ms as f64 / self.offered_ms.max(1) as f64;
        for share in [
            &mut figures.fragmentation_mean,
            &mut figures.fragmentation_startable_mean,
            &mut figures.fragmentation_of_pool_mean,
            &mut figures.used_mean,
        ] {
            *share /= self.data_centres;
        }
        let kinds = self.completion_by_kind_s.into_iter().map(|(kind, times)| (kind, mean(&times)));
        figures.completion_mean_by_kind_s = kinds.collect();
        figures
    }
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the smallest value that at least `share` of the values do not exceed; 0 if there is no
/// value.
fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a length is a small number that is not negative"
    )]
    let rank = (values.len() as f64 * share).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
