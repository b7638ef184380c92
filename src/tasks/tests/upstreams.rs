//! Lives of upstreams and what they carry.

use super::sample::{Sample, beat, life, step};
use crate::cluster::codec;
use crate::tasks::{Change, EndKind, Heartbeat, JobState, Life, State};

/// What ran in a former life of an upstream is over with it.
#[test]
fn a_new_life_ends_the_runs_of_the_former() {
    let mut sample = Sample::with_hosts(1);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.apply(Change::Register { beat: Heartbeat { born_unix_ms: 2_000, ..beat(0) } });
    assert!(sample.state.runs_of(&life(0)).is_empty());
    assert!(!sample.state.jobs[&job].unit(0, 0, 0).unwrap().is_running());
}

/// The report of a run's end and the news that its upstream has left overtake each other; a run
/// that was done must not start again.
#[test]
fn an_overtaken_report_of_a_done_run_counts() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.apply(Change::Leave { life: life(0) });
    sample.end(&job, 0, 1, 0, EndKind::Done);
    sample.start(&job, 0, 2, &[1]);
    assert!(sample.state.runs_of(&life(1)).is_empty());
    assert_eq!(sample.state.jobs[&job].state(), JobState::Completed);
}

/// A heartbeat that was held up must not bring a former life or state back.
#[test]
fn late_heartbeats_change_nothing() {
    let mut sample = Sample::with_hosts(1);
    let draining = Heartbeat { sequence: 5, draining: true, ..beat(0) };
    sample.apply(Change::Register { beat: draining.clone() });
    sample.apply(Change::Register { beat: Heartbeat { sequence: 4, ..beat(0) } });
    assert!(sample.state.upstreams[&beat(0).id].beat.draining);
    sample.apply(Change::Register { beat: Heartbeat { born_unix_ms: 2_000, ..beat(0) } });
    sample.apply(Change::Register { beat: draining });
    let known = &sample.state.upstreams[&beat(0).id].beat;
    assert_eq!((known.born_unix_ms, known.draining), (2_000, false));
}

/// Ends are numbered anew in each life.
#[test]
fn ends_are_counted_for_each_life() {
    let mut sample = Sample::with_hosts(1);
    sample.apply(Change::Ends { life: life(0), up_to: 7, ends: Vec::new() });
    assert_eq!(sample.state.upstreams[&life(0).id].ends_seen, 7);
    sample.apply(Change::Register { beat: Heartbeat { born_unix_ms: 2_000, ..beat(0) } });
    sample.apply(Change::Ends { life: life(0), up_to: 9, ends: Vec::new() });
    assert_eq!(sample.state.upstreams[&life(0).id].ends_seen, 0);
}

/// The index of runs is derived: a host that installs a snapshot must rebuild the same.
#[test]
fn a_decoded_state_knows_its_runs() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(3, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.start(&job, 2, 1, &[0]);
    let mut copy: State = codec::decode(&codec::encode(&sample.state)).unwrap();
    copy.rebuild();
    assert_eq!(copy.runs_of(&life(0)), sample.state.runs_of(&life(0)));
    assert_eq!(copy.runs_of(&life(0)).len(), 2);
    let other = Life { born_unix_ms: 1, ..life(0) };
    assert!(copy.runs_of(&other).is_empty());
}
