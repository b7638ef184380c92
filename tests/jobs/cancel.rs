//! Cancellation of a job in each of its states.

use std::time::Duration;

use rstest::rstest;

use crate::site::{cancel, explain, job, members_by_gang, submit_until, wait_for, wait_for_end};
use crate::support::Installation;

const TIMEOUT: Duration = Duration::from_secs(15);

/// Repeated cancellations, also through different entry hosts, must get the same answer, and the
/// answer must match whether the job ran.
#[rstest]
#[case("waiting", "cancelled", "no")]
#[case("staging", "cancelled", "no")]
#[case("running", "cancelled", "yes")]
#[case("stopping", "cancelled", "yes")]
#[case("ended", "completed", "yes")]
fn repeated_cancellations_get_the_same_answer(
    #[case] state: &str,
    #[case] result: &str,
    #[case] ran: &str,
) {
    let installation = Installation::start(2, 2);
    prepare_subject(&installation, state);
    for entry in [0, 1, 0] {
        let reply = cancel(&installation, entry, "subject").expect("an answer");
        assert_eq!(reply.status, 200, "{reply:?}");
        let end = &reply.body["end"];
        assert!(end.is_null() || end["result"] == result, "{reply:?}");
    }
    installation.resume_standin(1);
    let end = wait_for_end(&installation, "subject", TIMEOUT);
    assert_eq!((&end["result"], &end["ran"]), (&result.into(), &ran.into()), "{end}");
    let again = cancel(&installation, 1, "subject").expect("an answer");
    assert_eq!(again.body["end"], end);
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(explain(&installation, "subject")["end"], end);
    assert_eq!(members_by_gang(&installation, &[0, 1], "subject").is_empty(), ran == "no");
}

fn prepare_subject(installation: &Installation, state: &str) {
    match state {
        "waiting" => {
            submit_until(installation, &job("blocker", 16, 60_000), 202);
            wait_for(installation, "blocker", "running", TIMEOUT);
            submit_until(installation, &job("subject", 16, 500), 202);
        }
        "staging" => {
            installation.suspend_standin(1);
            submit_until(installation, &job("subject", 16, 60_000), 202);
        }
        "ended" => {
            submit_until(installation, &job("subject", 16, 200), 202);
        }
        _ => {
            submit_until(installation, &job("subject", 16, 60_000), 202);
            wait_for(installation, "subject", "running", TIMEOUT);
        }
    }
    if state == "stopping" {
        installation.suspend_standin(1);
        assert!(cancel(installation, 1, "subject").is_some_and(|reply| reply.status == 200));
    }
    wait_for(installation, "subject", state, TIMEOUT);
}

/// The cancellation of an unknown job must fail, not be reported as done.
#[test]
fn an_unknown_job_cannot_be_cancelled() {
    let installation = Installation::start(1, 1);
    assert_eq!(cancel(&installation, 0, "unknown").map(|reply| reply.status), Some(404));
}
