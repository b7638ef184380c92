//! Maintenance of physical hosts in waves.

use std::sync::Arc;
use std::time::Duration;

use tracing::{info, warn};

use super::Leader;
use crate::cluster::clock::boot_ms;
use crate::cluster::upstream_calls::{CallFault, MaintenanceAnswer, MaintenanceOrder};
use crate::placement::{Candidate, evacuation_limit_ms, free_wave_slots, order_candidates};
use crate::tasks::{Change, Incarnation, MachineState, UnitId};

/// Interval at which the progress of waves is checked.
const WAVE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Pause before a maintenance order is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Physical hosts to act on in one check.
struct HostSelection {
    /// Hosts to evacuate.
    to_evacuate: Vec<Arc<str>>,
    /// Hosts that may go down now, with the wave of each.
    to_take_down: Vec<(u64, Arc<str>)>,
}

impl Leader {
    /// Advances all waves until the term ends.
    pub(super) async fn maintain_forever(self: &Arc<Self>) {
        // The orders of two leaders for one host must be at least the platform's order lease apart.
        tokio::time::sleep(Duration::from_millis(self.bounds.order_lease_ms)).await;
        loop {
            tokio::time::sleep(WAVE_CHECK_INTERVAL).await;
            if self.replica.is_confirmed_leader() {
                self.advance_waves().await;
            }
        }
    }

    async fn advance_waves(self: &Arc<Self>) {
        self.record_returned_hosts().await;
        let HostSelection { to_evacuate, to_take_down } = self.select_hosts();
        for machine in to_evacuate {
            self.evacuate(&machine);
        }
        for (wave, machine) in to_take_down {
            self.take_down(wave, machine).await;
        }
    }

    /// Records hosts on which a new upstream has registered since they went down.
    async fn record_returned_hosts(&self) {
        let returned: Vec<(u64, Arc<str>)> = {
            let inner = self.replica.lock();
            let state = &inner.state;
            let mut returned = Vec::new();
            for (number, wave) in &state.waves {
                for (machine, progress) in &wave.machines {
                    let MachineState::Down { former } = progress else { continue };
                    let incarnations = state.upstreams.values().filter(|up| runs_on(up, machine));
                    let mut others = incarnations.filter(|up| Some(up.incarnation()) != *former);
                    if others.next().is_some() {
                        returned.push((*number, Arc::clone(machine)));
                    }
                }
            }
            returned
        };
        for (wave, machine) in returned {
            info!(wave, machine = %machine, "host is back from maintenance");
            self.record_machine_state(wave, machine, MachineState::Done).await;
        }
    }

    /// Selects hosts to evacuate, and hosts that may go down now.
    fn select_hosts(&self) -> HostSelection {
        let now_ms = boot_ms();
        let inner = self.replica.lock();
        let mut term_state = self.term_state();
        let (mut to_evacuate, mut to_take_down) = (Vec::new(), Vec::new());
        for (number, wave) in &inner.state.waves {
            let evacuation_limit_ms =
                evacuation_limit_ms(wave, inner.now_ms(), self.bounds.maintenance_ms);
            let mut free_slots = free_wave_slots(wave);
            let waiting =
                |machine: &Arc<str>| wave.machines.get(machine) == Some(&MachineState::Waiting);
            let moving: Vec<_> =
                term_state.evacuating.iter().filter(|(machine, _)| waiting(machine)).collect();
            for (machine, since_ms) in moving {
                let empty = inner
                    .state
                    .upstreams
                    .values()
                    .filter(|up| runs_on(up, machine))
                    .all(|up| inner.state.runs_of(&up.incarnation()).is_empty());
                free_slots = free_slots.saturating_sub(1);
                if empty || now_ms >= since_ms + evacuation_limit_ms {
                    to_take_down.push((*number, Arc::clone(machine)));
                }
            }
            let open = wave.machines.keys().filter(|machine| {
                waiting(machine) && !term_state.evacuating.contains_key(*machine)
            });
            let candidates = open.map(|machine| {
                let incarnations = inner.state.upstreams.values().filter(|up| runs_on(up, machine));
                let runs: usize =
                    incarnations.map(|up| inner.state.runs_of(&up.incarnation()).len()).sum();
                Candidate { machine: Arc::clone(machine), runs: runs as u64 }
            });
            let next = order_candidates(candidates.collect()).into_iter().take(free_slots);
            to_evacuate.extend(next.map(|candidate| candidate.machine));
        }
        term_state
            .evacuating
            .extend(to_evacuate.iter().map(|machine| (Arc::clone(machine), now_ms)));
        HostSelection { to_evacuate, to_take_down }
    }

