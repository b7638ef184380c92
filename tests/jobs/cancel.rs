//! Cancellations in each state of a job.

use std::time::Duration;

use rstest::rstest;

use crate::site::{cancel, explain, job, runs, submit_until, wait_for, wait_for_end};
use crate::support::Installation;

const LIMIT: Duration = Duration::from_secs(15);

/// Guards against a cancellation that gets two different answers, or one that is not true, when
/// it is sent twice and through two entry hosts.
#[rstest]
#[case("waiting", "cancelled", "no")]
#[case("staging", "cancelled", "no")]
#[case("running", "cancelled", "yes")]
#[case("stopping", "cancelled", "yes")]
#[case("ended", "completed", "yes")]
fn a_cancellation_gets_one_true_answer(
    #[case] state: &str,
    #[case] result: &str,
    #[case] ran: &str,
) {
    let site = Installation::start(2, 2);
    bring_to(&site, state);
    for entry in [0, 1, 0] {
        let reply = cancel(&site, entry, "subject").expect("an answer");
        assert_eq!(reply.status, 200, "{reply:?}");
        let end = &reply.body["end"];
        assert!(end.is_null() || end["result"] == result, "{reply:?}");
    }
    site.thaw_standin(1);
    let end = wait_for_end(&site, "subject", LIMIT);
    assert_eq!((&end["result"], &end["ran"]), (&result.into(), &ran.into()), "{end}");
    let again = cancel(&site, 1, "subject").expect("an answer");
    assert_eq!(again.body["end"], end);
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(explain(&site, "subject")["end"], end);
    assert_eq!(runs(&site, &[0, 1], "subject").is_empty(), ran == "no");
}

fn bring_to(site: &Installation, state: &str) {
    match state {
        "waiting" => {
            submit_until(site, &job("blocker", 16, 60_000), 202);
            wait_for(site, "blocker", "running", LIMIT);
            submit_until(site, &job("subject", 16, 500), 202);
        }
        "staging" => {
            site.freeze_standin(1);
            submit_until(site, &job("subject", 16, 60_000), 202);
        }
        "ended" => {
            submit_until(site, &job("subject", 16, 200), 202);
        }
        _ => {
            submit_until(site, &job("subject", 16, 60_000), 202);
            wait_for(site, "subject", "running", LIMIT);
        }
    }
    if state == "stopping" {
        site.freeze_standin(1);
        assert!(cancel(site, 1, "subject").is_some_and(|reply| reply.status == 200));
    }
    wait_for(site, "subject", state, LIMIT);
}

/// Guards against a job that is reported as cancelled although nobody knows it.
#[test]
fn an_unknown_job_cannot_be_cancelled() {
    let site = Installation::start(1, 1);
    assert_eq!(cancel(&site, 0, "unknown").map(|reply| reply.status), Some(404));
}
