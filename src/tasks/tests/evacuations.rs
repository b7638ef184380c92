//! Evacuation of data centres in the replicated state.

use rstest::rstest;

use super::sample::{Sample, gang, heartbeat, incarnation, step};
use crate::cluster::codec;
use crate::tasks::{Change, Heartbeat, Phase, State};

fn set(sample: &mut Sample, begin: bool, revision: u64) {
    let data_centre = "dc".into();
    sample.apply(Change::SetEvacuation { data_centre, begin, revision });
}

fn is_active(sample: &Sample) -> bool {
    sample.state.evacuations.is_active("dc")
}

/// Guards against a start that was decided before an evacuation and reaches the log after it, also if only
/// one member of the gang is to run there.
#[rstest]
#[case::task(&[0], false)]
#[case::gang_with_a_member_there(&[0, 1], false)]
#[case::elsewhere(&[1], true)]
fn nothing_starts_in_an_evacuated_data_centre(#[case] hosts: &[u32], #[case] starts: bool) {
    let mut sample = Sample::with_hosts(2);
    let heartbeat = Heartbeat { data_centre: "other".into(), sequence: 2, ..heartbeat(1) };
    sample.apply(Change::RegisterUpstream { heartbeat });
    let tasks = u32::try_from(hosts.len()).expect("few hosts");
    let job =
        sample.accept(1, "normal", vec![if tasks == 1 { step(1, 8) } else { gang(tasks, 8) }]);
    set(&mut sample, true, 0);
    sample.start(&job, 0, 1, hosts);
    let unit = sample.state.jobs[&job].unit(0, 0, 0).expect("the unit");
    assert_eq!(unit.phase != Phase::Waiting, starts);
    assert_eq!(hosts.iter().any(|host| sample.state.has_runs(&incarnation(*host))), starts);
    set(&mut sample, false, 1);
    sample.start(&job, 0, 2, hosts);
    assert!(sample.state.jobs[&job].unit(0, 0, 0).expect("the unit").is_running());
}

/// Guards against requests that are not idempotent, and against a delayed one that undoes a later one.
#[test]
fn a_delayed_request_does_not_undo_a_later_one() {
    let mut sample = Sample::with_hosts(1);
    set(&mut sample, false, 0);
    assert!(sample.state.evacuations.get("dc").is_none());
    set(&mut sample, true, 0);
    sample.at(5);
    set(&mut sample, true, 0);
    assert!(is_active(&sample));
    assert_eq!(sample.state.evacuations.get("dc").expect("remembered").began_ms, 0);
    set(&mut sample, false, 1);
    set(&mut sample, true, 0);
    assert!(!is_active(&sample));
    set(&mut sample, true, 2);
    assert!(is_active(&sample));
}

/// Guards against a heartbeat of a moved upstream that is taken for the known one, and against a count by
/// the data centre that it was in before.
#[test]
fn an_upstream_counts_for_the_data_centre_that_it_registered_last() {
    let mut sample = Sample::with_hosts(1);
    set(&mut sample, true, 0);
    assert!(sample.state.is_evacuated(&incarnation(0)));
    let moved = Heartbeat { data_centre: "other".into(), sequence: 2, ..heartbeat(0) };
    assert!(!sample.state.upstreams[&moved.id].is_described_by(&moved));
    sample.apply(Change::RegisterUpstream { heartbeat: moved });
    assert!(!sample.state.is_evacuated(&incarnation(0)));
    let late = Heartbeat { sequence: 1, ..heartbeat(0) };
    sample.apply(Change::RegisterUpstream { heartbeat: late });
    assert!(!sample.state.is_evacuated(&incarnation(0)));
}

/// Guards against evacuations that a snapshot loses.
#[test]
fn evacuations_survive_a_snapshot() {
    let mut sample = Sample::with_hosts(1);
    set(&mut sample, true, 0);
    let restored: State = codec::decode(&codec::encode(&sample.state)).expect("it was encoded");
    assert_eq!(restored.evacuations, sample.state.evacuations);
    assert!(restored.is_evacuated(&incarnation(0)));
}
