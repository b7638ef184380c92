//! Runs that make no progress.

use std::collections::HashSet;

use crate::cluster::leader::failures::hanging;
use crate::cluster::leader::session::Session;
use crate::cluster::upstream_calls::{ListedRun, TaskLists};
use crate::tasks::tests::sample::{Sample, gang, life, step};
use crate::tasks::{JobId, TaskId};

fn listed(job: &JobId, index: u32, percent: u32) -> ListedRun {
    let task = TaskId { job: job.clone(), occurrence: 0, step: 0, index };
    ListedRun { task, run: 1, checkpoint: "".into(), percent, load: None }
}

/// A session in touch that listed the given runs at each of the given times.
fn session(host: u32, lists: &[(u64, Vec<ListedRun>)]) -> Session {
    let mut session = Session::new(life(host), "10.0.0.1:80".into(), 10_000, 0);
    for (at_ms, running) in lists {
        session.heard(*at_ms, *at_ms);
        let running = running.clone();
        session
            .note_lists(&TaskLists { clock_ms: *at_ms, running, ..TaskLists::default() }, *at_ms);
    }
    session
}

/// Incident: a gang on a worker whose tasks stood still was never stopped, because only single
/// tasks were watched, and an urgent job took three times as long.
#[test]
fn a_gang_that_stands_still_is_found() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "urgent", vec![gang(2, 8)]);
    sample.start(&job, 0, 1, &[0, 1]);
    let still = |index| {
        let runs = |percent| vec![listed(&job, index, percent)];
        vec![(1_000, runs(5)), (2_500, runs(5)), (4_000, runs(5))]
    };
    let sessions = [session(0, &still(0)), session(1, &still(1))];
    let found = hanging(&sample.state, sessions.iter(), &HashSet::new(), 4_100);
    let lives: HashSet<_> = found.iter().map(|hanging| hanging.life.clone()).collect();
    assert_eq!(lives, HashSet::from([life(0), life(1)]));
    assert!(hanging(&sample.state, sessions.iter(), &HashSet::new(), 3_400).is_empty());
}

/// Members of a gang end together, so one that has done its part stands still at 100 percent.
#[test]
fn a_member_that_waits_for_the_others_does_not_hang() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "urgent", vec![gang(2, 8)]);
    sample.start(&job, 0, 1, &[0, 1]);
    let runs = |percent| vec![listed(&job, 0, percent)];
    let sessions = [session(0, &[(1_000, runs(100)), (2_500, runs(100)), (4_000, runs(100))])];
    assert!(hanging(&sample.state, sessions.iter(), &HashSet::new(), 4_100).is_empty());
}

/// A run that advances, however slowly, does not hang; nor does one that is being stopped.
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
    assert!(hanging(&sample.state, sessions.iter(), &stopping, 5_100).is_empty());
    assert_eq!(hanging(&sample.state, sessions.iter(), &HashSet::new(), 5_100).len(), 1);
}
