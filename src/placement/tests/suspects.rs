//! Tasks under which upstreams crash: those that cause it, and those that do not.

use rstest::rstest;

use super::pool_view::{Inputs, decide, decide_and_start, starts};
use crate::cluster::codec;
use crate::crashes::CrashedRun;
use crate::placement::{Plan, Progress};
use crate::tasks::tests::sample::{Sample, gang, heartbeat, job_id, step};
use crate::tasks::{Change, Heartbeat, JobState, LostRun, StartRecord, State, TaskId, UnitId};

/// Time between two rounds of crashes, longer than the spread of an outage.
const ROUND_MS: u64 = 4_000;

/// Rounds after which every task that crashes its upstreams must have been given up.
const ROUNDS: u64 = 8;

/// Starts after which a task that crashes its upstreams must have been given up.
const STARTS_MAX: u32 = 5;

fn unit(job: u64) -> UnitId {
    UnitId { job: job_id(job), occurrence: 0, step: 0, unit: 0 }
}

fn runs_of(sample: &Sample, job: u64) -> u32 {
    sample.state.jobs[&job_id(job)].unit(0, 0, 0).unwrap().run
}

fn state_of(sample: &Sample, job: u64) -> JobState {
    sample.state.jobs[&job_id(job)].state()
}

/// Crashes a host that then registers again; `alive_ms` tells for how long a task was seen alive.
fn crash(sample: &mut Sample, host: u32, alive_ms: impl Fn(&TaskId) -> Option<u64>) {
    crash_before(sample, host, 0, alive_ms);
}

/// Crashes a host that was last heard of `silent_ms` ago and now registers again.
fn crash_before(
    sample: &mut Sample,
    host: u32,
    silent_ms: u64,
    alive_ms: impl Fn(&TaskId) -> Option<u64>,
) {
    let upstream = &sample.state.upstreams[&heartbeat(host).id];
    let incarnation = upstream.incarnation();
    let born_unix_ms = incarnation.born_unix_ms + 1;
    let crashed = |(task, run)| {
        let seen_alive_ms = alive_ms(&task);
        CrashedRun { subject: task, run: u64::from(run), seen_alive_ms }
    };
    let runs = sample.state.possibly_crashed_runs(&incarnation);
    let runs = runs.into_iter().map(crashed).collect();
    sample.apply(Change::RecordCrash { incarnation, runs, silent_ms });
    sample.apply(Change::RegisterUpstream {
        heartbeat: Heartbeat { born_unix_ms, ..heartbeat(host) },
    });
}

/// Returns the hosts on which a job runs.
fn hosts_of(sample: &Sample, job: u64) -> Vec<u32> {
    let unit = sample.state.jobs[&job_id(job)].unit(0, 0, 0).unwrap();
    let id = |host: &u32| heartbeat(*host).id;
    let runs_on = |host: &u32| unit.members().iter().any(|m| m.incarnation.id == id(host));
    (0..u32::try_from(sample.state.upstreams.len()).unwrap()).filter(runs_on).collect()
}

/// Lets a job's upstream fall silent until its lease has ended.
fn fall_silent(sample: &mut Sample, host: u32) {
    let incarnation = sample.state.upstreams[&heartbeat(host).id].incarnation();
    let lost = |(task, run)| LostRun { task, run, checkpoint: None };
    let runs = sample.state.runs_of(&incarnation).into_iter().map(lost).collect();
    sample.apply(Change::RecordLost { incarnation, runs });
}

fn start(sample: &mut Sample, job: u64, run: u32, host: u32) {
    let incarnation = sample.state.upstreams[&heartbeat(host).id].incarnation();
    let incarnations = std::iter::once(incarnation).collect();
    let start = StartRecord { unit: unit(job), run, incarnations };
    sample.apply(Change::Start { starts: vec![start] });
}

fn place(sample: &mut Sample, inputs: &Inputs) -> Plan {
    let plan = decide_and_start(sample, inputs);
    sample.apply(Change::GiveUp { units: plan.give_ups.clone() });
    plan
}

