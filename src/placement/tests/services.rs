//! Approvals, pace of filling tasks and waves of maintenance.

use std::collections::BTreeMap;
use std::sync::Arc;

use rstest::rstest;

use super::pool_view::{Inputs, decide, starts};
use crate::placement::{
    Candidate, StepId, evacuation_limit_ms, free_wave_slots, next_pace, order_candidates,
};
use crate::tasks::tests::sample::{Sample, configuration, gang, incarnation, job_id};
use crate::tasks::{Advice, MachineState, Wave};

fn advised(hosts: u32) -> Sample {
    let mut sample = Sample::with_hosts(hosts);
    let mut with_advice = configuration(2);
    let advice = Advice { decision_ms: 10, each_upstream_ms: 1, valid_ms: 3_000 };
    with_advice.queues[1].advice = Some(advice);
    sample.configure(with_advice);
    sample
}

fn step_id() -> StepId {
    StepId { job: job_id(1), occurrence: 0, step: 0 }
}

/// Guards against starts without a ticket in a queue that needs approvals, and against requests for
/// an unbounded number of upstreams.
#[test]
fn approvals_are_asked_for_before_a_start() {
    let mut sample = advised(48);
    sample.accept(1, "normal", vec![gang(2, 8)]);
    let plan = decide(&sample, &Inputs::default());
    assert!(plan.starts.is_empty());
    assert_eq!(plan.approval_requests.len(), 1);
    assert_eq!(plan.approval_requests[0].incarnations.len(), 30);
}

/// Guards against starts on upstreams without a valid ticket, and against repeated requests for
/// upstreams that were refused.
#[test]
fn starts_follow_the_tickets() {
    let mut sample = advised(3);
    sample.accept(1, "normal", vec![gang(2, 8)]);
    let mut inputs = Inputs::default();
    let asked = [incarnation(0), incarnation(1), incarnation(2)];
    let ticket = |host: u32| (incarnation(host).id, Arc::<str>::from("ticket"));
    let approved = BTreeMap::from([ticket(0), ticket(2)]);
    inputs.approvals.record(&step_id(), &asked, &approved, 3_000);
    let plan = decide(&sample, &inputs);
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000001.0.0.0 run 1: host-00 host-02");
    sample.at(2_900);
    let plan = decide(&sample, &inputs);
    assert!(plan.starts.is_empty(), "the tickets are about to end");
    assert_eq!(plan.approval_requests[0].incarnations, [incarnation(0), incarnation(2)]);
}

/// Filling tasks are slowed down at once when a tail response time nears its bound, and sped up
/// slowly.
#[rstest]
#[case::alone(40, &[], 100)]
#[case::calm(40, &[(30, 100)], 50)]
#[case::between(40, &[(70, 100)], 40)]
#[case::near(40, &[(85, 100)], 20)]
#[case::near_and_slow(20, &[(85, 100)], 0)]
#[case::over(100, &[(120, 100)], 0)]
#[case::worst_counts(100, &[(10, 100), (110, 100)], 0)]
#[case::full_speed(95, &[(10, 100)], 100)]
fn pace_follows_the_tail(#[case] pace: u32, #[case] tails: &[(u64, u64)], #[case] next: u32) {
    assert_eq!(next_pace(pace, tails), next);
}

fn wave(states: [MachineState; 4]) -> Wave {
    let machines = states.into_iter().enumerate();
    let machines = machines.map(|(number, state)| (format!("m-{number}").into(), state));
    Wave { machines: machines.collect(), cap: 2, duration_ms: 20_000, started_ms: 1_000 }
}

/// Guards against more hosts down than the cap allows: a host counts from its order on, whether or
/// not the order was answered.
#[test]
fn the_cap_counts_orders_under_way() {
    use MachineState::{Done, Down, Waiting};
    let down = || Down { former: None };
    assert_eq!(free_wave_slots(&wave([Waiting, Waiting, Waiting, Waiting])), 2);
    assert_eq!(free_wave_slots(&wave([down(), Waiting, Waiting, Done])), 1);
    assert_eq!(free_wave_slots(&wave([down(), down(), Waiting, Waiting])), 0);
    assert!(!wave([down(), Done, Done, Done]).is_completed());
    assert!(wave([Done, Done, Done, Done]).is_completed());
}

/// Guards against a wave that ends late: the time for work to move away shrinks as the wave's time
/// runs out.
#[test]
fn evacuation_time_ends_with_the_wave() {
    use MachineState::Waiting;
    let all = wave([Waiting, Waiting, Waiting, Waiting]);
    assert_eq!(evacuation_limit_ms(&all, 1_000, 2_000), 6_500);
    assert_eq!(evacuation_limit_ms(&all, 20_000, 2_000), 0);
}

#[test]
fn hosts_with_the_fewest_runs_go_first() {
    let candidate = |machine: &str, runs| Candidate { machine: machine.into(), runs };
    let ordered = order_candidates(vec![candidate("a", 5), candidate("c", 0), candidate("b", 0)]);
    let names: Vec<_> = ordered.iter().map(|candidate| &*candidate.machine).collect();
    assert_eq!(names, ["b", "c", "a"]);
}
