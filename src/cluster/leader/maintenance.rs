//! Maintenance of physical hosts in waves.

use std::sync::Arc;
use std::time::Duration;

use tracing::{info, warn};

use super::Leader;
use crate::cluster::clock::boot_ms;
use crate::cluster::upstream_calls::{CallFault, MaintenanceAnswer, MaintenanceOrder};
use crate::placement::{Candidate, evacuation_limit_ms, free_wave_slots, order_candidates};
use crate::tasks::{Change, Life, MachineState, UnitId};

/// Interval at which waves are looked at.
const INTERVAL: Duration = Duration::from_millis(300);

/// Pause after a call that was not carried out.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Physical hosts whose turn has come.
struct Chosen {
    /// Their work should move away.
    chosen: Vec<Arc<str>>,
    /// They may go down now, each for its wave.
    ready: Vec<(u64, Arc<str>)>,
}

impl Leader {
    /// Carries waves on until the term ends.
    pub(super) async fn maintain_forever(self: &Arc<Self>) {
        // Leaders must not take turns on one host within the platform's lease of orders.
        tokio::time::sleep(Duration::from_millis(self.bounds.order_lease_ms)).await;
        loop {
            tokio::time::sleep(INTERVAL).await;
            if self.replica.is_confirmed_leader() {
                self.carry_waves_on().await;
            }
        }
    }

    async fn carry_waves_on(self: &Arc<Self>) {
        self.note_hosts_back().await;
        let Chosen { chosen, ready } = self.choose_hosts();
        for machine in chosen {
            self.evacuate(&machine);
        }
        for (wave, machine) in ready {
            self.take_down(wave, machine).await;
        }
    }

    /// Records hosts of which a new life has registered since their maintenance.
    async fn note_hosts_back(&self) {
        let back: Vec<(u64, Arc<str>)> = {
            let inner = self.replica.lock();
            let state = &inner.state;
            let mut back = Vec::new();
            for (number, wave) in &state.waves {
                for (machine, progress) in &wave.machines {
                    let MachineState::Down { former } = progress else { continue };
                    let lives = state.upstreams.values().filter(|up| on(up, machine));
                    let mut others = lives.filter(|up| Some(up.life()) != *former);
                    if others.next().is_some() {
                        back.push((*number, Arc::clone(machine)));
                    }
                }
            }
            back
        };
        for (wave, machine) in back {
            info!(wave, machine = %machine, "host is back from maintenance");
            self.record(wave, machine, MachineState::Done).await;
        }
    }

    /// Chooses hosts whose work should move away, and those that may go down now.
    fn choose_hosts(&self) -> Chosen {
        let now_ms = boot_ms();
        let inner = self.replica.lock();
        let mut soft = self.soft();
        let (mut chosen, mut ready) = (Vec::new(), Vec::new());
        for (number, wave) in &inner.state.waves {
            let evacuation_limit_ms =
                evacuation_limit_ms(wave, inner.now_ms(), self.bounds.maintenance_ms);
            let mut places = free_wave_slots(wave);
            let waiting =
                |machine: &Arc<str>| wave.machines.get(machine) == Some(&MachineState::Waiting);
            let moving: Vec<_> =
                soft.evacuating.iter().filter(|(machine, _)| waiting(machine)).collect();
            for (machine, since_ms) in moving {
                let empty = inner
                    .state
                    .upstreams
                    .values()
                    .filter(|up| on(up, machine))
                    .all(|up| inner.state.runs_of(&up.life()).is_empty());
                places = places.saturating_sub(1);
                if empty || now_ms >= since_ms + evacuation_limit_ms {
                    ready.push((*number, Arc::clone(machine)));
                }
            }
            let open = wave
                .machines
                .keys()
                .filter(|machine| waiting(machine) && !soft.evacuating.contains_key(*machine));
            let candidates = open.map(|machine| {
                let lives = inner.state.upstreams.values().filter(|up| on(up, machine));
                let runs: usize = lives.map(|up| inner.state.runs_of(&up.life()).len()).sum();
                Candidate { machine: Arc::clone(machine), runs: runs as u64 }
            });
            let next = order_candidates(candidates.collect()).into_iter().take(places);
            chosen.extend(next.map(|candidate| candidate.machine));
        }
        soft.evacuating.extend(chosen.iter().map(|machine| (Arc::clone(machine), now_ms)));
        Chosen { chosen, ready }
    }

    /// Stops what has saved its progress or must run on elsewhere; the rest may end by itself.
    fn evacuate(&self, machine: &Arc<str>) {
        let runs: Vec<(UnitId, u32, Life)> = {
            let inner = self.replica.lock();
            let lives = inner.state.upstreams.values().filter(|up| on(up, machine));
            let lives: Vec<_> = lives.map(crate::tasks::Upstream::life).collect();
            let mut runs = Vec::new();
            for life in lives {
                for (task, run) in inner.state.runs_of(&life) {
                    let Some(job) = inner.state.jobs.get(&task.job) else { continue };
                    let step = &job.spec.steps[task.step as usize];
                    let moves = step.checkpoints || step.lasting;
                    let free_to_stop = step
                        .away_limit
                        .is_none_or(|limit| away(job, task.occurrence, task.step) < limit as usize);
                    let Some((unit, _)) = job.place_of(task.step, task.index) else { continue };
                    if moves && free_to_stop {
                        let (occurrence, step) = (task.occurrence, task.step);
                        let unit = UnitId { job: task.job, occurrence, step, unit };
                        runs.push((unit, run, life.clone()));
                    }
                }
            }
            runs
        };
        info!(machine = %machine, stopped = runs.len(), "work moves away from a host");
        for (unit, run, _) in runs {
            self.stop_unit(&unit, run, crate::placement::StopCause::Maintenance);
        }
    }

    /// Orders the maintenance of a host until it is known to have begun.
    async fn take_down(&self, wave: u64, machine: Arc<str>) {
        let former = {
            let inner = self.replica.lock();
            let mut lives = inner.state.upstreams.values().filter(|up| on(up, &machine));
            lives.next().map(crate::tasks::Upstream::life)
        };
        let down = MachineState::Down { former };
        if !self.record(wave, Arc::clone(&machine), down).await {
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
                    self.record(wave, Arc::clone(&machine), MachineState::Done).await;
                    break;
                }
                Ok(MaintenanceAnswer::Busy) => {
                    info!(wave, machine = %machine, "host is not up yet");
                    self.record(wave, Arc::clone(&machine), MachineState::Waiting).await;
                    break;
                }
                Err(CallFault::Fenced) => {
                    warn!(wave, machine = %machine, "a newer leader maintains the host");
                    break;
                }
                Ok(MaintenanceAnswer::Throttled) | Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        self.soft().evacuating.remove(&machine);
    }

    async fn record(&self, wave: u64, machine: Arc<str>, state: MachineState) -> bool {
        self.replica.propose(Change::Maintain { wave, machine, state }).await.is_ok()
    }
}

/// Tells whether an upstream runs on a physical host.
fn on(upstream: &crate::tasks::Upstream, machine: &Arc<str>) -> bool {
    upstream.beat.machine.as_ref() == Some(machine)
}

/// Counts the tasks of a step that do not run.
fn away(job: &crate::tasks::Job, occurrence: u32, step: u32) -> usize {
    let units = &job.occurrences[occurrence as usize][step as usize].units;
    units.iter().filter(|unit| !unit.is_running()).count()
}
