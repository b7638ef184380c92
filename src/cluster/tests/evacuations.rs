//! Evacuation of data centres by a control host.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use super::control_host::{TestControl, wait_until};
use super::fake_worker::{FakeUpstreams, Fault};
use super::promises::{LEASE_MS, call, submit, wait_until_completed};
use crate::cluster::{Action, FrontReply, OperatorReply, Reply, Request};
use crate::tasks::tests::sample::{gang, heartbeat, job_id, spec};
use crate::tasks::{Heartbeat, JobSpec};

/// Time for which a test looks for starts that must not happen; several decisions and repeats of orders.
const WATCH: Duration = Duration::from_millis(900);

/// Begins or finishes the evacuation of a data centre and returns the reply.
async fn evacuate(test: &TestControl, data_centre: &str, begin: bool) -> Reply {
    let limit = Duration::from_secs(5);
    test.control.evacuate(data_centre.into(), begin, limit).await.expect("the host leads")
}

const DONE: Reply = Reply::Operator(OperatorReply::Done);

/// Moves an upstream to another data centre.
async fn move_upstream(test: &TestControl, host: u32, data_centre: &str) {
    let heartbeat = Heartbeat { data_centre: data_centre.into(), sequence: 2, ..heartbeat(host) };
    test.call_until_answered(Request::Heartbeat(heartbeat)).await;
}

async fn submit_spec(test: &TestControl, number: u64, spec: JobSpec) {
    let action = Action::Submit { spec: Arc::new(spec) };
    let reply = test.call_until_answered(call(number, action)).await;
    assert_eq!(reply, Reply::Front(FrontReply::Accepted));
}

/// Guards against starts in a data centre that is being evacuated, and against work that waits there after
/// the evacuation is finished.
#[tokio::test(flavor = "multi_thread")]
async fn work_starts_elsewhere_until_the_evacuation_is_finished() {
    let fake = FakeUpstreams::new(Duration::from_millis(200));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    move_upstream(&test, 1, "far").await;
    wait_until("upstreams take work", || fake.upstreams_held() == 2).await;
    for _ in 0..2 {
        assert_eq!(evacuate(&test, "dc", true).await, DONE);
    }
    for number in 1..=4 {
        submit(&test, number).await;
    }
    for number in 1..=4 {
        wait_until_completed(&test, &fake, number).await;
    }
    assert!(fake.started().iter().all(|(.., upstream)| *upstream == heartbeat(1).id));
    let Reply::Evacuations(listed) = test.call_until_answered(Request::Evacuations).await else {
        panic!("a list of evacuations");
    };
    assert_eq!((listed.len(), &*listed[0].data_centre, listed[0].upstreams), (1, "dc", 1));
    assert_eq!(evacuate(&test, "far", true).await, DONE);
    assert_eq!(evacuate(&test, "dc", false).await, DONE);
    submit(&test, 5).await;
    wait_until_completed(&test, &fake, 5).await;
    assert_eq!(fake.started().last().expect("a start").2, heartbeat(0).id);
}

/// Guards against an order that is repeated after the evacuation has begun, since it had no answer, and
/// against a run that never ends because it was recorded but not ordered: it is started elsewhere.
#[rstest]
#[case::not_carried_out(Fault::Silent)]
#[case::not_sent(Fault::NoConnection)]
#[tokio::test(flavor = "multi_thread")]
async fn starts_that_are_being_repeated_are_no_longer_sent(#[case] fault: Fault) {
    let fake = FakeUpstreams::new(Duration::from_millis(200));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    wait_until("the upstream takes work", || fake.upstreams_held() == 1).await;
    fake.set_starts(fault);
    submit(&test, 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(evacuate(&test, "dc", true).await, DONE);
    fake.set_starts(Fault::None);
    tokio::time::sleep(WATCH).await;
    assert_eq!(fake.started().len(), 0, "{:?}", fake.started());
    let elsewhere = Heartbeat { data_centre: "far".into(), ..heartbeat(1) };
    test.call_until_answered(Request::Heartbeat(elsewhere)).await;
    wait_until_completed(&test, &fake, 1).await;
}

/// Guards against a gang of which a part runs alone, because the other members were recorded but not
/// ordered when the evacuation began.
#[tokio::test(flavor = "multi_thread")]
async fn a_gang_with_members_that_were_not_ordered_ends_as_a_whole() {
    let fake = FakeUpstreams::new(Duration::from_millis(700));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    move_upstream(&test, 1, "far").await;
    wait_until("upstreams take work", || fake.upstreams_held() == 2).await;
    fake.set_starts_of(&heartbeat(0).id, Fault::Silent);
    submit_spec(&test, 1, spec(vec![gang(2, 8)])).await;
    wait_until("a member runs", || fake.running() == 1).await;
    assert_eq!(evacuate(&test, "dc", true).await, DONE);
    fake.set_starts_of(&heartbeat(0).id, Fault::None);
    wait_until("the gang has ended", || fake.running() == 0).await;
    tokio::time::sleep(WATCH).await;
    let started = fake.started();
    assert!(started.iter().all(|(.., upstream)| *upstream == heartbeat(1).id), "{started:?}");
    assert_eq!(evacuate(&test, "dc", false).await, DONE);
    wait_until_completed(&test, &fake, 1).await;
}

/// Guards against a data centre that can be evacuated by a typing error, and against a refusal of one that
/// the settings name, or that nothing names any more after it was evacuated.
#[tokio::test(flavor = "multi_thread")]
async fn only_known_data_centres_can_be_evacuated() {
    let fake = FakeUpstreams::new(Duration::from_millis(200));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    for begin in [true, false] {
        for unknown in ["cd", ""] {
            let reply = evacuate(&test, unknown, begin).await;
            assert!(matches!(reply, Reply::Operator(OperatorReply::Invalid { .. })), "{reply:?}");
        }
        assert_eq!(evacuate(&test, "other-dc", begin).await, DONE);
    }
    move_upstream(&test, 0, "far").await;
    assert_eq!(evacuate(&test, "far", true).await, DONE);
    let Heartbeat { id, .. } = heartbeat(0);
    test.call_until_answered(Request::Deregister { id, born_unix_ms: None }).await;
    for _ in 0..2 {
        assert_eq!(evacuate(&test, "far", false).await, DONE);
    }
}

/// Guards against a Finish that is refused or counted when it comes before its Begin, and against a delayed
/// Begin that takes effect after the Finish that followed it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_out_of_order_leave_the_latest_state() {
    let fake = FakeUpstreams::new(Duration::from_millis(200));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    wait_until("the upstream takes work", || fake.upstreams_held() == 1).await;
    assert_eq!(evacuate(&test, "dc", false).await, DONE);
    assert_eq!(evacuate(&test, "dc", true).await, DONE);
    assert_eq!(evacuate(&test, "dc", false).await, DONE);
    let delayed = Request::Evacuate { data_centre: "dc".into(), begin: true, revision: 0 };
    assert_eq!(test.call_until_answered(delayed).await, Reply::EvacuationRevision(2));
    submit(&test, 1).await;
    wait_until_completed(&test, &fake, 1).await;
}

