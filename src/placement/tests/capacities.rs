//! Hosts whose capacity shrinks and grows while they run tasks.

use super::pool_view::{Inputs, decide, decide_and_start};
use crate::placement::{Plan, Progress};
use crate::tasks::tests::sample::{HOST, Sample, gang, heartbeat, job_id, step};
use crate::tasks::{Change, EndKind, Heartbeat, Resources, UnitId};

/// Sets the number of accelerators of a host, with a share of its other resources.
fn resize(sample: &mut Sample, host: u32, sequence: u64, accelerators: u32) {
    let share = |of: u32| of / HOST.accelerators * accelerators;
    let capacity = Resources {
        cpu_millicores: share(HOST.cpu_millicores),
        memory_mb: share(HOST.memory_mb),
        accelerators,
    };
    let heartbeat = Heartbeat { sequence, capacity, ..heartbeat(host) };
    sample.apply(Change::RegisterUpstream { heartbeat });
}

fn unit(job: u64) -> UnitId {
    UnitId { job: job_id(job), occurrence: 0, step: 0, unit: 0 }
}

fn stopped(plan: &Plan) -> Vec<UnitId> {
    let mut units: Vec<_> = plan.stops.iter().map(|(unit, ..)| unit.clone()).collect();
    units.sort();
    units
}

/// Guards against starts that bring a shrunk host over its capacity. A run that is being stopped
/// takes its capacity until it has ended; when the host has grown again, it takes work again.
#[test]
fn a_shrunk_host_takes_no_more_than_it_holds() {
    let mut sample = Sample::with_hosts(1);
    for job in 1..=2 {
        sample.accept(job, "normal", vec![step(1, 4)]);
    }
    decide_and_start(&mut sample, &Inputs::default());
    resize(&mut sample, 0, 2, 4);
    sample.accept(3, "normal", vec![step(1, 1)]);
    let mut inputs = Inputs::default();
    assert!(decide(&sample, &inputs).starts.is_empty(), "twice its capacity is in use");
    inputs.stopping.insert((unit(1), 1));
    assert!(decide(&sample, &inputs).starts.is_empty(), "the stopping run still counts");
    sample.end(&job_id(1), 0, 1, 0, EndKind::Done);
    assert!(decide(&sample, &inputs).starts.is_empty(), "the host is full");
    resize(&mut sample, 0, 3, 8);
    assert_eq!(decide(&sample, &Inputs::default()).starts.len(), 1);
}

/// Guards against an older report that gives a shrunk host its former capacity back.
#[test]
fn an_overtaken_report_does_not_resize_a_host() {
    let mut sample = Sample::with_hosts(1);
    resize(&mut sample, 0, 5, 4);
    resize(&mut sample, 0, 4, 8);
    sample.accept(1, "normal", vec![step(1, 8)]);
    assert!(decide(&sample, &Inputs::default()).starts.is_empty());
}

/// Guards against preemption that forgets how far a shrunk host is over its capacity: it stops too
/// little, and the urgent job waits for one round of stops after the other.
#[test]
fn preemption_frees_enough_of_a_shrunk_host() {
    let mut sample = Sample::with_hosts(1);
    for job in 1..=4 {
        sample.accept(job, "batch", vec![step(1, 2)]);
    }
    decide_and_start(&mut sample, &Inputs::default());
    resize(&mut sample, 0, 2, 4);
    sample.accept(9, "urgent", vec![step(1, 2)]);
    let plan = decide(&sample, &Inputs::default());
    assert_eq!(stopped(&plan).len(), 3, "{:?}", plan.stops);
}

/// Guards against work that is stopped in vain on a shrunk host, where the urgent job would not fit
/// afterwards, while another host could be freed.
#[test]
fn preemption_prefers_a_host_that_has_not_shrunk() {
    let mut sample = Sample::with_hosts(2);
    for job in 1..=4 {
        sample.accept(job, "batch", vec![step(1, 4)]);
    }
    decide_and_start(&mut sample, &Inputs::default());
    resize(&mut sample, 0, 2, 4);
    sample.accept(9, "urgent", vec![gang(1, 4)]);
    let mut inputs = Inputs::default();
    for job in 1..=4 {
        let progress = Progress { unsaved_ms: 1_000, left_ms: 3_000, ..Progress::default() };
        inputs.progress.insert((unit(job), 1), progress);
    }
    let plan = decide(&sample, &inputs);
    assert_eq!(stopped(&plan).len(), 1);
    let stopped_on = &sample.state.jobs[&plan.stops[0].0.job].unit(0, 0, 0).unwrap().members()[0];
    assert_eq!(stopped_on.incarnation.id, heartbeat(1).id);
}
