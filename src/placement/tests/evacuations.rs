//! Running work in a data centre that is being evacuated.

use rstest::rstest;

use super::pool_view::{Inputs, JOBS_MAX_BYTES, decide, hosts};
use crate::placement::{Admission, Admissions, Plan, Progress, StopCause, View, consequences};
use crate::tasks::tests::sample::{Sample, gang, heartbeat, job_id, queue, spec, step};
use crate::tasks::{Change, Heartbeat, StepSpec, UnitId};

/// Progress of a run that has saved a checkpoint lately and has far to go.
const LONG: Progress = Progress { unsaved_ms: 500, left_ms: 60_000, seen_alive_ms: 9_000 };

fn unit(job: u64) -> UnitId {
    UnitId { job: job_id(job), occurrence: 0, step: 0, unit: 0 }
}

fn set(sample: &mut Sample, data_centre: &str, begin: bool) {
    let revision = sample.state.evacuations.revision(data_centre);
    sample.apply(Change::SetEvacuation { data_centre: data_centre.into(), begin, revision });
}

/// A state with the given number of hosts, of which the first is in data centre `dc` and the others in
/// `far`.
fn two_data_centres(all: u32) -> Sample {
    let mut sample = Sample::with_hosts(all);
    for host in 1..all {
        let heartbeat = Heartbeat { data_centre: "far".into(), sequence: 2, ..heartbeat(host) };
        sample.apply(Change::RegisterUpstream { heartbeat });
    }
    sample
}

/// Jobs with one task each that takes an accelerator, all running on the first host, whose data centre is
/// being evacuated for the given time.
fn evacuated(jobs: u64, all_hosts: u32, task: &StepSpec, lasted_ms: u64) -> (Sample, Inputs) {
    let mut sample = two_data_centres(all_hosts);
    let mut inputs = Inputs::default();
    for number in 1..=jobs {
        let job = sample.accept(number, "batch", vec![task.clone()]);
        sample.start(&job, 0, 1, &[0]);
        inputs.progress.insert((unit(number), 1), LONG);
    }
    set(&mut sample, "dc", true);
    sample.at(lasted_ms);
    (sample, inputs)
}

fn moved(plan: &Plan) -> usize {
    assert!(plan.stops.iter().all(|(.., cause)| *cause == StopCause::Evacuated), "{plan:?}");
    plan.stops.len()
}

fn saving() -> StepSpec {
    StepSpec { checkpoints: true, ..step(1, 1) }
}

fn lasting(away_limit: Option<u32>) -> StepSpec {
    StepSpec { lasting: true, away_limit, ..step(1, 1) }
}

/// Guards against work that is stopped for a request that is soon withdrawn, against runs that are stopped
/// although they would lose much or end soon, and against lasting tasks beyond their limit.
#[rstest]
#[case::too_early(saving(), 4_000, LONG, 0)]
#[case::resumes(saving(), 6_000, LONG, 1)]
#[case::resumes_nothing(step(1, 1), 60_000, LONG, 0)]
#[case::soon_done(saving(), 6_000, Progress { left_ms: 3_000, ..LONG }, 0)]
#[case::long_since_saved(saving(), 6_000, Progress { unsaved_ms: 8_000, ..LONG }, 0)]
#[case::lasting(lasting(None), 6_000, LONG, 1)]
#[case::lasting_within_its_limit(lasting(Some(1)), 6_000, LONG, 1)]
#[case::lasting_that_must_not_stop(lasting(Some(0)), 60_000, LONG, 0)]
fn runs_move_that_lose_little(
    #[case] task: StepSpec,
    #[case] lasted_ms: u64,
    #[case] progress: Progress,
    #[case] expected: usize,
) {
    let (sample, mut inputs) = evacuated(1, 2, &task, lasted_ms);
    inputs.progress.insert((unit(1), 1), progress);
    assert_eq!(moved(&decide(&sample, &inputs)), expected);
}

/// Guards against runs that are stopped although nothing is free elsewhere, or only what other work waits
/// for, or after the evacuation is finished.
#[test]
fn runs_move_only_to_capacity_that_nobody_waits_for() {
    let (mut sample, inputs) = evacuated(1, 2, &saving(), 6_000);
    sample.accept(9, "batch", vec![step(8, 1)]);
    let plan = decide(&sample, &inputs);
    assert_eq!((plan.starts.len(), moved(&plan)), (8, 0));
    let (sample, inputs) = evacuated(1, 1, &saving(), 6_000);
    assert_eq!(moved(&decide(&sample, &inputs)), 0);
    let (mut sample, inputs) = evacuated(1, 2, &saving(), 6_000);
    set(&mut sample, "far", true);
    assert_eq!(moved(&decide(&sample, &inputs)), 0);
    let (mut sample, inputs) = evacuated(1, 2, &saving(), 6_000);
    set(&mut sample, "dc", false);
    assert_eq!(moved(&decide(&sample, &inputs)), 0);
}

