//! Choice of hosts for units.

use super::pool_view::{Inputs, decide, decide_and_start, starts};
use crate::tasks::StepSpec;
use crate::tasks::tests::sample::{Sample, gang, incarnation, job_id, step};

/// Guards against single tasks that spread over all hosts and leave no whole host free.
#[test]
fn single_tasks_fill_one_host_first() {
    let mut sample = Sample::with_hosts(16);
    sample.accept(1, "batch", vec![step(3, 1)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(2, "batch", vec![step(4, 1)]);
    decide_and_start(&mut sample, &Inputs::default());
    assert_eq!(sample.state.runs_of(&incarnation(0)).len(), 7);
}

/// Guards against a gang that spans racks, where it runs several times as long: it waits for one
/// rack with enough capacity.
#[test]
fn a_gang_stays_in_one_rack() {
    let mut sample = Sample::with_hosts(16);
    // Five hosts of each rack are taken, so six are free, but only three in one rack.
    for host in [0, 1, 2, 3, 4, 8, 9, 10, 11, 12] {
        let job = sample.accept(100 + u64::from(host), "batch", vec![step(1, 8)]);
        sample.start(&job, 0, 1, &[host]);
    }
    sample.accept(1, "normal", vec![gang(4, 8)]);
    assert!(starts(&decide(&sample, &Inputs::default())).is_empty());
    // The first rack is drained for the larger gang, so the smaller one goes to the second.
    sample.accept(2, "normal", vec![gang(3, 8)]);
    let plan = decide(&sample, &Inputs::default());
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000002.0.0.0 run 1: host-13 host-14 host-15");
}

#[test]
fn labels_and_spread_limits_hold() {
    let mut sample = Sample::with_hosts(16);
    let spread = StepSpec { spread_limit: 1, label: Some("rack-1".into()), ..step(3, 1) };
    sample.accept(1, "normal", vec![spread]);
    let plan = decide(&sample, &Inputs::default());
    insta::assert_snapshot!(starts(&plan).join("\n"), @r"
    0000000000000001.0.0.0 run 1: host-08
    0000000000000001.0.0.1 run 1: host-09
    0000000000000001.0.0.2 run 1: host-10
    ");
}

/// Work far from its data takes several times as long, so it waits for the data's rack at first.
#[test]
fn work_waits_near_its_data_and_then_goes_elsewhere() {
    let mut sample = Sample::with_hosts(16);
    for host in 8..16 {
        let job = sample.accept(100 + u64::from(host), "batch", vec![step(1, 8)]);
        sample.start(&job, 0, 1, &[host]);
    }
    let near = StepSpec { data_rack: Some("rack-1".into()), ..step(1, 1) };
    sample.accept(1, "normal", vec![near]);
    assert!(decide(&sample, &Inputs::default()).starts.is_empty());
    sample.at(9_000);
    assert_eq!(decide(&sample, &Inputs::default()).starts.len(), 1);
}

/// Guards against idle hosts while units wait for their preferred rack: in a mostly free pool they
/// wait 1.5 s at most, and lasting tasks not at all.
#[test]
fn units_wait_only_briefly_for_their_rack_in_a_mostly_free_pool() {
    let mut sample = Sample::with_hosts(32);
    for host in 8..16 {
        let job = sample.accept(100 + u64::from(host), "batch", vec![step(1, 8)]);
        sample.start(&job, 0, 1, &[host]);
    }
    let near = StepSpec { data_rack: Some("rack-1".into()), ..step(1, 1) };
    sample.accept(1, "normal", vec![near.clone()]);
    sample.accept(2, "normal", vec![StepSpec { lasting: true, ..near }]);
    let plan = decide(&sample, &Inputs::default());
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000002.0.0.0 run 1: host-00");
    sample.at(1_600);
    assert_eq!(decide(&sample, &Inputs::default()).starts.len(), 2);
}

/// Guards against starts on a host that takes no work or that the job must avoid.
#[test]
fn closed_and_avoided_hosts_get_nothing() {
    let mut sample = Sample::with_hosts(3);
    sample.accept(1, "normal", vec![step(1, 8)]);
    let mut inputs = Inputs { closed: vec!["host-00".to_owned()], ..Inputs::default() };
    inputs.avoid.insert((job_id(1), incarnation(1)));
    let plan = decide(&sample, &inputs);
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000001.0.0.0 run 1: host-02");
}

/// Guards against a step that starts before the steps it depends on are done.
#[test]
fn steps_wait_for_those_before() {
    let mut sample = Sample::with_hosts(2);
    let second = StepSpec { after: [0].into_iter().collect(), ..step(1, 1) };
    let job = sample.accept(1, "normal", vec![step(1, 1), second]);
    assert_eq!(decide_and_start(&mut sample, &Inputs::default()).starts.len(), 1);
    assert!(decide(&sample, &Inputs::default()).starts.is_empty());
    sample.end(&job, 0, 1, 0, crate::tasks::EndKind::Done);
    let plan = decide(&sample, &Inputs::default());
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000001.0.1.0 run 1: host-00");
}