/// Guards against an evacuation whose consequences operators cannot see: what keeps a job waiting must be in
/// its explanation, and the guarantees at risk in the metrics, until it is finished.
#[tokio::test(flavor = "multi_thread")]
async fn the_consequences_of_an_evacuation_are_reported() {
    let fake = FakeUpstreams::new(Duration::from_secs(10));
    let test = TestControl::start(&fake, 6, LEASE_MS).await;
    wait_until("upstreams take work", || fake.upstreams_held() == 6).await;
    submit(&test, 1).await;
    wait_until("it runs", || fake.running() == 1).await;
    assert_eq!(evacuate(&test, "dc", true).await, DONE);
    let metrics = || test.control.metrics_text();
    let at_risk = "guarantee_accelerators_missing{organisation=\"north\"} 32";
    wait_until("the guarantee is at risk", || metrics().contains(at_risk)).await;
    assert!(metrics().contains("evacuated_running_tasks{data_centre=\"dc\"} 1"), "{}", metrics());
    assert!(metrics().contains("evacuated_services 1"), "{}", metrics());
    let explain = Request::Explain { job: job_id(1) };
    let Reply::Explanation(lines) = test.call_until_answered(explain).await else {
        panic!("an explanation");
    };
    let explanation = lines.join("\n");
    for part in ["6 upstreams of pool in data centre dc", "no upstream of pool", "0 of 32"] {
        assert!(explanation.contains(part), "{explanation}");
    }
    assert_eq!(evacuate(&test, "dc", false).await, DONE);
    wait_until("nothing is at risk", || !metrics().contains("guarantee_accelerators_missing{"))
        .await;
    assert!(!metrics().contains("evacuated_running_tasks{"), "{}", metrics());
}

/// Guards against a report of an upstream that is slow for a while that does not reach the leader, since
/// nothing else of it has changed, and against one that is kept for slow for good.
#[tokio::test(flavor = "multi_thread")]
async fn the_leader_knows_which_upstreams_are_slow_for_a_while() {
    let fake = FakeUpstreams::new(Duration::from_millis(200));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    let cold = |cold_remaining_ms, sequence| {
        Request::Heartbeat(Heartbeat { sequence, cold_remaining_ms, ..heartbeat(0) })
    };
    let shows = |upstreams: u32| {
        let line = format!("cold_upstreams {upstreams}");
        test.control.metrics_text().lines().any(|shown| shown == line)
    };
    test.call_until_answered(cold(u64::MAX, 2)).await;
    wait_until("one is slow", || shows(1)).await;
    test.call_until_answered(cold(400, 3)).await;
    wait_until("none is slow", || shows(0)).await;
}

/// Guards against requests of several operators that block each other or are lost: each of eight at once is
/// acknowledged, for several data centres and for the same one, and all are in force.
#[tokio::test(flavor = "multi_thread")]
async fn several_requests_at_once_are_all_acknowledged() {
    let fake = FakeUpstreams::new(Duration::from_millis(200));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    move_upstream(&test, 1, "far").await;
    for begin in [true, false] {
        let names = ["dc", "far", "other-dc", "dc", "far", "other-dc", "dc", "far"];
        let mut requests = tokio::task::JoinSet::new();
        for name in names {
            let control = Arc::clone(&test.control);
            let limit = Duration::from_secs(5);
            requests.spawn(async move { control.evacuate(name.into(), begin, limit).await });
        }
        for reply in requests.join_all().await {
            assert_eq!(reply, Ok(DONE));
        }
        let Reply::Evacuations(listed) = test.call_until_answered(Request::Evacuations).await
        else {
            panic!("a list of evacuations");
        };
        assert_eq!(listed.len(), if begin { 3 } else { 0 });
    }
    let opposed = [true, false].map(|begin| evacuate(&test, "dc", begin));
    let [first, second] = opposed;
    assert_eq!(tokio::join!(first, second), (DONE, DONE));
    assert_eq!(evacuate(&test, "dc", false).await, DONE);
    submit(&test, 1).await;
    wait_until_completed(&test, &fake, 1).await;
}