/// Guards against all work of a data centre standing still at once.
#[test]
fn few_runs_move_at_a_time() {
    let (sample, mut inputs) = evacuated(8, 3, &saving(), 6_000);
    let plan = decide(&sample, &inputs);
    assert_eq!(moved(&plan), 1);
    inputs.stopping.extend(plan.stops.into_iter().map(|(unit, run, _)| (unit, run)));
    assert_eq!(moved(&decide(&sample, &inputs)), 0);
}

/// Guards against a gang of which only the members in the evacuated data centre are stopped, and against a
/// move of one that does not fit elsewhere as a whole.
#[rstest]
#[case::fits(3, 1)]
#[case::does_not_fit(2, 0)]
fn gangs_move_as_a_whole(#[case] hosts: u32, #[case] expected: usize) {
    let mut sample = two_data_centres(hosts);
    let mut inputs = Inputs::default();
    let members = StepSpec { checkpoints: true, ..gang(2, 4) };
    let job = sample.accept(1, "batch", vec![members]);
    sample.start(&job, 0, 1, &[0, 1]);
    inputs.progress.insert((unit(1), 1), LONG);
    set(&mut sample, "dc", true);
    sample.at(6_000);
    assert_eq!(moved(&decide(&sample, &inputs)), expected);
}

/// Guards against a guarantee that an evacuation breaks without a word, and against a report of one that
/// still has room. The guarantees of the sample are 32 and 16 accelerators.
#[rstest]
#[case::room_for_both(7, &[])]
#[case::room_for_one(5, &[("south", 0)])]
#[case::room_for_half_of_one(3, &[("north", 16), ("south", 0)])]
fn guarantees_at_risk_are_reported(#[case] hosts: u32, #[case] expected: &[(&str, u32)]) {
    let mut sample = two_data_centres(hosts);
    // The evacuated host alone holds what both guarantees need beyond the others.
    let mut large = heartbeat(0);
    (large.sequence, large.capacity.accelerators) = (2, 64);
    sample.apply(Change::RegisterUpstream { heartbeat: large });
    assert_eq!(consequences(&sample.state).at_risk, []);
    set(&mut sample, "dc", true);
    let at_risk = consequences(&sample.state).at_risk;
    let named: Vec<_> = at_risk
        .iter()
        .map(|guarantee| (&*guarantee.organisation, guarantee.remaining_accelerators))
        .collect();
    assert_eq!(named, expected);
}

/// Guards against an evacuation of the last data centre of a service that is not reported, and against jobs
/// that are accepted although nothing can run them, or refused without the reason.
#[test]
fn jobs_are_refused_while_their_last_data_centre_is_evacuated() {
    let mut sample = two_data_centres(2);
    let decide = |sample: &Sample, spec| {
        let inputs = Inputs::default();
        let view = View {
            state: &sample.state,
            hosts: &hosts(sample, &inputs),
            now_ms: sample.state.now_ms,
            unix_ms: 0,
            stopping: &inputs.stopping,
            progress: &inputs.progress,
            avoid: &inputs.avoid,
            approvals: &inputs.approvals,
            learned: &inputs.learned,
            reserve_millihosts: 0,
            jobs_max_bytes: JOBS_MAX_BYTES,
        };
        let mut admissions = Admissions::default();
        admissions.decide(&view, &queue("normal", 1), Some("north"), (&job_id(1), &spec))
    };
    let accepted = |admission| matches!(admission, Admission::Accepted { .. });
    set(&mut sample, "dc", true);
    assert!(accepted(decide(&sample, spec(vec![step(1, 8)]))));
    let too_large = decide(&sample, spec(vec![gang(2, 8)]));
    let Admission::RetryLater { reason, .. } = too_large else { panic!("{too_large:?}") };
    insta::assert_snapshot!(reason, @"step 0 fits on no host of pool outside the data centres that are being evacuated: dc");
    assert!(consequences(&sample.state).stopped_services.is_empty());
    set(&mut sample, "far", true);
    assert!(!accepted(decide(&sample, spec(vec![step(1, 8)]))));
    assert!(accepted(decide(&sample, spec(vec![lasting(None)]))));
    assert_eq!(consequences(&sample.state).stopped_services.len(), 1);
}
