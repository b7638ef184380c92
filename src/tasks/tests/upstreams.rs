//! Incarnations of upstreams and their runs.

use rstest::rstest;

use super::sample::{Sample, gang, heartbeat, incarnation, step};
use crate::cluster::codec;
use crate::tasks::{Change, EndKind, Heartbeat, Incarnation, JobState, State};

/// Guards against runs that stay recorded after their upstream has restarted.
#[test]
fn a_restart_ends_the_runs_of_the_former_incarnation() {
    let mut sample = Sample::with_hosts(1);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.apply(Change::RegisterUpstream {
        heartbeat: Heartbeat { born_unix_ms: 2_000, ..heartbeat(0) },
    });
    assert!(sample.state.runs_of(&incarnation(0)).is_empty());
    assert!(!sample.state.jobs[&job].unit(0, 0, 0).unwrap().is_running());
}

/// Guards against a unit that waits without end for a run on an upstream that is gone: the start was
/// decided before the upstream left, and recorded afterwards.
#[test]
fn a_start_on_an_upstream_that_is_gone_is_ignored() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![gang(2, 8)]);
    sample.apply(Change::RemoveUpstream { incarnation: incarnation(1) });
    sample.start(&job, 0, 1, &[0, 1]);
    assert!(!sample.state.jobs[&job].unit(0, 0, 0).unwrap().is_running());
    assert!(!sample.state.has_runs(&incarnation(0)));
}

/// Guards against a second run of finished work: the report of success may arrive after the record
/// that its upstream has left.
#[test]
fn an_overtaken_report_of_a_done_run_counts() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.apply(Change::RemoveUpstream { incarnation: incarnation(0) });
    sample.end(&job, 0, 1, 0, EndKind::Done);
    sample.start(&job, 0, 2, &[1]);
    assert!(sample.state.runs_of(&incarnation(1)).is_empty());
    assert_eq!(sample.state.jobs[&job].state(), JobState::Completed);
}

/// Guards against a delayed heartbeat that restores a former incarnation or state.
#[test]
fn late_heartbeats_change_nothing() {
    let mut sample = Sample::with_hosts(1);
    let draining = Heartbeat { sequence: 5, draining: true, ..heartbeat(0) };
    sample.apply(Change::RegisterUpstream { heartbeat: draining.clone() });
    sample.apply(Change::RegisterUpstream { heartbeat: Heartbeat { sequence: 4, ..heartbeat(0) } });
    assert!(sample.state.upstreams[&heartbeat(0).id].heartbeat.draining);
    sample.apply(Change::RegisterUpstream {
        heartbeat: Heartbeat { born_unix_ms: 2_000, ..heartbeat(0) },
    });
    sample.apply(Change::RegisterUpstream { heartbeat: draining });
    let known = &sample.state.upstreams[&heartbeat(0).id].heartbeat;
    assert_eq!((known.born_unix_ms, known.draining), (2_000, false));
}

/// Guards against lost ends after a restart: each incarnation numbers its ends from 1 again.
#[test]
fn ends_are_numbered_for_each_incarnation() {
    let mut sample = Sample::with_hosts(1);
    sample.apply(Change::RecordEnds { incarnation: incarnation(0), up_to: 7, ends: Vec::new() });
    assert_eq!(sample.state.upstreams[&incarnation(0).id].ends_seen, 7);
    sample.apply(Change::RegisterUpstream {
        heartbeat: Heartbeat { born_unix_ms: 2_000, ..heartbeat(0) },
    });
    sample.apply(Change::RecordEnds { incarnation: incarnation(0), up_to: 9, ends: Vec::new() });
    assert_eq!(sample.state.upstreams[&incarnation(0).id].ends_seen, 0);
}

/// Guards against a host that lacks the derived index of runs after it has installed a snapshot.
#[test]
fn a_decoded_state_rebuilds_its_index_of_runs() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(3, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.start(&job, 2, 1, &[0]);
    let mut copy: State = codec::decode(&codec::encode(&sample.state)).unwrap();
    copy.rebuild();
    assert_eq!(copy.runs_of(&incarnation(0)), sample.state.runs_of(&incarnation(0)));
    assert_eq!(copy.runs_of(&incarnation(0)).len(), 2);
    let other = Incarnation { born_unix_ms: 1, ..incarnation(0) };
    assert!(copy.runs_of(&other).is_empty());
}

/// Guards against heartbeats that are stored again and again, and against one that is taken for
/// known although it tells of a change or of another incarnation. Late ones change nothing.
#[rstest]
#[case::again(2, 1_000, false, true)]
#[case::drains(2, 1_000, true, false)]
#[case::late(0, 1_000, true, true)]
#[case::restarted(2, 2_000, false, false)]
#[case::former(2, 500, false, false)]
fn a_heartbeat_that_tells_nothing_new_is_told_apart(
    #[case] sequence: u64,
    #[case] born_unix_ms: u64,
    #[case] draining: bool,
    #[case] is_described: bool,
) {
    let sample = Sample::with_hosts(1);
    let next = Heartbeat { born_unix_ms, sequence, draining, ..heartbeat(0) };
    let known = &sample.state.upstreams[&next.id];
    assert_eq!(known.is_described_by(&next), is_described);
}
