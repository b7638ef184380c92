//! Submission, refusal and cancellation of jobs.

use std::time::Duration;

use rstest::rstest;
use tokio::time::sleep;

use super::super::{cancel_job, submit_job};
use super::site::{
    Fault, SentMessage, Transmission, World, dated, status, submit, submit_named, wait_for_end,
};
use crate::rpc::{JobNameRequest, SubmitJobRequest};

const GANG_OF_16: &str = r#""accelerators":16,"run_ms":20000"#;

fn no_fault(_: SentMessage) -> Transmission {
    Transmission::Arrives
}

fn commit_late(sent: SentMessage) -> Transmission {
    let hit = sent.upstream == 1 && sent.kind == "commit" && sent.earlier == 0;
    if hit { Transmission::RequestLate(500) } else { Transmission::Arrives }
}

fn upstream_silent(sent: SentMessage) -> Transmission {
    if sent.upstream == 1 && sent.at_ms > 1_000 {
        Transmission::RequestLost
    } else {
        Transmission::Arrives
    }
}

/// Guards against accepting jobs that cannot run or are malformed.
#[rstest]
#[case::above_any_rack(r#""accelerators":65"#, "65 accelerators exceed the limit of 64")]
#[case::above_this_pool(r#""accelerators":24"#, "no rack has 24 adjacent accelerators")]
#[case::unknown_key(r#""accelerators":8,"gpus":8"#, "unknown field `gpus`")]
#[case::no_size(r#""run_ms":1"#, "either accelerators or a shape")]
#[case::two_sizes(r#""accelerators":8,"shape":"pair""#, "both accelerators and a shape")]
#[case::unknown_shape(r#""shape":"cube""#, "service plan has no job shape cube")]
#[case::other_content(r#""accelerators":8,"run_ms":7"#, "conflict: job 19700101-a exists")]
#[tokio::test(start_paused = true)]
async fn a_job_is_refused_with_the_reason(#[case] keys: &str, #[case] reason: &str) {
    let world = World::new(no_fault);
    let jobs = world.start(1).await;
    sleep(Duration::from_millis(10_001)).await;
    let name = if reason.starts_with("conflict") { "a" } else { "b" };
    assert!(submit(&jobs, "a", r#""shape":"pair","run_ms":10"#).await.found);
    let reply = submit(&jobs, name, keys).await;
    assert!(reply.refused && reply.reason.contains(reason), "{reply:?}");
    assert_eq!(wait_for_end(&jobs, "a").await, "completed");
    assert_eq!(world.gangs_that_ran(), 1);
}

/// Guards against a cancellation whose reported result differs from what the stand-ins ran.
#[rstest]
#[case::staging(no_fault, 1, "cancelled", "no", 0, 0)]
#[case::committing(no_fault, 3, "cancelled", "yes", 2, 5)]
#[case::stop_overtakes_commit(commit_late, 10, "cancelled", "yes", 1, 2_000)]
#[case::running(no_fault, 7_000, "cancelled", "yes", 2, 5)]
#[case::running_with_a_silent_member(upstream_silent, 7_000, "cancelled", "yes", 2, 30_000)]
#[case::ended(no_fault, 30_000, "completed", "yes", 2, 5)]
#[tokio::test(start_paused = true)]
async fn a_cancelled_job_ends_once_and_accurately(
    #[case] fault: Fault,
    #[case] cancelled_at_ms: u64,
    #[case] result: &str,
    #[case] ran: &str,
    #[case] runs: usize,
    #[case] bound_ms: u128,
) {
    let world = World::new(fault);
    let jobs = world.start(1).await;
    submit(&jobs, "a", GANG_OF_16).await;
    sleep(Duration::from_millis(cancelled_at_ms)).await;
    let request = JobNameRequest { name: dated("a") };
    let reply = cancel_job(&jobs, &request).await;
    assert!(reply.status_json.contains(r#""cancel_requested":"#), "{reply:?}");
    assert_eq!(wait_for_end(&jobs, "a").await, result);
    assert_eq!(status(&jobs, "a").await["end"]["ran"], ran);
    sleep(Duration::from_mins(1)).await;
    assert_eq!(world.runs().len(), runs, "{:#?}", world.runs());
    world.assert_bound(bound_ms);
}

/// Guards against a cancelled job that starts once capacity becomes free.
#[tokio::test(start_paused = true)]
async fn a_waiting_job_is_cancelled_at_once() {
    let world = World::new(no_fault);
    let jobs = world.start(1).await;
    submit(&jobs, "a", GANG_OF_16).await;
    submit(&jobs, "b", GANG_OF_16).await;
    cancel_job(&jobs, &JobNameRequest { name: dated("b") }).await;
    assert_eq!(status(&jobs, "b").await["end"]["ran"], "no");
    assert!(!cancel_job(&jobs, &JobNameRequest { name: dated("c") }).await.found);
    sleep(Duration::from_mins(1)).await;
    assert_eq!(world.gangs_that_ran(), 1);
}

/// Guards against restarting a failing job endlessly on the same upstreams.
#[tokio::test(start_paused = true)]
async fn a_job_that_fails_is_tried_once_on_each_upstream() {
    let world = World::new(no_fault);
    let jobs = world.start(1).await;
    submit(&jobs, "a", r#""accelerators":8,"run_ms":1000,"fails":true"#).await;
    assert_eq!(wait_for_end(&jobs, "a").await, "failed");
    sleep(Duration::from_mins(1)).await;
    assert_eq!(world.gangs_that_ran(), 2, "{:#?}", world.runs());
    let reason = status(&jobs, "a").await["end"]["reason"].to_string();
    assert!(reason.contains("the upstreams where it failed: 2"), "{reason}");
}

/// Guards against a job that waits although its shape forbids it, and against a late copy of its
/// submission that runs after the refusal.
#[rstest]
#[case::free(false)]
#[case::taken(true)]
#[tokio::test(start_paused = true)]
async fn a_job_that_may_not_wait_starts_at_once_or_never(#[case] taken: bool) {
    let world = World::new(no_fault);
    let mut jobs = world.start(1).await;
    if taken {
        submit(&jobs, "blocker", GANG_OF_16).await;
    }
    let keys = r#""shape":"prompt","run_ms":10"#;
    let first = submit(&jobs, "a", keys).await;
    assert_eq!(first.refused, taken, "{first:?}");
    assert_eq!(first.reason.starts_with("no_capacity: "), taken, "{first:?}");
    sleep(Duration::from_mins(1)).await;
    for epoch in 2..4 {
        assert_eq!(submit(&jobs, "a", keys).await, first);
        let end = status(&jobs, "a").await["end"].clone();
        let expected = if taken { ("refused", "no") } else { ("completed", "yes") };
        assert_eq!((&end["result"], &end["ran"]), (&expected.0.into(), &expected.1.into()));
        jobs = world.start(epoch).await;
    }
    assert_eq!(world.gangs_that_ran(), 1);
}

/// Guards against accepting jobs of organisations and services without a document entry.
#[rstest]
#[case("south", "plan", "forbidden: organisation south has no part in service plan")]
#[case("north", "check", "unknown_service: service check has no document in this data centre")]
#[tokio::test(start_paused = true)]
async fn unknown_organisations_and_services_are_refused(
    #[case] organisation: &str,
    #[case] service: &str,
    #[case] reason: &str,
) {
    let jobs = World::new(no_fault).start(1).await;
    let (name, organisation, service) = (dated("a"), organisation.to_owned(), service.to_owned());
    let job_json = format!(
        r#"{{"name":"{name}","organisation":"{organisation}","service":"{service}","accelerators":1}}"#
    );
    let request = SubmitJobRequest { name, organisation, service, job_json };
    assert_eq!(submit_job(&jobs, &request).await.reason, reason);
}

/// Guards against a resend that runs again because the ended job was evicted or pruned.
#[rstest]
#[case("19700101-old", true)]
#[case("19700109-old", false)]
#[tokio::test(start_paused = true)]
async fn a_late_resend_never_runs_again(#[case] name: &str, #[case] found: bool) {
    let world = World::new(no_fault);
    let mut jobs = world.start(1).await;
    let keys = r#""accelerators":8,"run_ms":1"#;
    let first = submit_named(&jobs, "19700101-old", keys).await;
    wait_for_end(&jobs, "old").await;
    for number in 0..4_097 {
        submit(&jobs, &format!("fill-{number}"), keys).await;
        cancel_job(&jobs, &JobNameRequest { name: dated(&format!("fill-{number}")) }).await;
    }
    for epoch in 2..4 {
        assert_eq!(submit_named(&jobs, "19700101-old", keys).await, first);
        assert_eq!(status(&jobs, "old").await["end"]["result"], "completed");
        jobs = world.start(epoch).await;
    }
    let reply = submit_named(&jobs, name, keys).await;
    assert_eq!(reply.found, found, "{reply:?}");
    sleep(Duration::from_hours(8 * 24)).await;
    for number in 0..2_000 {
        submit_named(&jobs, &format!("19700108-later-{number}"), keys).await;
    }
    let reply = submit_named(&jobs, "19700101-old", keys).await;
    assert!(reply.reason.starts_with("key_expired: ") || reply == first, "{reply:?}");
    let runs = world.runs();
    assert_eq!(runs.iter().filter(|run| run.job.as_str() == "19700101-old").count(), 1);
}

/// Guards against sending messages before their records are durable.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_when_the_journal_fails() {
    let world = World::new(no_fault);
    let jobs = world.start(1).await;
    world.disk.lock().expect("no panic").failed = true;
    for _ in 0..2 {
        let reply = submit(&jobs, "a", GANG_OF_16).await;
        assert!(reply.refused && reply.reason.starts_with("unavailable: "), "{reply:?}");
        sleep(Duration::from_secs(5)).await;
    }
    assert_eq!(world.messages_sent(), 0);
}