    /// Stops runs that have checkpoints or must continue elsewhere; other runs may finish.
    fn evacuate(&self, machine: &Arc<str>) {
        let runs: Vec<(UnitId, u32, Incarnation)> = {
            let inner = self.replica.lock();
            let incarnations = inner.state.upstreams.values().filter(|up| runs_on(up, machine));
            let incarnations: Vec<_> =
                incarnations.map(crate::tasks::Upstream::incarnation).collect();
            let mut runs = Vec::new();
            for incarnation in incarnations {
                for (task, run) in inner.state.runs_of(&incarnation) {
                    let Some(job) = inner.state.jobs.get(&task.job) else { continue };
                    let step = &job.spec.steps[task.step as usize];
                    let must_move = step.checkpoints || step.lasting;
                    let may_stop = step.away_limit.is_none_or(|limit| {
                        units_not_running(job, task.occurrence, task.step) < limit as usize
                    });
                    let Some((unit, _)) = job.locate_task(task.step, task.index) else { continue };
                    if must_move && may_stop {
                        let (occurrence, step) = (task.occurrence, task.step);
                        let unit = UnitId { job: task.job, occurrence, step, unit };
                        runs.push((unit, run, incarnation.clone()));
                    }
                }
            }
            runs
        };
        info!(machine = %machine, stopped = runs.len(), "host is evacuated for maintenance");
        for (unit, run, _) in runs {
            self.stop_unit(&unit, run, crate::placement::StopCause::Maintenance);
        }
    }

    /// Orders the maintenance of a host and repeats the order until its outcome is known.
    async fn take_down(&self, wave: u64, machine: Arc<str>) {
        let former = {
            let inner = self.replica.lock();
            let mut incarnations =
                inner.state.upstreams.values().filter(|up| runs_on(up, &machine));
            incarnations.next().map(crate::tasks::Upstream::incarnation)
        };
        let down = MachineState::Down { former };
        if !self.record_machine_state(wave, Arc::clone(&machine), down).await {
            return;
        }
        loop {
            if !self.replica.is_confirmed_leader() {
                return;
            }
            let fencing_token = self.term;
            let order = MaintenanceOrder { machine: Arc::clone(&machine), wave, fencing_token };
            match (self.calls.maintain)(order).await {
                Ok(MaintenanceAnswer::Begun) => {
                    info!(wave, machine = %machine, "maintenance has begun");
                    break;
                }
                Ok(MaintenanceAnswer::NotWanted) => {
                    warn!(wave, machine = %machine, "host needs no maintenance");
                    self.record_machine_state(wave, Arc::clone(&machine), MachineState::Done).await;
                    break;
                }
                Ok(MaintenanceAnswer::Busy) => {
                    info!(wave, machine = %machine, "host is not up yet");
                    self.record_machine_state(wave, Arc::clone(&machine), MachineState::Waiting)
                        .await;
                    break;
                }
                Err(CallFault::Fenced) => {
                    warn!(wave, machine = %machine, "a newer leader maintains the host");
                    break;
                }
                Ok(MaintenanceAnswer::Throttled) | Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        self.term_state().evacuating.remove(&machine);
    }

    async fn record_machine_state(
        &self,
        wave: u64,
        machine: Arc<str>,
        state: MachineState,
    ) -> bool {
        self.replica.propose(Change::SetMachineState { wave, machine, state }).await.is_ok()
    }
}

/// Returns whether an upstream runs on a physical host.
fn runs_on(upstream: &crate::tasks::Upstream, machine: &Arc<str>) -> bool {
    upstream.heartbeat.machine.as_ref() == Some(machine)
}

/// Counts the units of a step that are not running.
fn units_not_running(job: &crate::tasks::Job, occurrence: u32, step: u32) -> usize {
    let steps = job.occurrences.get(occurrence).unwrap_or_default();
    let step = steps.get(step as usize);
    step.map_or(0, |step| step.units.iter().filter(|unit| !unit.is_running()).count())
}
