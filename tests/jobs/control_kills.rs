//! Gangs from submission to end, also when the control process is killed on the way.

use std::time::Duration;

use rstest::rstest;

use crate::site::{cancel, explain, job, runs, submit_until, wait_for, wait_for_end, whole_runs};
use crate::support::Installation;

const LIMIT: Duration = Duration::from_secs(15);

/// Guards against a gang that misses a member or whose end is not reported.
#[test]
fn a_gang_of_sixteen_runs_whole_and_reports_its_end() {
    let site = Installation::start(2, 2);
    submit_until(&site, &job("whole", 16, 500), 202);
    let end = wait_for_end(&site, "whole", LIMIT);
    assert_eq!((&end["result"], &end["ran"]), (&"completed".into(), &"yes".into()));
    let gangs = runs(&site, &[0, 1], "whole");
    assert_eq!((gangs.len(), whole_runs(&gangs, 2)), (1, 1), "{gangs:?}");
}

/// Where the control process is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    Waiting,
    Staged,
    Running,
    Stopping,
}

/// Guards against jobs that a restart of control loses, runs twice or ends twice, and against
/// running gangs that it stops.
#[rstest]
#[case(At::Waiting, "completed")]
#[case(At::Staged, "completed")]
#[case(At::Running, "completed")]
#[case(At::Stopping, "cancelled")]
fn a_killed_control_process_ends_each_job_once(#[case] at: At, #[case] result: &str) {
    let mut site = Installation::start(2, 2);
    bring_to(&site, at);
    site.kill_control();
    site.thaw_standin(1);
    std::thread::sleep(Duration::from_millis(500));
    site.start_control();
    let end = wait_for_end(&site, "subject", LIMIT);
    assert_eq!(end["result"], result, "{end}");
    let gangs = runs(&site, &[0, 1], "subject");
    let whole = whole_runs(&gangs, 2);
    assert_eq!(whole, usize::from(result == "completed"), "{gangs:?}");
    if at == At::Running {
        assert_eq!(gangs.len(), 1, "the running gang goes on: {gangs:?}");
    }
    if at == At::Waiting {
        let before = runs(&site, &[0, 1], "blocker");
        assert_eq!((before.len(), whole_runs(&before, 2)), (1, 1), "{before:?}");
    }
    // A job that ends once keeps its end.
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(explain(&site, "subject")["end"], end);
    assert_eq!(runs(&site, &[0, 1], "subject"), gangs);
}

fn bring_to(site: &Installation, at: At) {
    match at {
        At::Waiting => {
            submit_until(site, &job("blocker", 16, 4_000), 202);
            wait_for(site, "blocker", "running", LIMIT);
            submit_until(site, &job("subject", 16, 500), 202);
            wait_for(site, "subject", "waiting", LIMIT);
        }
        At::Staged => {
            // A frozen member does not answer its stage message.
            site.freeze_standin(1);
            submit_until(site, &job("subject", 16, 500), 202);
            wait_for(site, "subject", "staging", LIMIT);
        }
        At::Running => {
            submit_until(site, &job("subject", 16, 5_000), 202);
            wait_for(site, "subject", "running", LIMIT);
        }
        At::Stopping => {
            submit_until(site, &job("subject", 16, 60_000), 202);
            wait_for(site, "subject", "running", LIMIT);
            site.freeze_standin(1);
            assert!(cancel(site, 0, "subject").is_some_and(|reply| reply.status == 200));
            wait_for(site, "subject", "stopping", LIMIT);
        }
    }
}

/// Guards against an end that control notices only at the next renewal, up to 5 s later.
#[test]
fn an_end_is_noticed_soon() {
    let site = Installation::start(2, 2);
    for id in ["first", "second"] {
        submit_until(&site, &job(id, 16, 1_500), 202);
        wait_for(&site, id, "running", LIMIT);
        // The first renewal after the start is 5 s later.
        wait_for_end(&site, id, Duration::from_millis(2_500));
    }
}
