//! Repeated and conflicting submissions, and jobs that can never run or always fail.

use std::time::Duration;

use serde_json::json;

use crate::site::{job, members_by_gang, submit, submit_until, wait_for_end};
use crate::support::Installation;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A repeated submission must get the first answer and not run again, and a submission with the
/// same name and other content must be refused.
#[test]
fn a_name_identifies_one_submission() {
    let installation = Installation::start(2, 2);
    let first = submit_until(&installation, &job("twice", 16, 300), 202);
    let again = submit(&installation, 1, &job("twice", 16, 300)).expect("an answer");
    assert_eq!(again, first);
    let other = submit(&installation, 0, &job("twice", 16, 301)).expect("an answer");
    assert_eq!(other.status, 409, "{other:?}");
    wait_for_end(&installation, "twice", TIMEOUT);
    assert_eq!(submit(&installation, 1, &job("twice", 16, 300)).as_ref(), Some(&first));
    assert_eq!(
        submit(&installation, 0, &job("twice", 8, 300)).map(|reply| reply.status),
        Some(409)
    );
    assert_eq!(members_by_gang(&installation, &[0, 1], "twice").len(), 1);
}

/// A job that could not run even on idle upstreams must be refused, with the violated constraint.
#[test]
fn a_job_that_can_never_run_is_refused_with_the_constraint() {
    let installation = Installation::start(1, 2);
    // Control knows all upstreams 4 s after its start.
    std::thread::sleep(Duration::from_secs(1));
    let refused = |accelerators| {
        let reply = submit(&installation, 0, &job("never", accelerators, 1)).expect("an answer");
        assert_eq!(reply.status, 422, "{reply:?}");
        reply.body.to_string()
    };
    let reason = refused(24);
    assert!(reason.contains("no rack has 24 adjacent accelerators"), "{reason}");
    let reason = refused(65);
    assert!(reason.contains("exceed the limit of 64"), "{reason}");
    let reason = refused(0);
    assert!(reason.contains("at least 1 accelerator"), "{reason}");
}

/// A job that fails on each upstream must end as failed, and not be retried without limit.
#[test]
fn a_job_that_fails_everywhere_ends_as_failed() {
    let installation = Installation::start(1, 3);
    let mut failing = job("failing", 8, 100);
    failing["fails"] = json!(true);
    submit_until(&installation, &failing, 202);
    let end = wait_for_end(&installation, "failing", TIMEOUT);
    assert_eq!((&end["result"], &end["ran"]), (&"failed".into(), &"yes".into()), "{end}");
    let gangs = members_by_gang(&installation, &[0, 1, 2], "failing");
    assert_eq!(gangs.len(), 3, "{gangs:?}");
}
