//! A request that is not idempotent runs at most once, over resends, kills and lost messages.

use std::thread::JoinHandle;
use std::time::Duration;

use rstest::rstest;

use crate::support::link::Fault;
use crate::support::path::{Ask, Path, Shape, Told};
use crate::support::{eventually, key};

/// Guards against a second run when two submissions with one key arrive at the same time.
#[rstest]
#[case::at_one_host([0, 0])]
#[case::at_two_hosts([0, 1])]
fn two_submissions_at_the_same_time_run_once(#[case] hosts: [u8; 2]) {
    let path = Path::start(Shape::default());
    for number in 0..5 {
        let key = key(&format!("pair-{number}"));
        let ask = Ask::once(&key).work_ms(50);
        let asked = hosts.map(|host| ask.spawn(&path.client(host)));
        let told = asked.map(|asked| asked.join().expect("no panic").expect("an answer"));
        assert!(told.iter().all(|told| told.outcome() == "done"), "{told:?}");
        assert_eq!(told[0].reply.body["answer"], told[1].reply.body["answer"]);
        assert_eq!(path.starts(&key), 1);
    }
}

/// Takes every slot that host 0 may use for as long as the answer is awaited.
fn fill(path: &Path) -> Vec<JoinHandle<Option<Told>>> {
    let busy = Ask::idempotent().work_ms(1_500);
    let before = path.started();
    let running: Vec<_> = (0..8).map(|_| busy.spawn(&path.client(0))).collect();
    eventually("all slots are taken", Duration::from_secs(2), || path.started() >= before + 8);
    running
}

/// Guards against the answer to one request that reaches a caller who uses its key for another,
/// also when no slot is free and the host looks the key up first.
#[rstest]
#[case::another_body("plovdiv", "{\"item\":2}", false)]
#[case::another_body_without_a_slot("plovdiv", "{\"item\":2}", true)]
#[case::another_organisation_without_a_slot("small", "{}", true)]
fn a_key_used_for_another_request_gets_no_answer(
    #[case] organisation: &str,
    #[case] body: &str,
    #[case] is_full: bool,
) {
    let path = Path::start(Shape { standins: 1, entry_hosts: 1, ..Shape::default() });
    path.wait_for_lending();
    let key = key("reused");
    assert_eq!(Ask::once(&key).send(&path.client(0)).outcome(), "done");
    let _running = is_full.then(|| fill(&path));
    let other = Ask::of(organisation).with("Idempotency-Key", &key).body(body.to_owned());
    let told = other.timeout_ms(1_000).send(&path.client(0));
    assert_eq!((told.outcome(), told.reply.status), ("not_run", 409), "{told:?}");
}

/// Guards against resends that take the slots of other requests while they wait.
#[rstest]
fn resends_that_wait_hold_no_slots() {
    let path = Path::start(Shape { standins: 1, entry_hosts: 1, ..Shape::default() });
    path.wait_for_lending();
    let ask = Ask::once(&key("waiting")).work_ms(1_500);
    let mut asked = vec![ask.spawn(&path.client(0))];
    eventually("it runs", Duration::from_secs(2), || path.started() == 1);
    asked.extend((0..20).map(|_| ask.spawn(&path.client(0))));
    std::thread::sleep(Duration::from_millis(200));
    for _ in 0..5 {
        let told = Ask::idempotent().send(&path.client(0));
        assert!(told.took < Duration::from_millis(300), "served beside the resends: {told:?}");
    }
    for asked in asked {
        let told = asked.join().expect("no panic").expect("an answer");
        assert_eq!(told.outcome(), "done", "{told:?}");
    }
    assert_eq!(path.started(), 6, "one start of the key");
}

/// Guards against a second run through another host or another data centre.
#[rstest]
fn a_resend_elsewhere_gets_the_first_answer() {
    let path = Path::start(Shape { centres: 2, ..Shape::default() });
    let key = key("elsewhere");
    let first = Ask::once(&key).send(&path.client(0));
    assert_eq!(first.outcome(), "done", "{first:?}");
    for client in [path.client(1), path.client_of(1, 0), path.client_of(1, 1)] {
        let resend = Ask::once(&key).send(&client);
        assert_eq!(resend.outcome(), "done", "{resend:?}");
        assert_eq!(resend.reply.body["answer"], first.reply.body["answer"]);
    }
    assert_eq!(path.starts(&key), 1);
}

/// Guards against a second run after messages to or from control were lost while the request ran.
#[rstest]
#[case::answers_of_begin(Fault::SwallowAnswers, 0)]
#[case::silence_before_begin(Fault::Silent, 0)]
#[case::answers_of_finish(Fault::SwallowAnswers, 300)]
#[case::finish(Fault::Silent, 300)]
fn lost_messages_to_control_do_not_lead_to_a_second_run(
    #[case] fault: Fault,
    #[case] dispatched_after_ms: u64,
) {
    let path = Path::start(Shape::default());
    let key = key("lost-message");
    let ask = Ask::once(&key).work_ms(600);
    let asked = (dispatched_after_ms > 0).then(|| {
        let asked = ask.spawn(&path.client(0));
        eventually("it runs", Duration::from_secs(5), || path.starts(&key) == 1);
        asked
    });
    path.control_links[0].fault_established(fault);
    let asked = asked.unwrap_or_else(|| ask.spawn(&path.client(0)));
    let first = asked.join().expect("no panic").expect("an answer");
    path.control_links[0].restore();
    eventually("a resend is answered", Duration::from_secs(12), || {
        let resend = ask.send(&path.client(1));
        assert_ne!(resend.outcome(), "not_run", "{resend:?}");
        resend.outcome() == "done"
    });
    assert!(path.starts(&key) == 1, "one start; the first answer was {first:?}");
}

/// Guards against a re-run without sign-off after the upstream was lost while it ran the request,
/// and against a sign-off that does not allow the re-run.
#[rstest]
#[case::lost(false)]
#[case::restarted_under_its_address(true)]
fn an_unknown_outcome_runs_again_only_after_sign_off(#[case] restarts: bool) {
    let mut path = Path::start(Shape { standins: 1, ..Shape::default() });
    let key = key("unknown");
    let ask = Ask::once(&key).work_ms(2_000).timeout_ms(4_000);
    let asked = ask.spawn(&path.client(0));
    eventually("it runs", Duration::from_secs(5), || path.starts(&key) == 1);
    let crashed = path.take_standin(0);
    path.block(crashed.crash());
    if restarts {
        path.restart_standin(0, 2);
    }
    let first = asked.join().expect("no panic").expect("an answer");
    assert_eq!(first.outcome(), "unknown", "{first:?}");
    if !restarts {
        path.restart_standin(0, 2);
    }
    for host in [0, 1] {
        let resend = ask.clone().timeout_ms(1_000).send(&path.client(host));
        assert_eq!(resend.outcome(), "unknown", "{resend:?}");
    }
    assert_eq!(path.starts(&key), 0, "nothing ran again");
    let body = r#"{"name": "Ana Petrova", "reason": "not in the ledger"}"#;
    eventually("the sign-off is taken", Duration::from_secs(12), || {
        let at = format!("/v1/requests/{key}/sign-off");
        let headers = [("Content-Type", "application/json")];
        path.client(1).send("POST", &at, &headers, body).is_ok_and(|reply| reply.status == 200)
    });
    let rerun = Ask::once(&key).work_ms(2_000).send(&path.client(1));
    assert_eq!(rerun.outcome(), "done", "{rerun:?}");
    assert_eq!(path.starts(&key), 1, "the re-run is the only start");
}
