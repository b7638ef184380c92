//! `not_run` is true: nothing starts under a key whose caller was told so.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use cactuslatch::config::Limits;
use cactuslatch::local::Client;
use rstest::rstest;

use crate::support::path::{Ask, Path, Shape};
use crate::support::{eventually, key};

/// Takes every slot of every stand-in without the entry hosts' knowledge.
pub fn fill_behind_the_hosts(path: &Path) {
    for number in 0..2 {
        let direct = Client::new(path.standin(number).address());
        for slot in 0..8 {
            let (client, key) = (direct.clone(), key(&format!("filler-{number}-{slot}")));
            std::thread::spawn(move || {
                let headers = [("Cactuslatch-Key", &*key), ("Cactuslatch-Attempt", "1")];
                client.send("POST", "/v1/run", &headers, "{\"work_ms\":6000}")
            });
        }
    }
    eventually("all slots are taken", Duration::from_secs(5), || path.started() == 16);
}

fn fill_through_the_hosts(path: &Path) {
    let ask = Ask::idempotent().work_ms(6_000);
    for number in 0..2 {
        (0..16).for_each(|_| drop(ask.spawn(&path.client(number))));
    }
    eventually("the base shares are in use", Duration::from_secs(5), || path.started() >= 4);
}

fn use_up_the_organisation(path: &Path) {
    let busy = Ask::of("small").with("Cactuslatch-Idempotent", "true").work_ms(6_000);
    drop(busy.spawn(&path.client(0)));
    eventually("it is in use", Duration::from_secs(5), || path.started() == 1);
}

fn nothing(_: &mut Path) {}

/// Guards against a "not run" for a request that ran or runs later, and against a "not run" for a
/// resend of which this host cannot know; each case names the point of refusal.
#[rstest]
#[case::no_capacity(|p: &mut Path| fill_through_the_hosts(p), "plovdiv", "north", 503, 503)]
#[case::over_limit(|p: &mut Path| use_up_the_organisation(p), "small", "north", 429, 429)]
#[case::refused_before_start(|p: &mut Path| fill_behind_the_hosts(p), "plovdiv", "north", 503, 503)]
#[case::connect_refused(|p: &mut Path| p.links.clear(), "plovdiv", "north", 503, 503)]
#[case::control_gone(|p: &mut Path| p.stop_control(0), "plovdiv", "north", 503, 503)]
#[case::control_silent(
    |p: &mut Path| p.control_links.iter().for_each(|l| l.fault_all(crate::support::link::Fault::Silent)),
    "plovdiv", "north", 503, 503
)]
#[case::owner_unreachable(nothing, "plovdiv", "lost", 503, 503)]
#[case::organisation_unknown(nothing, "nobody", "north", 403, 503)]
fn a_refusal_before_dispatch_is_true(
    #[case] refuse: impl FnOnce(&mut Path),
    #[case] organisation: &str,
    #[case] owner: &str,
    #[case] first_status: u16,
    #[case] resend_status: u16,
) {
    let mut path = Path::start(Shape::default());
    refuse(&mut path);
    let key = key("refused").replacen("north", owner, 1);
    let ask = Ask::of(organisation).with("Idempotency-Key", &key).timeout_ms(1_000);
    let first = ask.clone().first().send(&path.client(0));
    assert_eq!((first.outcome(), first.reply.status), ("not_run", first_status), "{first:?}");
    let resend = ask.send(&path.client(0));
    let told = (resend.outcome(), resend.reply.status);
    let knows = ["refused_by_upstream", "no connection"].iter().any(|known| {
        resend.reply.body["reason"].as_str().is_some_and(|reason| reason.contains(known))
    });
    // A host that holds the only intent knows that its own attempt did not start.
    assert!(told == ("unknown", resend_status) || (knows && told.0 == "not_run"), "{resend:?}");
    assert_eq!(path.starts(&key), 0, "nothing started");
}

/// Guards against work that starts from a request that never arrived whole.
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
fn a_request_that_did_not_arrive_whole_starts_nothing(#[case] sent: &str) {
    let path = Path::start(Shape::default());
    let mut stream = TcpStream::connect(path.caller_address(0)).expect("a connection");
    stream.write_all(sent.as_bytes()).expect("sent");
    drop(stream);
    let served = Ask::idempotent().send(&path.client(0));
    assert_eq!(served.outcome(), "done", "{served:?}");
    assert_eq!(path.started(), 1, "only the whole request started");
}

/// Guards against a request that is refused for want of a place to wait and runs later.
#[rstest]
#[case::no_places(0)]
#[case::all_places_taken(2)]
fn a_host_over_its_park_limit_starts_nothing(#[case] park_max: u32) {
    let limits = Limits { park_max: park_max as usize, ..Limits::default() };
    let path = Path::start(Shape { standins: 1, limits, ..Shape::default() });
    let busy = Ask::idempotent().work_ms(1_500);
    let running: Vec<_> = (0..=park_max).map(|_| busy.spawn(&path.client(0))).collect();
    eventually("places are taken", Duration::from_secs(2), || {
        let parked = path.metric(0, "cactuslatch_entry_parked ");
        path.started() >= 1 && parked > f64::from(park_max) - 0.5
    });
    let key = key("no-place");
    let told = Ask::once(&key).first().send(&path.client(0));
    assert_eq!((told.outcome(), told.reply.status), ("not_run", 503), "{told:?}");
    for asked in running {
        asked.join().expect("no panic").expect("an answer");
    }
    assert_eq!(path.starts(&key), 0, "nothing started");
}

/// Guards against a body over the limit that is dispatched in part.
#[rstest]
fn a_body_that_is_too_large_starts_nothing() {
    let path = Path::start(Shape::default());
    let key = key("large");
    let large = Ask::once(&key).first().body(format!("\"{}\"", "x".repeat(1024 * 1024)));
    if let Some(told) = large.try_send(&path.client(0)) {
        assert_eq!(told.reply.status, 413, "{told:?}");
    }
    assert_eq!(path.starts(&key), 0, "nothing started");
    let resend = Ask::once(&key).send(&path.client(1));
    assert_eq!(resend.outcome(), "done", "the key is free: {resend:?}");
}

/// Guards against an attempt that is sent after its caller was told that it did not run.
#[rstest]
#[case::at_once(1)]
#[case::soon(20)]
fn a_deadline_before_dispatch_is_true(#[case] timeout_ms: u64) {
    let path = Path::start(Shape::default());
    for number in 0..20 {
        let key = key(&format!("late-{number}"));
        let told = Ask::once(&key).first().timeout_ms(timeout_ms).send(&path.client(0));
        if told.outcome() == "not_run" {
            std::thread::sleep(Duration::from_millis(20));
            assert_eq!(path.starts(&key), 0, "{told:?}");
        }
    }
}
