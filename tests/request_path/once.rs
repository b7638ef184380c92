//! A request that is not idempotent runs at most once, despite resends, kills and lost messages.

use std::thread::JoinHandle;
use std::time::Duration;

use rstest::rstest;

use crate::support::link::Fault;
use crate::support::path::{ClusterClock, ClusterOptions, Request, Response, TestCluster};
use crate::support::{eventually, key};

/// Concurrent submissions with the same key must run only once, and each must get the answer within
/// its time limits on the hosts' clock.
#[rstest]
#[case::at_one_host([0, 0])]
#[case::at_two_hosts([0, 1])]
fn concurrent_submissions_of_a_key_run_once(#[case] hosts: [u8; 2]) {
    let cluster = TestCluster::start(ClusterOptions {
        clock: ClusterClock::Paced,
        ..ClusterOptions::default()
    });
    for number in 0..5 {
        let key = key(&format!("pair-{number}"));
        let request = Request::at_most_once(&key).work_ms(50);
        let pending = hosts.map(|host| request.spawn(&cluster.client(host)));
        let responses = pending.map(|thread| thread.join().expect("no panic").expect("an answer"));
        assert!(responses.iter().all(|response| response.outcome() == "done"), "{responses:?}");
        assert_eq!(responses[0].reply.body["answer"], responses[1].reply.body["answer"]);
        assert_eq!(cluster.starts(&key), 1);
    }
}

/// Most resends of a caller that has not learned the outcome.
const RESENDS_MAX: u32 = 3;

/// Concurrent submissions with the same key must run only once if the hosts run in parallel on
/// several processors. On a busy machine a submission may not learn the outcome in time; its caller
/// then sends it again.
#[rstest]
#[case::at_one_host([0, 0])]
#[case::at_two_hosts([0, 1])]
fn parallel_submissions_of_a_key_run_once(#[case] hosts: [u8; 2]) {
    let cluster = TestCluster::start(ClusterOptions::default());
    for number in 0..5 {
        let key = key(&format!("pair-{number}"));
        let request = Request::at_most_once(&key).work_ms(50);
        let pending = hosts.map(|host| (host, request.spawn(&cluster.client(host))));
        let answers = pending.map(|(host, thread)| {
            let mut response = thread.join().expect("no panic").expect("an answer");
            for _ in 0..RESENDS_MAX {
                if response.outcome() == "unknown" {
                    response = request.send(&cluster.client(host));
                }
            }
            assert_eq!(response.outcome(), "done", "{response:?}");
            response.reply.body["answer"].clone()
        });
        assert_eq!(answers[0], answers[1]);
        assert_eq!(cluster.starts(&key), 1);
    }
}

/// Takes the 8 slots of the only stand-in for 1.5 s, longer than the timeout of the tested request.
fn fill_slots(cluster: &TestCluster) -> Vec<JoinHandle<Option<Response>>> {
    let busy = Request::idempotent().work_ms(1_500);
    let started_before = cluster.started();
    let running: Vec<_> = (0..8).map(|_| busy.spawn(&cluster.client(0))).collect();
    eventually("all slots are taken", Duration::from_secs(2), || {
        cluster.started() >= started_before + 8
    });
    running
}

/// A caller that reuses the key of another request must be refused instead of getting that
/// request's answer. If no slot is free, the host looks the key up before it waits for a slot, and
/// must make the same check there.
#[rstest]
#[case::another_body("plovdiv", "{\"item\":2}", false)]
#[case::another_body_without_a_slot("plovdiv", "{\"item\":2}", true)]
#[case::another_organisation_without_a_slot("small", "{}", true)]
fn a_key_used_for_another_request_is_refused(
    #[case] organisation: &str,
    #[case] body: &str,
    #[case] slots_full: bool,
) {
    let cluster = TestCluster::start(ClusterOptions {
        standins: 1,
        entry_hosts: 1,
        ..ClusterOptions::default()
    });
    cluster.wait_for_lending();
    let key = key("reused");
    assert_eq!(Request::at_most_once(&key).send(&cluster.client(0)).outcome(), "done");
    let _running = slots_full.then(|| fill_slots(&cluster));
    let other = Request::from_organisation(organisation)
        .header("Idempotency-Key", &key)
        .body(body.to_owned());
    let response = other.timeout_ms(1_000).send(&cluster.client(0));
    assert_eq!((response.outcome(), response.reply.status), ("not_run", 409), "{response:?}");
}

