//! A graceful shutdown under load cuts off no request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::support::load::KeepAliveCaller;
use crate::support::path::{ClusterOptions, Request, TestCluster};
use crate::support::{Installation, eventually, key};

/// Time until the load balancer has seen the failed health check; the notice period is 1 s.
const BALANCER_DELAY: Duration = Duration::from_millis(900);

/// A draining host must cut off no request. The load balancer opens connections until it has seen
/// the failed health check, and open connections stay in use after that.
#[rstest]
#[case::short_requests(12, 0)]
#[case::requests_of_some_ms(12, 15)]
#[case::requests_that_park(40, 60)]
fn a_drain_cuts_off_no_caller(#[case] callers: usize, #[case] work_ms: u64) {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    let may_connect = Arc::new(AtomicBool::new(true));
    let caller = |_| {
        let caller = KeepAliveCaller::new(cluster.caller_address(0), Arc::clone(&may_connect));
        std::thread::spawn(move || caller.call_until_closed(work_ms))
    };
    let threads: Vec<_> = (0..callers).map(caller).collect();
    eventually("the callers are served", Duration::from_secs(5), || cluster.started() > 20);
    let draining = cluster.drain(0);
    std::thread::sleep(BALANCER_DELAY);
    may_connect.store(false, Ordering::Release);
    let counts: Vec<_> =
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect();
    cluster.block_on(draining).expect("the host ends");
    let cut_off: usize = counts.iter().map(|(_, cut_off)| cut_off).sum();
    let answered: usize = counts.iter().map(|(answered, _)| answered).sum();
    assert_eq!(cut_off, 0, "calls cut off; {answered} were answered");
}

/// The listener must stay open until the load balancer has seen the failed health check.
#[rstest]
fn the_listener_stays_open_during_the_notice_period() {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    let (client, admin_client) = (cluster.client(0), cluster.admin_client(0));
    let started = Instant::now();
    let draining = cluster.drain(0);
    eventually("health fails", Duration::from_millis(500), || {
        admin_client.get("/health").is_ok_and(|reply| reply.status == 503)
    });
    while started.elapsed() < Duration::from_millis(900) {
        assert_eq!(Request::idempotent().send(&client).outcome(), "done");
    }
    cluster.block_on(draining).expect("the host ends");
    assert!(started.elapsed() >= Duration::from_secs(1));
    assert!(Request::idempotent().try_send(&client).is_none(), "the listener is closed");
}

/// A shutdown must not cut off long requests, nor those forwarded from another data centre.
#[rstest]
#[case::long(0)]
#[case::forwarded_from_another_data_centre(1)]
fn a_drain_waits_for_requests_in_flight(#[case] centre: usize) {
    let mut cluster = TestCluster::start(ClusterOptions {
        data_centres: 2,
        entry_hosts: 1,
        ..ClusterOptions::default()
    });
    let keys: Vec<_> = (0..2).map(|number| key(&format!("drain-{number}"))).collect();
    let client = cluster.client_in(centre, 0);
    let request = |key: &String| Request::at_most_once(key).work_ms(3_000).spawn(&client);
    let pending: Vec<_> = keys.iter().map(request).collect();
    eventually("the requests run", Duration::from_secs(5), || {
        cluster.started() == 2 || pending.iter().any(JoinHandle::is_finished)
    });
    let draining = cluster.drain(0);
    for thread in pending {
        let response = thread.join().expect("no panic").expect("an answer");
        assert_eq!(response.outcome(), "done", "{response:?}");
    }
    cluster.block_on(draining).expect("the host ends");
}

/// A terminated process must finish requests that take longer than the notice period of 3 s.
#[rstest]
fn a_terminated_process_finishes_long_requests() {
    let mut installation = Installation::start(2, 2);
    let before = installation.started();
    let keys: Vec<_> = (0..4).map(|number| key(&format!("long-{number}"))).collect();
    let client = installation.client(0);
    let request = |key: &String| Request::at_most_once(key).work_ms(4_500).spawn(&client);
    let pending: Vec<_> = keys.iter().map(request).collect();
    eventually("the requests run", Duration::from_secs(5), || installation.started() == before + 4);
    assert_eq!(installation.terminate_entry(0), Some(0));
    for thread in pending {
        let response = thread.join().expect("no panic").expect("an answer");
        assert_eq!(response.outcome(), "done", "{response:?}");
    }
}
