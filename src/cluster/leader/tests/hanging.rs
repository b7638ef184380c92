//! Runs that make no progress.

use std::collections::HashSet;

use crate::cluster::leader::TaskRun;
use crate::cluster::leader::failures::{HangingRun, find_hanging_runs};
use crate::cluster::leader::session::Session;
use crate::cluster::upstream_calls::{ListedRun, TaskLists};
use crate::tasks::tests::sample::{Sample, gang, incarnation, step};
use crate::tasks::{JobId, State, TaskId};

fn listed(job: &JobId, index: u32, percent: u32) -> ListedRun {
    let task = TaskId { job: job.clone(), occurrence: 0, step: 0, index };
    ListedRun { task, run: 1, checkpoint: "".into(), percent, load: None }
}

/// Returns a reachable session whose upstream listed the given runs at each of the given times.
fn session(host: u32, lists: &[(u64, Vec<ListedRun>)]) -> Session {
    let mut session = Session::new(incarnation(host), "10.0.0.1:80".into(), 10_000, 0);
    for (at_ms, running) in lists {
        session.record_contact(*at_ms, *at_ms);
        let running = running.clone();
        session
            .record_lists(&TaskLists { clock_ms: *at_ms, running, ..TaskLists::default() }, *at_ms);
    }
    session
}

/// Finds hanging runs when only the declared run times are known.
fn find_hanging(
    state: &State,
    sessions: &[Session],
    stopping: &HashSet<TaskRun>,
    now_ms: u64,
) -> Vec<HangingRun> {
    find_hanging_runs(state, |_, step| step.estimate_ms, sessions.iter(), stopping, now_ms)
}

/// Guards against a hanging gang that is never stopped: when only single tasks were checked, an
/// urgent job with a member on a stalled worker took three times as long.
#[test]
fn a_hanging_gang_is_found() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "urgent", vec![gang(2, 8)]);
    sample.start(&job, 0, 1, &[0, 1]);
    let no_progress = |index| {
        let runs = |percent| vec![listed(&job, index, percent)];
        vec![(1_000, runs(5)), (2_500, runs(5)), (4_000, runs(5))]
    };
    let sessions = [session(0, &no_progress(0)), session(1, &no_progress(1))];
    let found = find_hanging(&sample.state, &sessions, &HashSet::new(), 4_100);
    let incarnations: HashSet<_> =
        found.iter().map(|hanging| hanging.incarnation.clone()).collect();
    assert_eq!(incarnations, HashSet::from([incarnation(0), incarnation(1)]));
    assert!(find_hanging(&sample.state, &sessions, &HashSet::new(), 3_400).is_empty());
}

/// Guards against stopping work whose upstream is only silent: its lists do not show whether the work
/// advances.
#[test]
fn runs_of_a_silent_upstream_do_not_hang() {
    let mut sample = Sample::with_hosts(1);
    let job = sample.accept(1, "urgent", vec![step(1, 8)]);
    sample.start(&job, 0, 1, &[0]);
    let sessions =
        [session(0, &[(1_000, vec![listed(&job, 0, 5)]), (2_500, vec![listed(&job, 0, 9)])])];
    assert!(find_hanging(&sample.state, &sessions, &HashSet::new(), 5_100).is_empty());
}

/// Guards against stopping a healthy gang: its members end together, so one that has finished its
/// part stays at 100 percent.
#[test]
fn a_member_that_waits_for_the_others_does_not_hang() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "urgent", vec![gang(2, 8)]);
    sample.start(&job, 0, 1, &[0, 1]);
    let runs = |percent| vec![listed(&job, 0, percent)];
    let sessions = [session(0, &[(1_000, runs(100)), (2_500, runs(100)), (4_000, runs(100))])];
    assert!(find_hanging(&sample.state, &sessions, &HashSet::new(), 4_100).is_empty());
}

/// Guards against stopping a run that advances slowly, and against a second stop of one that is
/// being stopped.
#[test]
fn slow_or_stopping_runs_do_not_hang() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "batch", vec![step(2, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.start(&job, 1, 1, &[0]);
    let lists = [
        (1_000, vec![listed(&job, 0, 5), listed(&job, 1, 5)]),
        (3_000, vec![listed(&job, 0, 6), listed(&job, 1, 5)]),
        (5_000, vec![listed(&job, 0, 7), listed(&job, 1, 5)]),
    ];
    let sessions = [session(0, &lists)];
    let stopping = HashSet::from([(listed(&job, 1, 0).task, 1)]);
    assert!(find_hanging(&sample.state, &sessions, &stopping, 5_100).is_empty());
    assert_eq!(find_hanging(&sample.state, &sessions, &HashSet::new(), 5_100).len(), 1);
}

/// Guards against stopping a long run whose estimate is far too low, or whose upstream has become slow:
/// its percentages are far apart, as they were before.
#[test]
fn a_run_that_took_long_for_each_percent_does_not_hang() {
    let mut sample = Sample::with_hosts(1);
    let job = sample.accept(1, "batch", vec![step(1, 1)]);
    sample.start(&job, 0, 1, &[0]);
    let runs = |percent| vec![listed(&job, 0, percent)];
    let lists = [(1_000, runs(5)), (3_000, runs(6)), (5_000, runs(6)), (11_000, runs(6))];
    let sessions = [session(0, &lists)];
    assert!(find_hanging(&sample.state, &sessions, &HashSet::new(), 11_100).is_empty());
    let sessions = [session(0, &[lists.to_vec(), vec![(20_000, runs(6))]].concat())];
    assert_eq!(find_hanging(&sample.state, &sessions, &HashSet::new(), 20_100).len(), 1);
}
