//! Running work in a data centre that is being evacuated.

use std::collections::BTreeSet;

use rstest::rstest;

use super::pool_view::{Inputs, JOBS_MAX_BYTES, STOP_MS, decide, decide_and_start, hosts};
use crate::placement::{Admission, Admissions, Plan, Progress, StopCause, View, consequences};
use crate::tasks::tests::sample::{Sample, gang, heartbeat, job_id, queue, spec, step};
use crate::tasks::{Change, Heartbeat, JobSpec, Repeat, StepSpec, UnitId};

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
            stop_ms: STOP_MS,
            weighs_stops: true,
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

/// Starts 64 single tasks of a queue on eight hosts of a data centre `passed_ms` after an evacuation that
/// lasted for some time, and returns how many of the hosts get some.
fn hosts_used(queue: &str, lasted_ms: u64, passed_ms: u64) -> usize {
    let mut sample = Sample::with_hosts(8);
    set(&mut sample, "dc", true);
    sample.at(lasted_ms);
    set(&mut sample, "dc", false);
    sample.at(lasted_ms + passed_ms);
    sample.accept(1, queue, vec![step(64, 1)]);
    let plan = decide(&sample, &Inputs::default());
    let used: BTreeSet<_> = plan.starts.iter().map(|start| &start.incarnations[0].id).collect();
    used.len()
}

/// Guards against load that returns in one moment to upstreams that may be slow, against one that never
/// returns, and against urgent work that waits for the others' turn.
#[rstest]
#[case::at_once("batch", 60_000, 0, 2)]
#[case::later("batch", 60_000, 2_000, 5)]
#[case::all("batch", 60_000, 4_000, 8)]
#[case::urgent("urgent", 60_000, 0, 8)]
#[case::short_evacuation("batch", 2_000, 1_000, 8)]
fn load_returns_in_a_bounded_ramp(
    #[case] queue: &str,
    #[case] lasted_ms: u64,
    #[case] passed_ms: u64,
    #[case] expected: usize,
) {
    assert_eq!(hosts_used(queue, lasted_ms, passed_ms), expected);
}

/// Guards against urgent work and gangs on upstreams that are still slow while others have room, and against
/// ones that wait although only slow ones have.
#[rstest]
#[case::urgent("urgent", step(1, 8), &["host-01"])]
#[case::gang("batch", gang(2, 4), &["host-01", "host-01"])]
#[case::gang_that_needs_both("batch", gang(2, 8), &["host-00", "host-01"])]
#[case::other("batch", step(1, 8), &["host-00"])]
fn urgent_work_and_gangs_prefer_warm_hosts(
    #[case] queue: &str,
    #[case] task: StepSpec,
    #[case] expected: &[&str],
) {
    let mut sample = Sample::with_hosts(2);
    sample.accept(1, queue, vec![task]);
    let inputs = Inputs { cold: vec!["host-00".to_owned()], ..Inputs::default() };
    let plan = decide(&sample, &inputs);
    let hosts: Vec<_> =
        plan.starts[0].incarnations.iter().map(|incarnation| &*incarnation.id).collect();
    assert_eq!(hosts, expected);
}

/// Guards against a kind of work for which an evacuation does not count, and against occurrences that are
/// lost meanwhile: they start when it is finished.
#[rstest]
#[case::single(step(1, 1), None)]
#[case::gang(gang(2, 1), None)]
#[case::lasting(lasting(Some(0)), None)]
#[case::filling(StepSpec { fills: true, ..step(1, 1) }, None)]
#[case::with_copies(StepSpec { copies: true, ..step(1, 1) }, None)]
#[case::repeated(step(1, 1), Some(Repeat { times: 2, first_unix_ms: 1, interval_ms: 10 }))]
fn no_kind_of_work_starts(#[case] task: StepSpec, #[case] repeat: Option<Repeat>) {
    for queue in ["urgent", "batch"] {
        let mut sample = Sample::with_hosts(2);
        let spec = JobSpec { repeat, ..spec(vec![task.clone()]) };
        sample.apply(Change::Accept {
            id: job_id(1),
            queue: queue.into(),
            organisation: Some("north".into()),
            spec: spec.into(),
        });
        let inputs = Inputs { unix_ms: 100, ..Inputs::default() };
        set(&mut sample, "dc", true);
        let plan = decide_and_start(&mut sample, &inputs);
        assert_eq!((plan.starts.len(), moved(&plan)), (0, 0), "{queue}");
        set(&mut sample, "dc", false);
        assert!(!decide_and_start(&mut sample, &inputs).starts.is_empty(), "{queue}");
    }
}
