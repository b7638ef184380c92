//! The outcome `not_run` means that nothing has started under the key, or will start later.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use cactuslatch::config::Limits;
use cactuslatch::local::Client;
use rstest::rstest;

use crate::support::key;
use crate::support::path::{ClusterClock, ClusterOptions, Request, TestCluster};

/// Time for which [`fill_slots_directly`] fills the slots.
pub const SLOTS_FILLED_FOR: Duration = Duration::from_mins(1);

/// Fills all slots of all stand-ins directly, so that the entry hosts assume they are free.
pub fn fill_slots_directly(cluster: &TestCluster) {
    for number in 0..2 {
        let direct = Client::new(cluster.standin(number).address());
        for slot in 0..8 {
            let (client, key) = (direct.clone(), key(&format!("filler-{number}-{slot}")));
            std::thread::spawn(move || {
                let headers = [("Cactuslatch-Key", &*key), ("Cactuslatch-Attempt", "1")];
                let body = format!("{{\"work_ms\":{}}}", SLOTS_FILLED_FOR.as_millis());
                client.send("POST", "/v1/run", &headers, &body)
            });
        }
    }
    cluster.eventually("all slots are taken", Duration::from_secs(5), || cluster.started() == 16);
}

fn fill_slots_through_hosts(cluster: &TestCluster) {
    let request = Request::idempotent().work_ms(6_000);
    for number in 0..2 {
        (0..16).for_each(|_| drop(request.spawn(&cluster.client(number))));
    }
    cluster.eventually("the base shares are in use", Duration::from_secs(5), || {
        cluster.started() >= 4
    });
}

fn fill_organisation_limit(cluster: &TestCluster) {
    let busy =
        Request::from_organisation("small").header("Cactuslatch-Idempotent", "true").work_ms(6_000);
    drop(busy.spawn(&cluster.client(0)));
    cluster.eventually("the request of the organisation runs", Duration::from_secs(5), || {
        cluster.started() == 1
    });
}

fn no_fault(_: &mut TestCluster) {}

/// A first submission that is refused before its dispatch gets `not_run`, and must not run later.
/// A resend must get `unknown`, since the host cannot know whether an earlier attempt ran. Each
/// case names the point of refusal.
#[rstest]
#[case::no_capacity(|p: &mut TestCluster| fill_slots_through_hosts(p), "plovdiv", "north", 503, 503)]
#[case::over_limit(|p: &mut TestCluster| fill_organisation_limit(p), "small", "north", 429, 429)]
#[case::refused_before_start(|p: &mut TestCluster| fill_slots_directly(p), "plovdiv", "north", 503, 503)]
#[case::connect_refused(|p: &mut TestCluster| p.standin_links.clear(), "plovdiv", "north", 503, 503)]
#[case::control_gone(|p: &mut TestCluster| p.stop_control(0), "plovdiv", "north", 503, 503)]
#[case::control_silent(
    |p: &mut TestCluster| p.control_links.iter().for_each(|l| l.fault_all(crate::support::link::Fault::DropAll)),
    "plovdiv", "north", 503, 503
)]
#[case::owner_unreachable(no_fault, "plovdiv", "lost", 503, 503)]
#[case::organisation_unknown(no_fault, "nobody", "north", 403, 503)]
fn a_refusal_before_dispatch_starts_nothing(
    #[case] refuse: impl FnOnce(&mut TestCluster),
    #[case] organisation: &str,
    #[case] owner: &str,
    #[case] first_status: u16,
    #[case] resend_status: u16,
) {
    let mut cluster = TestCluster::start(ClusterOptions {
        clock: ClusterClock::Paced,
        ..ClusterOptions::default()
    });
    refuse(&mut cluster);
    let key = key("refused").replacen("north", owner, 1);
    let request =
        Request::from_organisation(organisation).header("Idempotency-Key", &key).timeout_ms(1_000);
    let first = request.clone().first_submission().send(&cluster.client(0));
    assert_eq!((first.outcome(), first.reply.status), ("not_run", first_status), "{first:?}");
    let resend = request.send(&cluster.client(0));
    let outcome = (resend.outcome(), resend.reply.status);
    let not_started = ["refused_by_upstream", "no connection"].iter().any(|text| {
        resend.reply.body["reason"].as_str().is_some_and(|reason| reason.contains(text))
    });
    // A host that recorded the only intent can exclude an earlier start.
    assert!(
        outcome == ("unknown", resend_status) || (not_started && outcome.0 == "not_run"),
        "{resend:?}"
    );
    assert_eq!(cluster.starts(&key), 0, "nothing started");
}

