//! Gangs from submission to end, also if the control process is killed in between.

use std::time::Duration;

use rstest::rstest;

use crate::site::{
    cancel, count_complete_gangs, explain, job, members_by_gang, submit_until, wait_for,
    wait_for_end,
};
use crate::support::Installation;

const TIMEOUT: Duration = Duration::from_secs(15);

/// A gang must run with all its members, and its end must be reported.
#[test]
fn a_gang_of_sixteen_runs_with_all_members_and_reports_its_end() {
    let installation = Installation::start(2, 2);
    submit_until(&installation, &job("whole", 16, 500), 202);
    let end = wait_for_end(&installation, "whole", TIMEOUT);
    assert_eq!((&end["result"], &end["ran"]), (&"completed".into(), &"yes".into()));
    let gangs = members_by_gang(&installation, &[0, 1], "whole");
    assert_eq!((gangs.len(), count_complete_gangs(&gangs, 2)), (1, 1), "{gangs:?}");
}

/// State of the job when the control process is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KilledWhile {
    Waiting,
    Staged,
    Running,
    Stopping,
}

/// A restart of control must not lose a job, run or end it twice, or stop a running gang.
#[rstest]
#[case(KilledWhile::Waiting, "completed")]
#[case(KilledWhile::Staged, "completed")]
#[case(KilledWhile::Running, "completed")]
#[case(KilledWhile::Stopping, "cancelled")]
fn each_job_ends_once_after_control_was_killed(
    #[case] killed_while: KilledWhile,
    #[case] result: &str,
) {
    let mut installation = Installation::start(2, 2);
    prepare_subject(&installation, killed_while);
    installation.kill_control();
    installation.resume_standin(1);
    std::thread::sleep(Duration::from_millis(500));
    installation.start_control();
    let end = wait_for_end(&installation, "subject", TIMEOUT);
    assert_eq!(end["result"], result, "{end}");
    let gangs = members_by_gang(&installation, &[0, 1], "subject");
    let complete = count_complete_gangs(&gangs, 2);
    assert_eq!(complete, usize::from(result == "completed"), "{gangs:?}");
    if killed_while == KilledWhile::Running {
        assert_eq!(gangs.len(), 1, "the gang kept running: {gangs:?}");
    }
    if killed_while == KilledWhile::Waiting {
        let blocker = members_by_gang(&installation, &[0, 1], "blocker");
        assert_eq!((blocker.len(), count_complete_gangs(&blocker, 2)), (1, 1), "{blocker:?}");
    }
    // Leaves time for a second end, which would replace the first.
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(explain(&installation, "subject")["end"], end);
    assert_eq!(members_by_gang(&installation, &[0, 1], "subject"), gangs);
}

fn prepare_subject(installation: &Installation, killed_while: KilledWhile) {
    match killed_while {
        KilledWhile::Waiting => {
            submit_until(installation, &job("blocker", 16, 4_000), 202);
            wait_for(installation, "blocker", "running", TIMEOUT);
            submit_until(installation, &job("subject", 16, 500), 202);
            wait_for(installation, "subject", "waiting", TIMEOUT);
        }
        KilledWhile::Staged => {
            // A suspended member does not answer its stage message.
            installation.suspend_standin(1);
            submit_until(installation, &job("subject", 16, 500), 202);
            wait_for(installation, "subject", "staging", TIMEOUT);
        }
        KilledWhile::Running => {
            submit_until(installation, &job("subject", 16, 5_000), 202);
            wait_for(installation, "subject", "running", TIMEOUT);
        }
        KilledWhile::Stopping => {
            submit_until(installation, &job("subject", 16, 60_000), 202);
            wait_for(installation, "subject", "running", TIMEOUT);
            installation.suspend_standin(1);
            assert!(cancel(installation, 0, "subject").is_some_and(|reply| reply.status == 200));
            wait_for(installation, "subject", "stopping", TIMEOUT);
        }
    }
}

/// Control must learn of an end at once, not only at the next renewal, up to 5 s later.
#[test]
fn an_end_is_reported_before_the_next_renewal() {
    let installation = Installation::start(2, 2);
    for id in ["first", "second"] {
        submit_until(&installation, &job(id, 16, 1_500), 202);
        wait_for(&installation, id, "running", TIMEOUT);
        // The first renewal after the start is 5 s later.
        wait_for_end(&installation, id, Duration::from_millis(2_500));
    }
}
