//! Submissions: repeated, contradictory, never runnable and always failing ones.

use std::time::Duration;

use serde_json::json;

use crate::site::{job, runs, submit, submit_until, wait_for_end};
use crate::support::Installation;

const LIMIT: Duration = Duration::from_secs(20);

/// Guards against a resend that runs again or gets another answer, and against two contents under
/// one name.
#[test]
fn a_name_stands_for_one_submission() {
    let site = Installation::start(2, 2);
    let first = submit_until(&site, &job("twice", 16, 300), 202);
    let again = submit(&site, 1, &job("twice", 16, 300)).expect("an answer");
    assert_eq!(again, first);
    let other = submit(&site, 0, &job("twice", 16, 301)).expect("an answer");
    assert_eq!(other.status, 409, "{other:?}");
    wait_for_end(&site, "twice", LIMIT);
    assert_eq!(submit(&site, 1, &job("twice", 16, 300)).as_ref(), Some(&first));
    assert_eq!(submit(&site, 0, &job("twice", 8, 300)).map(|reply| reply.status), Some(409));
    assert_eq!(runs(&site, &[0, 1], "twice").len(), 1);
}

/// Guards against jobs that are accepted although no change of load lets them run.
#[test]
fn a_job_that_can_never_run_is_refused_with_the_constraint() {
    let site = Installation::start(1, 2);
    // The pool is known 4 s after the start of control.
    std::thread::sleep(Duration::from_secs(1));
    let refused = |accelerators| {
        let reply = submit(&site, 0, &job("never", accelerators, 1)).expect("an answer");
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

/// Guards against a job at fault that is tried for ever.
#[test]
fn a_job_that_fails_everywhere_ends_as_failed() {
    let site = Installation::start(1, 3);
    let mut failing = job("failing", 8, 100);
    failing["fails"] = json!(true);
    submit_until(&site, &failing, 202);
    let end = wait_for_end(&site, "failing", LIMIT);
    assert_eq!((&end["result"], &end["ran"]), (&"failed".into(), &"yes".into()), "{end}");
    let gangs = runs(&site, &[0, 1, 2], "failing");
    assert_eq!(gangs.len(), 3, "{gangs:?}");
}
