//! Idempotent requests are retried elsewhere, within the deadline and the retry budget.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::not_run::fill_behind_the_hosts;
use crate::support::link::Fault;
use crate::support::load::Load;
use crate::support::path::{Ask, Path, Shape};

/// Guards against an idempotent request that fails although another upstream works.
#[rstest]
#[case::closes_before(Fault::CloseBeforeRequest)]
#[case::closes_after(Fault::CloseAfterRequest)]
#[case::cuts_answers(Fault::CutAnswer(20))]
#[case::garbage(Fault::Garbage)]
#[case::silent(Fault::Silent)]
#[case::swallows_answers(Fault::SwallowAnswers)]
fn a_request_moves_to_an_upstream_that_works(#[case] fault: Fault) {
    let path = Path::start(Shape::default());
    path.links[0].fault_all(fault);
    for _ in 0..10 {
        let told = Ask::idempotent().send(&path.client(0));
        assert_eq!(told.outcome(), "done", "{told:?}");
        assert!(told.took < Duration::from_secs(5), "{told:?}");
    }
}

/// Guards against retries that multiply an overload: the upstreams refuse everything.
#[rstest]
fn the_budget_bounds_retries_in_an_overload() {
    let path = Path::start(Shape::default());
    path.wait_for_lending();
    fill_behind_the_hosts(&path);
    let started = Instant::now();
    let load = Load::start(&path.client(0), 8, &Ask::idempotent().timeout_ms(500));
    std::thread::sleep(Duration::from_secs(2));
    let told = load.stop();
    let requests = path.metric(0, "cactuslatch_entry_requests_total");
    let retries = path.metric(0, "cactuslatch_entry_retries_total");
    println!("{retries} retries of {requests} requests");
    assert!(told.iter().all(|told| told.outcome() == "not_run"), "{:?}", told.first());
    // 10% of the requests, and a floor of 3 each second with what it has saved up at the start.
    let floor = 3.0 * (started.elapsed().as_secs_f64() + 1.0) + 15.0;
    assert!(retries <= requests * 0.1 + floor, "{retries} retries of {requests} requests");
    assert!(requests > 200.0, "an overload: {requests} requests");
}