/// Lets the given jobs crash the hosts on which they start, until they are given up.
fn play_deadly(sample: &mut Sample, deadly: &[u64]) {
    for round in 0..ROUNDS {
        place(sample, &Inputs::default());
        for &job in deadly {
            for host in hosts_of(sample, job) {
                let is_deadly = |task: &TaskId| task.job == job_id(job);
                crash(sample, host, |task| Some(if is_deadly(task) { 0 } else { 2_000 }));
            }
        }
        sample.at((round + 1) * ROUND_MS);
    }
    place(sample, &Inputs::default());
}

/// Guards against tasks that crash upstreams without end, alone or several at the same time.
#[rstest]
#[case::one(1, step(1, 1), 2)]
#[case::a_gang(1, gang(3, 8), 2)]
#[case::five_at_once(5, step(1, 8), 2)]
#[case::more_than_an_outage(12, step(1, 8), 5)]
fn tasks_that_crash_their_upstreams_are_given_up(
    #[case] jobs: u64,
    #[case] step: crate::tasks::StepSpec,
    #[case] starts_expected: u32,
) {
    let mut sample = Sample::with_hosts(48);
    let deadly: Vec<u64> = (1..=jobs).collect();
    for &job in &deadly {
        sample.accept(job, "normal", vec![step.clone()]);
    }
    play_deadly(&mut sample, &deadly);
    for &job in &deadly {
        assert_eq!(state_of(&sample, job), JobState::Failed, "job {job}");
        let starts = runs_of(&sample, job);
        assert!(starts <= STARTS_MAX.min(starts_expected), "job {job}: {starts} starts");
    }
}

/// Guards against giving up a job because of a neighbour that crashes their upstream, also if both
/// had just started there.
#[rstest]
#[case::running_for_a_while(Some(3_000))]
#[case::just_started(Some(0))]
fn a_neighbour_of_a_task_that_crashes_its_upstream_goes_on(#[case] alive_ms: Option<u64>) {
    let mut sample = Sample::with_hosts(16);
    sample.accept(1, "normal", vec![step(1, 1)]);
    sample.accept(2, "normal", vec![step(1, 1)]);
    for round in 0..ROUNDS {
        place(&mut sample, &Inputs::default());
        for host in hosts_of(&sample, 1) {
            crash(&mut sample, host, |task| if task.job == job_id(1) { Some(0) } else { alive_ms });
        }
        sample.at((round + 1) * ROUND_MS);
    }
    assert_eq!(state_of(&sample, 1), JobState::Failed);
    assert!(runs_of(&sample, 1) <= 3, "{} starts", runs_of(&sample, 1));
    assert_eq!(state_of(&sample, 2), JobState::Active);
}

/// Guards against giving up a job that shares its upstream with one culprit after the other.
#[test]
fn a_neighbour_of_many_tasks_that_crash_their_upstream_goes_on() {
    let mut sample = Sample::with_hosts(2);
    sample.accept(1, "normal", vec![step(1, 1)]);
    for round in 0..u32::try_from(ROUNDS).unwrap() {
        let culprit = 10 + u64::from(round);
        sample.accept(culprit, "normal", vec![step(1, 1)]);
        start(&mut sample, 1, round + 1, 0);
        start(&mut sample, culprit, 1, 0);
        crash(&mut sample, 0, |task| Some(if task.job == job_id(1) { 2_000 } else { 0 }));
        sample.apply(Change::Cancel { id: job_id(culprit) });
        sample.at(u64::from(round + 1) * ROUND_MS);
    }
    assert_eq!(u64::from(runs_of(&sample, 1)), ROUNDS);
    let plan = place(&mut sample, &Inputs::default());
    assert!(plan.give_ups.is_empty(), "{:?}", plan.give_ups);
}