/// Resends that wait for the first run must not occupy slots that other requests need. Times are those
/// of the hosts' clock.
#[rstest]
fn waiting_resends_occupy_no_slots() {
    let cluster = TestCluster::start(ClusterOptions {
        standins: 1,
        entry_hosts: 1,
        clock: ClusterClock::Paced,
        ..ClusterOptions::default()
    });
    cluster.wait_for_lending();
    let request = Request::at_most_once(&key("waiting")).work_ms(1_500);
    let mut pending = vec![request.spawn(&cluster.client(0))];
    cluster.eventually("the request runs", Duration::from_secs(2), || cluster.started() == 1);
    pending.extend((0..20).map(|_| request.spawn(&cluster.client(0))));
    // The resends need some time to arrive.
    cluster.sleep(Duration::from_millis(200));
    for _ in 0..5 {
        let sent_at = cluster.now();
        let response = Request::idempotent().send(&cluster.client(0));
        let elapsed = cluster.now().duration_since(sent_at);
        assert!(
            elapsed < Duration::from_millis(200),
            "delayed by the waiting resends for {elapsed:?}: {response:?}"
        );
    }
    assert!(pending.iter().all(|thread| !thread.is_finished()), "the resends still wait");
    for thread in pending {
        let response = thread.join().expect("no panic").expect("an answer");
        assert_eq!(response.outcome(), "done", "{response:?}");
    }
    assert_eq!(cluster.started(), 6, "one start of the key and five of other requests");
}

/// A resend through another host or data centre must not run again.
#[rstest]
fn a_resend_through_another_host_gets_the_first_answer() {
    let cluster =
        TestCluster::start(ClusterOptions { data_centres: 2, ..ClusterOptions::default() });
    let key = key("elsewhere");
    let first = Request::at_most_once(&key).send(&cluster.client(0));
    assert_eq!(first.outcome(), "done", "{first:?}");
    for client in [cluster.client(1), cluster.client_in(1, 0), cluster.client_in(1, 1)] {
        let resend = Request::at_most_once(&key).send(&client);
        assert_eq!(resend.outcome(), "done", "{resend:?}");
        assert_eq!(resend.reply.body["answer"], first.reply.body["answer"]);
    }
    assert_eq!(cluster.starts(&key), 1);
}

/// A resend must not run again if messages to or from control were lost during the first run: of
/// the call that records its begin, or of the one that records its end.
#[rstest]
#[case::answer_to_begin(Fault::DropAnswers, false)]
#[case::begin(Fault::DropAll, false)]
#[case::answer_to_finish(Fault::DropAnswers, true)]
#[case::finish(Fault::DropAll, true)]
fn lost_messages_of_control_cause_no_second_run(
    #[case] fault: Fault,
    #[case] fault_while_running: bool,
) {
    let cluster = TestCluster::start(ClusterOptions::default());
    let key = key("lost-message");
    let request = Request::at_most_once(&key).work_ms(600);
    let pending = fault_while_running.then(|| {
        let pending = request.spawn(&cluster.client(0));
        eventually("the request runs", Duration::from_secs(5), || cluster.starts(&key) == 1);
        pending
    });
    cluster.control_links[0].fault_established(fault);
    let pending = pending.unwrap_or_else(|| request.spawn(&cluster.client(0)));
    let first = pending.join().expect("no panic").expect("an answer");
    cluster.control_links[0].restore();
    eventually("a resend is answered", Duration::from_secs(12), || {
        let resend = request.send(&cluster.client(1));
        assert_ne!(resend.outcome(), "not_run", "{resend:?}");
        resend.outcome() == "done"
    });
    assert!(cluster.starts(&key) == 1, "one start; the first answer was {first:?}");
}

/// If the upstream crashes while it runs a request, the outcome is unknown. The request must run
/// again only after an operator has signed it off, whether the upstream restarts before or after
/// the caller is answered.
#[rstest]
#[case::restarted_after_the_answer(false)]
#[case::restarted_before_the_answer(true)]
fn an_unknown_outcome_runs_again_only_after_sign_off(#[case] restarts_before_answer: bool) {
    let mut cluster =
        TestCluster::start(ClusterOptions { standins: 1, ..ClusterOptions::default() });
    let key = key("unknown");
    let request = Request::at_most_once(&key).work_ms(2_000).timeout_ms(4_000);
    let pending = request.spawn(&cluster.client(0));
    eventually("the request runs", Duration::from_secs(5), || cluster.starts(&key) == 1);
    let standin = cluster.take_standin(0);
    cluster.block_on(standin.crash());
    if restarts_before_answer {
        cluster.restart_standin(0, 2);
    }
    let first = pending.join().expect("no panic").expect("an answer");
    assert_eq!(first.outcome(), "unknown", "{first:?}");
    if !restarts_before_answer {
        cluster.restart_standin(0, 2);
    }
    for host in [0, 1] {
        let resend = request.clone().timeout_ms(1_000).send(&cluster.client(host));
        assert_eq!(resend.outcome(), "unknown", "{resend:?}");
    }
    // The restarted stand-in doesn't count the start before its crash.
    assert_eq!(cluster.starts(&key), 0, "nothing ran again");
    let body = r#"{"name": "Ana Petrova", "reason": "not in the ledger"}"#;
    eventually("the sign-off is accepted", Duration::from_secs(12), || {
        let sign_off = format!("/v1/requests/{key}/sign-off");
        let headers = [("Content-Type", "application/json")];
        cluster
            .client(1)
            .send("POST", &sign_off, &headers, body)
            .is_ok_and(|reply| reply.status == 200)
    });
    let rerun = Request::at_most_once(&key).work_ms(2_000).send(&cluster.client(1));
    assert_eq!(rerun.outcome(), "done", "{rerun:?}");
    assert_eq!(cluster.starts(&key), 1, "the re-run is the only start");
}
