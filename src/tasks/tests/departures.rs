//! Announced departures of upstreams in the replicated state.

use super::sample::{Sample, heartbeat, incarnation};
use crate::cluster::codec;
use crate::tasks::{Change, Heartbeat, Incarnation, MachineState, State};

fn sample_on_a_machine() -> Sample {
    let mut sample = Sample::with_hosts(0);
    sample.apply(register(heartbeat(0)));
    let machines = vec!["machine".into()];
    sample.apply(Change::StartWave { number: 1, machines, cap: 1, duration_ms: 1_000 });
    sample
}

fn register(heartbeat: Heartbeat) -> Change {
    Change::RegisterUpstream {
        heartbeat: Heartbeat { machine: Some("machine".into()), ..heartbeat },
    }
}

fn leave(incarnation: Incarnation) -> Change {
    Change::RecordLeave { incarnation }
}

fn set(sample: &mut Sample, state: MachineState) {
    sample.apply(Change::SetMachineState { wave: 1, machine: "machine".into(), state });
}

fn is_maintained(sample: &Sample, host: u32) -> bool {
    sample.state.departure_of(&incarnation(host)).maintained
}

/// Guards against a leader that does not know of a leave which the one before has acknowledged, and
/// against a leave that is kept for an upstream that is gone.
#[test]
fn a_leave_is_kept_until_its_upstream_is_removed() {
    let mut sample = Sample::with_hosts(1);
    sample.apply(leave(incarnation(0)));
    sample.apply(leave(incarnation(7)));
    let copy: State = codec::decode(&codec::encode(&sample.state)).expect("it was encoded");
    assert!(copy.departure_of(&incarnation(0)).leaves);
    sample.apply(Change::RemoveUpstream { incarnation: incarnation(0) });
    assert!(sample.state.departures.is_empty());
}

/// Guards against a restarted upstream that counts as leaving because its former life has left.
#[test]
fn a_successor_has_announced_nothing() {
    let mut sample = Sample::with_hosts(1);
    sample.apply(leave(incarnation(0)));
    let successor = Heartbeat { born_unix_ms: 2_000, ..heartbeat(0) };
    sample.apply(Change::RegisterUpstream { heartbeat: successor });
    assert!(sample.state.departures.is_empty());
}

/// Guards against an upstream that was taken down for maintenance and counts as crashed, since its silence
/// is noticed after its host has come back.
#[test]
fn maintenance_counts_until_the_former_upstream_is_removed() {
    let mut sample = sample_on_a_machine();
    set(&mut sample, MachineState::Down { former: Some(incarnation(0)) });
    sample.apply(register(heartbeat(1)));
    set(&mut sample, MachineState::Done);
    assert!(is_maintained(&sample, 0));
    assert!(!is_maintained(&sample, 1));
}

/// Guards against a crash that is excused by maintenance which the host did not need, or was not up for.
#[test]
fn maintenance_that_did_not_begin_announces_nothing() {
    for state in [MachineState::Waiting, MachineState::Done] {
        let mut sample = sample_on_a_machine();
        set(&mut sample, MachineState::Down { former: Some(incarnation(0)) });
        assert!(is_maintained(&sample, 0));
        set(&mut sample, state);
        assert!(!is_maintained(&sample, 0));
    }
}
