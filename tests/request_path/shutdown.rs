//! A graceful shutdown under load cuts off nothing.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::support::load::KeepAlive;
use crate::support::path::{Ask, Path, Shape};
use crate::support::{Installation, eventually, key};

/// Time of a drain after which the balancer has seen the failed health check; the notice is 1 s.
const BALANCER_SEES: Duration = Duration::from_millis(900);

/// Guards against requests that are cut off while a host shuts down under load. The balancer
/// opens connections until it has seen the failed health check; kept connections go on.
#[rstest]
#[case::short_requests(12, 0)]
#[case::requests_of_some_ms(12, 15)]
#[case::requests_that_park(40, 60)]
fn a_drain_cuts_off_no_caller(#[case] callers: usize, #[case] work_ms: u64) {
    let mut path = Path::start(Shape::default());
    let connects = Arc::new(AtomicBool::new(true));
    let caller = |_| {
        let caller = KeepAlive::new(path.caller_address(0), Arc::clone(&connects));
        std::thread::spawn(move || caller.call_to_the_end(work_ms))
    };
    let calling: Vec<_> = (0..callers).map(caller).collect();
    eventually("the callers are served", Duration::from_secs(5), || path.started() > 20);
    let draining = path.drain(0);
    std::thread::sleep(BALANCER_SEES);
    connects.store(false, Ordering::Release);
    let ended: Vec<_> = calling.into_iter().map(|c| c.join().expect("no panic")).collect();
    path.block(draining).expect("the host ends");
    let cut_off: usize = ended.iter().map(|(_, cut_off)| cut_off).sum();
    let answered: usize = ended.iter().map(|(answered, _)| answered).sum();
    assert_eq!(cut_off, 0, "cut off, beside {answered} answered");
}

/// Guards against a listener that closes before the balancer has seen the failed health check.
#[rstest]
fn the_listener_stays_open_for_the_notice() {
    let mut path = Path::start(Shape::default());
    let (client, admin) = (path.client(0), path.admin(0));
    let started = Instant::now();
    let draining = path.drain(0);
    eventually("health fails", Duration::from_millis(500), || {
        admin.get("/health").is_ok_and(|reply| reply.status == 503)
    });
    while started.elapsed() < Duration::from_millis(900) {
        assert_eq!(Ask::idempotent().send(&client).outcome(), "done");
    }
    path.block(draining).expect("the host ends");
    assert!(started.elapsed() >= Duration::from_secs(1));
    assert!(Ask::idempotent().try_send(&client).is_none(), "nobody listens");
}

/// Guards against long requests and forwarded ones that a shutdown cuts off.
#[rstest]
#[case::long(0)]
#[case::forwarded_from_another_data_centre(1)]
fn a_drain_waits_for_requests_in_flight(#[case] centre: usize) {
    let mut path = Path::start(Shape { centres: 2, entry_hosts: 1, ..Shape::default() });
    let keys: Vec<_> = (0..2).map(|number| key(&format!("drain-{number}"))).collect();
    let client = path.client_of(centre, 0);
    let ask = |key: &String| Ask::once(key).work_ms(3_000).spawn(&client);
    let asked: Vec<_> = keys.iter().map(ask).collect();
    eventually("they run", Duration::from_secs(5), || {
        path.started() == 2 || asked.iter().any(JoinHandle::is_finished)
    });
    let draining = path.drain(0);
    for asked in asked {
        let told = asked.join().expect("no panic").expect("an answer");
        assert_eq!(told.outcome(), "done", "{told:?}");
    }
    path.block(draining).expect("the host ends");
}

/// Guards against a process that exits while requests longer than the notice of 3 s are in flight.
#[rstest]
fn a_terminated_process_finishes_long_requests() {
    let mut installation = Installation::start(2, 2);
    let before = installation.started();
    let keys: Vec<_> = (0..4).map(|number| key(&format!("long-{number}"))).collect();
    let client = installation.client(0);
    let ask = |key: &String| Ask::once(key).work_ms(4_500).spawn(&client);
    let asked: Vec<_> = keys.iter().map(ask).collect();
    eventually("they run", Duration::from_secs(5), || installation.started() == before + 4);
    assert_eq!(installation.terminate_entry(0), Some(0));
    for asked in asked {
        let told = asked.join().expect("no panic").expect("an answer");
        assert_eq!(told.outcome(), "done", "{told:?}");
    }
}
