//! Idempotent requests are retried on other upstreams, within the deadline and the retry budget.

use std::time::Duration;

use rstest::rstest;

use crate::not_run::{SLOTS_FILLED_FOR, fill_slots_directly};
use crate::support::link::Fault;
use crate::support::load::Load;
use crate::support::path::{ClusterClock, ClusterOptions, Request, TestCluster};

/// Upstreams that may be lost under one request.
const LOST_UPSTREAMS_MAX: u32 = 3;

/// An idempotent request must not fail while another upstream works.
#[rstest]
#[case::closes_before(Fault::CloseBeforeRequest)]
#[case::closes_after(Fault::CloseAfterRequest)]
#[case::cuts_answers(Fault::TruncateAnswer(20))]
#[case::garbage(Fault::Garbage)]
#[case::silent(Fault::DropAll)]
#[case::drops_answers(Fault::DropAnswers)]
fn a_request_is_retried_on_a_working_upstream(#[case] fault: Fault) {
    let cluster = TestCluster::start(ClusterOptions::default());
    cluster.standin_links[0].fault_all(fault);
    for _ in 0..10 {
        let response = Request::idempotent().send(&cluster.client(0));
        assert_eq!(response.outcome(), "done", "{response:?}");
        assert!(response.elapsed < Duration::from_secs(5), "{response:?}");
    }
}

/// When overloaded upstreams refuse all requests, retries must not multiply the load.
#[rstest]
fn the_retry_budget_bounds_retries_under_overload() {
    let cluster = TestCluster::start(ClusterOptions {
        clock: ClusterClock::Paced,
        ..ClusterOptions::default()
    });
    let started = cluster.started_at();
    cluster.wait_for_lending();
    fill_slots_directly(&cluster);
    let load = Load::start(&cluster.client(0), 8, &Request::idempotent().timeout_ms(5_000));
    cluster.sleep(Duration::from_secs(2));
    let count_requests = || cluster.sum_metrics(0, "cactuslatch_entry_requests_total");
    cluster.eventually("an overload", SLOTS_FILLED_FOR / 2, || count_requests() > 200.0);
    let responses = load.stop();
    let requests = count_requests();
    let retries = cluster.sum_metrics(0, "cactuslatch_entry_retries_total");
    println!("{retries} retries of {requests} requests");
    assert!(
        responses.iter().all(|response| response.outcome() == "not_run"),
        "{:?}",
        responses.first()
    );
    // The budget is 10% of the requests plus 3 retries/s, which accumulate from the start of the
    // host, and those of the first second are there at once.
    let elapsed = cluster.now().duration_since(started);
    let floor = 3.0 * (elapsed.as_secs_f64() + 1.0);
    assert!(retries <= requests * 0.1 + floor, "{retries} retries of {requests} requests");
    assert!(requests > 200.0, "too few requests for an overload: {requests}");
}

/// A request that crashes each upstream that starts it must not be sent to one after the other.
#[rstest]
#[case::crashes_at_once(Fault::CloseAfterRequest)]
#[case::falls_silent(Fault::DropAnswers)]
fn a_request_is_given_up_after_it_has_lost_several_upstreams(#[case] fault: Fault) {
    let cluster = TestCluster::start(ClusterOptions { standins: 6, ..ClusterOptions::default() });
    // Until then the retry budget fills up.
    cluster.wait_for_lending();
    cluster.standin_links.iter().for_each(|link| link.fault_all(fault));
    let response = Request::idempotent().work_ms(1_000).timeout_ms(10_000).send(&cluster.client(0));
    assert_eq!(response.outcome(), "unknown", "{response:?}");
    let starts = cluster.started();
    assert!(starts <= LOST_UPSTREAMS_MAX, "{starts} upstreams started it: {response:?}");
}