/// A request that arrives incomplete must not be dispatched.
#[rstest]
#[case::garbage("\x16\x03\x01\x02 garbage\r\n\r\n")]
#[case::half_head("POST /v1/services/plan/requests HTTP/1.1\r\nHost: x\r\nIdempotency-")]
#[case::half_body(
    "POST /v1/services/plan/requests HTTP/1.1\r\nHost: x\r\nCactuslatch-Organisation: plovdiv\r\n\
     Cactuslatch-Idempotent: true\r\nContent-Length: 100\r\n\r\n{\"work_ms\":"
)]
#[case::half_chunk(
    "POST /v1/services/plan/requests HTTP/1.1\r\nHost: x\r\nCactuslatch-Organisation: plovdiv\r\n\
     Cactuslatch-Idempotent: true\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{}"
)]
fn an_incomplete_request_starts_nothing(#[case] sent: &str) {
    let cluster = TestCluster::start(ClusterOptions::default());
    let mut stream = TcpStream::connect(cluster.caller_address(0)).expect("a connection");
    stream.write_all(sent.as_bytes()).expect("sent");
    drop(stream);
    let served = Request::idempotent().send(&cluster.client(0));
    assert_eq!(served.outcome(), "done", "{served:?}");
    assert_eq!(cluster.started(), 1, "only the complete request started");
}

/// A request that is refused because `park_max` requests are parked must not run later.
#[rstest]
#[case::no_parking(0)]
#[case::parking_full(2)]
fn a_host_over_its_park_limit_starts_nothing(#[case] park_max: u32) {
    let limits = Limits { park_max: park_max as usize, ..Limits::default() };
    let cluster =
        TestCluster::start(ClusterOptions { standins: 1, limits, ..ClusterOptions::default() });
    let busy = Request::idempotent().work_ms(1_500);
    let running: Vec<_> = (0..=park_max).map(|_| busy.spawn(&cluster.client(0))).collect();
    cluster.eventually("the park limit is reached", Duration::from_secs(2), || {
        let parked = cluster.sum_metrics(0, "cactuslatch_entry_parked ");
        cluster.started() >= 1 && parked > f64::from(park_max) - 0.5
    });
    let key = key("no-place");
    let response = Request::at_most_once(&key).first_submission().send(&cluster.client(0));
    assert_eq!((response.outcome(), response.reply.status), ("not_run", 503), "{response:?}");
    for thread in running {
        thread.join().expect("no panic").expect("an answer");
    }
    assert_eq!(cluster.starts(&key), 0, "nothing started");
}

/// A body over the size limit must not be dispatched, not even in part, nor use up the key.
#[rstest]
fn a_body_that_is_too_large_starts_nothing() {
    let cluster = TestCluster::start(ClusterOptions::default());
    let key = key("large");
    let large = Request::at_most_once(&key)
        .first_submission()
        .body(format!("\"{}\"", "x".repeat(1024 * 1024)));
    if let Some(response) = large.try_send(&cluster.client(0)) {
        assert_eq!(response.reply.status, 413, "{response:?}");
    }
    assert_eq!(cluster.starts(&key), 0, "nothing started");
    let resend = Request::at_most_once(&key).send(&cluster.client(1));
    assert_eq!(resend.outcome(), "done", "the key is unused: {resend:?}");
}

/// A request whose deadline expires before its dispatch gets `not_run`, and must not be sent later.
#[rstest]
#[case::at_once(1)]
#[case::soon(20)]
fn a_deadline_before_dispatch_starts_nothing(#[case] timeout_ms: u64) {
    let cluster = TestCluster::start(ClusterOptions::default());
    for number in 0..20 {
        let key = key(&format!("late-{number}"));
        let response = Request::at_most_once(&key)
            .first_submission()
            .timeout_ms(timeout_ms)
            .send(&cluster.client(0));
        if response.outcome() == "not_run" {
            std::thread::sleep(Duration::from_millis(20));
            assert_eq!(cluster.starts(&key), 0, "{response:?}");
        }
    }
}
