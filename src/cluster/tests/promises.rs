//! What must hold for running work when calls to upstreams go wrong.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::control_host::{TestControl, wait_until};
use super::fake_worker::{FakeUpstreams, Fault};
use crate::cluster::{Action, FrontCall, FrontReply, Reply, Request};
use crate::tasks::tests::sample::{job_id, spec, step};
use crate::tasks::{JobSpec, JobState, Repeat, StepSpec};

/// Lease of the upstreams in these tests.
pub(in crate::cluster) const LEASE_MS: u64 = 4_000;

pub(super) fn call(number: u64, action: Action) -> Request {
    Request::Front(FrontCall {
        host: "jobs.example".to_owned(),
        path: format!("/normal/{}", job_id(number)),
        key: Some("key-of-north".to_owned()),
        action,
    })
}

fn single_task() -> Arc<JobSpec> {
    Arc::new(spec(vec![step(1, 8)]))
}

pub(in crate::cluster) async fn submit(test: &TestControl, number: u64) {
    let reply =
        test.call_until_answered(call(number, Action::Submit { spec: single_task() })).await;
    assert_eq!(reply, Reply::Front(FrontReply::Accepted));
}

/// Waits until a job is completed; at no time may more than one run of a task be in execution.
pub(super) async fn wait_until_completed(test: &TestControl, fake: &FakeUpstreams, number: u64) {
    let begun = Instant::now();
    loop {
        assert!(!fake.runs_twice(), "two runs of one task: {:?}", fake.started());
        let reply = test.call_until_answered(call(number, Action::Status)).await;
        if reply == Reply::Front(FrontReply::State(JobState::Completed)) {
            return;
        }
        assert!(begun.elapsed() < Duration::from_secs(20), "{reply:?}, {:?}", fake.started());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub(super) async fn wait_until_state(test: &TestControl, number: u64, state: JobState) {
    let begun = Instant::now();
    loop {
        let reply = test.call_until_answered(call(number, Action::Status)).await;
        if reply == Reply::Front(FrontReply::State(state)) {
            return;
        }
        assert!(begun.elapsed() < Duration::from_secs(20), "{reply:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against running work that is started elsewhere or given up because its upstream was
/// silent for less than its lease, or because this process had no connection to ask it.
#[rstest]
#[case::silent(Fault::Silent, 3_000)]
#[case::answers_lost(Fault::AnswerLost, 3_000)]
#[case::no_connection(Fault::NoConnection, 3_000)]
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_silent_upstream_goes_on(#[case] fault: Fault, #[case] silent_ms: u64) {
    let fake = FakeUpstreams::new(Duration::from_millis(3_500));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    submit(&test, 1).await;
    wait_until("the task runs", || fake.running() == 1).await;
    let upstream = Arc::clone(&fake.started()[0].2);
    fake.set_holds(&upstream, fault);
    tokio::time::sleep(Duration::from_millis(silent_ms)).await;
    fake.set_holds(&upstream, Fault::None);
    wait_until_completed(&test, &fake, 1).await;
    assert_eq!(fake.started().len(), 1, "{:?}", fake.started());
}

/// Guards against work that runs again, or is thrown away, because the answer to its start was lost:
/// the upstream's lists show that it runs.
#[rstest]
#[case::short_work(300)]
#[case::long_work(4_000)]
#[tokio::test(flavor = "multi_thread")]
async fn work_whose_start_was_not_answered_runs_once(#[case] work_ms: u64) {
    let fake = FakeUpstreams::new(Duration::from_millis(work_ms));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    fake.set_starts(Fault::AnswerLost);
    submit(&test, 1).await;
    wait_until_completed(&test, &fake, 1).await;
    assert_eq!(fake.started().len(), 1, "{:?}", fake.started());
}

/// Guards against a second run beside one whose start and stop were carried out without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_unanswered_stop_does_not_start_the_work_twice() {
    let fake = FakeUpstreams::new(Duration::from_millis(500));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    fake.set_starts(Fault::Silent);
    fake.set_stops(Fault::AnswerLost);
    submit(&test, 1).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fake.set_starts(Fault::None);
    fake.set_stops(Fault::None);
    wait_until_completed(&test, &fake, 1).await;
    assert_eq!(fake.started().len(), 1, "{:?}", fake.started());
}

/// Guards against a submission that is told "not accepted" or stored twice when it is sent again
/// while the first one is being stored.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_that_is_sent_twice_at_once_is_one_job() {
    let fake = FakeUpstreams::new(Duration::from_millis(300));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    let (first, second) = tokio::join!(submit(&test, 1), submit(&test, 1));
    assert_eq!((first, second), ((), ()));
    wait_until_completed(&test, &fake, 1).await;
    assert_eq!(fake.started().len(), 1, "{:?}", fake.started());
}

/// Guards against a count of waiting jobs that leaves out those placed on an upstream which can't be
/// reached, and against one that keeps jobs whose tasks run: their starts were answered, or are listed.
#[rstest]
#[case::answered(Fault::None)]
#[case::answers_lost(Fault::AnswerLost)]
#[tokio::test(flavor = "multi_thread")]
async fn jobs_wait_until_a_task_has_begun(#[case] starts: Fault) {
    const JOBS: u64 = 4;
    let fake = FakeUpstreams::new(Duration::from_secs(5));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    wait_until("an upstream takes work", || fake.upstreams_held() == 1).await;
    fake.set_starts(Fault::Silent);
    let small = Arc::new(spec(vec![step(1, 1)]));
    for number in 1..=JOBS {
        let action = Action::Submit { spec: Arc::clone(&small) };
        let reply = test.call_until_answered(call(number, action)).await;
        assert_eq!(reply, Reply::Front(FrontReply::Accepted));
    }
    for _ in 0..20 {
        assert_eq!(pending(&test).await, JOBS);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fake.set_starts(starts);
    wait_until("all run", || fake.running() as u64 == JOBS).await;
    let begun = Instant::now();
    while pending(&test).await > 0 {
        assert!(begun.elapsed() < Duration::from_secs(2), "{} wait", pending(&test).await);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the number of jobs that wait in the queue.
async fn pending(test: &TestControl) -> u64 {
    let request = Request::Front(FrontCall {
        host: "jobs.example".to_owned(),
        path: "/normal/".to_owned(),
        key: Some("key-of-north".to_owned()),
        action: Action::Status,
    });
    match test.call_until_answered(request).await {
        Reply::Front(FrontReply::Pending(pending)) => pending,
        reply => panic!("{reply:?}"),
    }
}

/// Guards against a second run of a task that is done, because the lists do not show its end: an upstream
/// that was cut off lists its ends some at a time, or an entry can't be decoded.
#[rstest]
#[case::more_ends_follow(Fault::Silent, 2)]
#[case::unreadable_entries(Fault::Unreadable, usize::MAX)]
#[tokio::test(flavor = "multi_thread")]
async fn work_whose_end_is_not_listed_yet_is_not_started_again(
    #[case] fault: Fault,
    #[case] ends_per_list: usize,
) {
    const TASKS: u32 = 6;
    let fake = FakeUpstreams::new(Duration::from_millis(400));
    fake.set_ends_per_list(ends_per_list);
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    let action = Action::Submit { spec: Arc::new(spec(vec![step(TASKS, 1)])) };
    let reply = test.call_until_answered(call(1, action)).await;
    assert_eq!(reply, Reply::Front(FrontReply::Accepted));
    wait_until("all run", || fake.running() == TASKS as usize).await;
    let upstream = Arc::clone(&fake.started()[0].2);
    fake.set_holds(&upstream, fault);
    wait_until("all are done", || fake.running() == 0).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    fake.set_holds(&upstream, Fault::None);
    wait_until_completed(&test, &fake, 1).await;
    assert_eq!(fake.started().len(), TASKS as usize, "{:?}", fake.started());
}

/// Guards against a host that fails because the figures in an upstream's lists make no sense: the
/// other upstreams go on working.
#[tokio::test(flavor = "multi_thread")]
async fn absurd_lists_of_one_upstream_disturb_no_other() {
    let fake = FakeUpstreams::new(Duration::from_millis(300));
    fake.set_holds("host-00", Fault::Absurd);
    let test = TestControl::start(&fake, 3, LEASE_MS).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in 1..=6 {
        submit(&test, number).await;
    }
    for number in 1..=6 {
        wait_until_state(&test, number, JobState::Completed).await;
    }
}

/// Guards against a job that ends the process or fills its memory: one with absurd figures is
/// refused, and the next one runs.
#[tokio::test(flavor = "multi_thread")]
async fn an_absurd_job_is_refused_and_disturbs_nobody() {
    let fake = FakeUpstreams::new(Duration::from_millis(300));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    let repeat = Repeat { times: 1 << 31, first_unix_ms: u64::MAX, interval_ms: u64::MAX };
    let endless = StepSpec { tasks: u32::MAX, estimate_ms: u64::MAX, ..step(1, 8) };
    let absurd = JobSpec { repeat: Some(repeat), ..spec(vec![endless.clone(), endless]) };
    let reply = test.call_until_answered(call(9, Action::Submit { spec: Arc::new(absurd) })).await;
    assert!(matches!(reply, Reply::Front(FrontReply::Invalid { .. })), "{reply:?}");
    submit(&test, 1).await;
    wait_until_completed(&test, &fake, 1).await;
}

/// Guards against a job that starts after its cancellation was acknowledged, because its submission
/// arrived later: its entry host was suspended, or both were under way at the same time.
#[rstest]
#[case::one_after_the_other(false)]
#[case::at_once(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_does_not_start_when_its_submission_arrives(#[case] at_once: bool) {
    let fake = FakeUpstreams::new(Duration::from_millis(100));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    let submission = || test.call_until_answered(call(1, Action::Submit { spec: single_task() }));
    let cancellation = || test.call_until_answered(call(1, Action::Cancel));
    let submitted = if at_once {
        tokio::join!(cancellation(), submission()).1
    } else {
        assert_eq!(cancellation().await, Reply::Front(FrontReply::NoJob));
        submission().await
    };
    submit(&test, 2).await;
    wait_until_completed(&test, &fake, 2).await;
    let expected = match submitted {
        Reply::Front(FrontReply::Accepted) => FrontReply::State(JobState::Cancelled),
        _ => FrontReply::NoJob,
    };
    let state = test.call_until_answered(call(1, Action::Status)).await;
    assert_eq!(state, Reply::Front(expected));
    if !at_once {
        assert_eq!(submitted, Reply::Front(FrontReply::CancelledBefore));
        assert!(fake.started().iter().all(|(task, ..)| task.job == job_id(2)));
    }
}

/// Guards against a control host that runs out of memory: the entries of its log were dropped by their
/// number only, and a few large jobs fill as much as thousands of small ones.
#[tokio::test(flavor = "multi_thread")]
async fn large_jobs_do_not_fill_the_log_in_memory() {
    let fake = FakeUpstreams::new(Duration::from_millis(300));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    // Due long after the test, so that nothing is placed.
    let repeat =
        Repeat { times: 2, first_unix_ms: u64::from(u32::MAX) * 1_000, interval_ms: 1_000 };
    let large = JobSpec { repeat: Some(repeat), ..spec(vec![step(1, 1); 40_000]) };
    let large = Arc::new(large);
    for number in 1..=20 {
        let submission = call(number, Action::Submit { spec: Arc::clone(&large) });
        while test.call_until_answered(submission.clone()).await
            != Reply::Front(FrontReply::Accepted)
        {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        test.call_until_answered(call(number, Action::Cancel)).await;
    }
    let inner = test.control.replica.lock();
    assert!(inner.core.log().first_index() > 1, "the log was never compacted");
}