/// Guards against giving up jobs whose upstreams crash in outages, however often.
#[rstest]
#[case::just_started(Some(0))]
#[case::start_not_answered(None)]
#[case::running_for_a_while(Some(3_000))]
fn jobs_go_on_after_outages(#[case] alive_ms: Option<u64>) {
    let mut sample = Sample::with_hosts(48);
    for job in 1..=24 {
        sample.accept(job, "normal", vec![step(1, 8)]);
    }
    for round in 0..ROUNDS {
        place(&mut sample, &Inputs::default());
        for host in 0..24 {
            crash(&mut sample, host, |_| alive_ms);
            // They register again one after the other.
            sample.at(round * ROUND_MS + u64::from(host) * 40);
        }
        sample.at((round + 1) * ROUND_MS);
    }
    for job in 1..=24 {
        assert_eq!(state_of(&sample, job), JobState::Active, "job {job}");
    }
}

/// Guards against giving up jobs after outages whose upstreams come back one by one, so that their
/// crashes are recorded far apart.
#[rstest]
#[case::just_started(Some(0))]
#[case::start_not_answered(None)]
#[case::running_for_a_while(Some(3_000))]
fn jobs_go_on_after_outages_that_end_slowly(#[case] alive_ms: Option<u64>) {
    const RETURN_INTERVAL_MS: u64 = 3_000;
    let mut sample = Sample::with_hosts(48);
    for job in 1..=24 {
        sample.accept(job, "normal", vec![step(1, 8)]);
    }
    let mut now_ms = 0;
    for _ in 0..ROUNDS {
        place(&mut sample, &Inputs::default());
        // Half of the hosts are lost, those that run something first.
        let mut hosts: Vec<_> = (1..=24).flat_map(|job| hosts_of(&sample, job)).collect();
        let idle: Vec<_> = (0..48).filter(|host| !hosts.contains(host)).collect();
        hosts.extend(idle);
        hosts.truncate(24);
        let mut silent_ms = 0;
        for host in hosts {
            silent_ms += RETURN_INTERVAL_MS;
            sample.at(now_ms + silent_ms);
            crash_before(&mut sample, host, silent_ms, |_| alive_ms);
        }
        now_ms += 25 * RETURN_INTERVAL_MS;
        sample.at(now_ms);
    }
    for job in 1..=24 {
        assert_eq!(state_of(&sample, job), JobState::Active, "job {job}");
    }
}

/// Guards against giving up a job that ran well for a while on upstreams that crash again and again
/// without it.
#[test]
fn unstable_upstreams_do_not_fail_jobs() {
    let mut sample = Sample::with_hosts(4);
    for round in 0..ROUNDS {
        for host in 0..4 {
            sample.at(round * 20_000 + u64::from(host) * 5_000);
            let alive_ms = Some(3_000);
            crash(&mut sample, host, |_| alive_ms);
            if round == 0 && host == 3 {
                sample.accept(1, "normal", vec![step(1, 8)]);
            }
            place(&mut sample, &Inputs::default());
        }
    }
    assert!(runs_of(&sample, 1) > 4, "it has lost runs");
    assert_eq!(state_of(&sample, 1), JobState::Active);
}

/// Guards against crashes that are forgotten: a host that starts again from a snapshot, or leads
/// after another one, goes on counting.
#[test]
fn crashes_outlive_a_snapshot_and_a_new_leader() {
    let mut sample = Sample::with_hosts(16);
    sample.accept(1, "normal", vec![step(1, 1)]);
    for round in 0..2 {
        place(&mut sample, &Inputs::default());
        let host = hosts_of(&sample, 1)[0];
        crash(&mut sample, host, |_| Some(0));
        sample.at((round + 1) * ROUND_MS);
        let mut restored: State = codec::decode(&codec::encode(&sample.state)).unwrap();
        restored.rebuild();
        sample.state = restored;
    }
    assert_eq!(decide(&sample, &Inputs::default()).give_ups, [unit(1)]);
}

/// Guards against a task that is restarted without end because its upstream comes back only after
/// the lease has ended, when the run is recorded as lost already.
#[test]
fn a_crash_counts_after_the_lease_has_ended() {
    let mut sample = Sample::with_hosts(16);
    sample.accept(1, "normal", vec![step(1, 1)]);
    for round in 0..2 {
        place(&mut sample, &Inputs::default());
        let host = hosts_of(&sample, 1)[0];
        fall_silent(&mut sample, host);
        crash(&mut sample, host, |_| Some(0));
        sample.at((round + 1) * ROUND_MS);
    }
    assert_eq!(decide(&sample, &Inputs::default()).give_ups, [unit(1)]);
}

/// Starts a job on one host after the other, each of which falls silent, and returns these hosts.
fn play_silence(sample: &mut Sample, rounds: u64) -> Vec<u32> {
    let mut silent = Vec::new();
    for round in 0..rounds {
        place(sample, &without(&silent));
        for host in hosts_of(sample, 1) {
            fall_silent(sample, host);
            silent.push(host);
        }
        sample.at((round + 1) * ROUND_MS);
    }
    silent
}

/// Returns inputs in which some hosts do not answer.
fn without(silent: &[u32]) -> Inputs {
    let closed = silent.iter().map(|host| heartbeat(*host).id.to_string()).collect();
    Inputs { closed, ..Inputs::default() }
}

/// Guards against a task that crashes upstreams which do not come back: nothing tells that they have
/// crashed until they are removed.
#[test]
fn a_task_whose_upstreams_fall_silent_waits_and_is_given_up() {
    let mut sample = Sample::with_hosts(16);
    sample.accept(1, "normal", vec![step(1, 1)]);
    let silent = play_silence(&mut sample, ROUNDS);
    assert!(silent.len() <= 3, "it was started on {silent:?}, which all fell silent");
    for host in &silent {
        let incarnation = sample.state.upstreams[&heartbeat(*host).id].incarnation();
        let runs = sample.state.possibly_crashed_runs(&incarnation).into_iter();
        let crashed =
            |(subject, run)| CrashedRun { subject, run: u64::from(run), seen_alive_ms: Some(0) };
        let runs = runs.map(crashed).collect();
        sample.apply(Change::RecordCrash { incarnation, runs, silent_ms: 20_000 });
        sample.at(sample.state.now_ms + ROUND_MS);
    }
    place(&mut sample, &Inputs::default());
    assert_eq!(state_of(&sample, 1), JobState::Failed);
}

/// Guards against a job that waits for ever, or is given up, since its upstreams were cut off.
#[test]
fn a_job_starts_once_its_silent_upstreams_answer_again() {
    let mut sample = Sample::with_hosts(16);
    sample.accept(1, "normal", vec![step(1, 1)]);
    let silent = play_silence(&mut sample, ROUNDS);
    let plan = decide(&sample, &without(&silent[1..]));
    assert_eq!(plan.starts.len(), 1, "one of them answers again");
}

/// Guards against a suspect that takes more work down with it: it starts on the emptiest host, and
/// nothing starts beside it until it has survived its start.
#[test]
fn a_suspect_starts_apart() {
    let mut sample = Sample::with_hosts(3);
    sample.accept(1, "normal", vec![step(1, 1)]);
    place(&mut sample, &Inputs::default());
    let host = hosts_of(&sample, 1)[0];
    crash(&mut sample, host, |_| Some(0));
    for job in 2..=3 {
        sample.accept(job, "normal", vec![step(1, 3)]);
        sample.start(&job_id(job), 0, 1, &[u32::try_from(job).unwrap() - 1]);
    }
    let mut inputs = Inputs::default();
    for job in 2..=3 {
        let proven = Progress { seen_alive_ms: 2_000, ..Progress::default() };
        inputs.progress.insert((unit(job), 1), proven);
    }
    place(&mut sample, &inputs);
    assert_eq!(hosts_of(&sample, 1), [0]);
    sample.accept(4, "normal", vec![step(1, 6)]);
    assert!(decide(&sample, &inputs).starts.is_empty(), "only the suspect's host has room");
    inputs.progress.insert((unit(1), 2), Progress { seen_alive_ms: 600, ..Progress::default() });
    let plan = decide(&sample, &inputs);
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000004.0.0.0 run 1: host-00");
}
