//! Division of dispatches between classes, and of slots and connections between hosts.

use std::thread::JoinHandle;
use std::time::Duration;

use cactuslatch::config::Timeouts;
use rstest::rstest;

use crate::support::load::Load;
use crate::support::path::{ClusterClock, ClusterOptions, Request, Response, TestCluster};
use crate::support::{Installation, eventually};

/// Document under which requests of both classes may wait for long.
const PATIENT_DOCUMENT: &str = "\
kind: service
service: plan
organisations:
  - name: plovdiv
    concurrency_max: 500
    requests_per_s: 5000
    guaranteed_blocks: []
interactive_queue_max: 1024
interactive_wait_max_ms: 60000
batch_queue_max: 1024
batch_wait_max_ms: 60000
completion_weight: 1.0
fragmentation_weight: 0.2
";

/// Longest time that requests wait in a test of the order of dispatches.
const ORDER_WAIT_MAX: Duration = Duration::from_mins(1);

/// Number of first dispatches whose classes are counted. When they have been made, requests of each
/// class still wait.
const DISPATCHES_COUNTED: u64 = 201;

/// Returns the place of a request in the order of starts at the only stand-in.
fn start_order(caller: JoinHandle<Option<Response>>) -> u64 {
    let response = caller.join().expect("no panic").expect("an answer");
    let order = response.reply.body["answer"]["start_order"].as_u64();
    order.unwrap_or_else(|| panic!("the request is done: {response:?}"))
}

/// Batch requests get one dispatch in eight while interactive requests wait, so that neither class
/// starves, and all dispatches while none waits.
#[rstest]
#[case::both_classes_wait(240, 60, 0.10..=0.16)]
#[case::no_interactive_request(0, 240, 1.0..=1.0)]
#[case::no_batch_request(240, 0, 0.0..=0.0)]
fn one_dispatch_in_eight_is_batch(
    #[case] interactive: u32,
    #[case] batch: u32,
    #[case] expected: std::ops::RangeInclusive<f64>,
) {
    let wait_max_ms = u64::try_from(ORDER_WAIT_MAX.as_millis()).expect("a short time");
    let timeouts = Timeouts {
        park_budget_ms: wait_max_ms,
        request_timeout_ms: wait_max_ms,
        ..Timeouts::default()
    };
    let mut cluster = TestCluster::start(ClusterOptions {
        entry_hosts: 1,
        standins: 0,
        timeouts,
        ..ClusterOptions::default()
    });
    cluster.replace_document(PATIENT_DOCUMENT);
    let request = Request::idempotent().work_ms(20);
    let spawn = |count, request: &Request| -> Vec<_> {
        (0..count).map(|_| request.spawn(&cluster.client(0))).collect()
    };
    let interactive_callers = spawn(interactive, &request);
    let batch_callers = spawn(batch, &request.clone().batch());
    eventually("all requests wait", ORDER_WAIT_MAX / 2, || {
        cluster.sum_metrics(0, "cactuslatch_entry_parked") >= f64::from(interactive + batch)
    });
    cluster.add_standin(0);
    let count_first = |callers: Vec<_>| {
        let orders = callers.into_iter().map(start_order);
        orders.filter(|order| *order <= DISPATCHES_COUNTED).count()
    };
    let (interactive, batch) = (count_first(interactive_callers), count_first(batch_callers));
    let batch_share = batch as f64 / (interactive + batch) as f64;
    println!("{interactive} interactive, {batch} batch: batch share {batch_share:.3}");
    assert!(interactive + batch > 200, "{interactive} interactive, {batch} batch");
    assert!(expected.contains(&batch_share), "{interactive} interactive, {batch} batch");
}

/// Fault that occurs while hosts keep dispatching.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    None,
    ControlRestarted,
    ControlSuspended,
    HostSuspended,
}

fn inject_fault(installation: &mut Installation, fault: InjectedFault) {
    match fault {
        InjectedFault::None => std::thread::sleep(Duration::from_secs(2)),
        InjectedFault::ControlRestarted => {
            installation.kill_control();
            std::thread::sleep(Duration::from_millis(300));
            installation.start_control();
            std::thread::sleep(Duration::from_secs(4));
        }
        InjectedFault::HostSuspended => {
            installation.suspend_entry(0);
            std::thread::sleep(Duration::from_secs(4));
            installation.resume_entry(0);
            std::thread::sleep(Duration::from_secs(1));
        }
        InjectedFault::ControlSuspended => {
            installation.suspend_control();
            std::thread::sleep(Duration::from_secs(4));
            installation.resume_control();
            std::thread::sleep(Duration::from_secs(1));
        }
    }
}

/// All hosts together must not exceed the slots and connections of an upstream, also while control
/// restarts, and while control or a host is suspended.
#[rstest]
#[case::healthy(InjectedFault::None)]
#[case::control_restarted(InjectedFault::ControlRestarted)]
#[case::control_suspended(InjectedFault::ControlSuspended)]
#[case::a_host_suspended(InjectedFault::HostSuspended)]
fn all_hosts_together_keep_to_the_limits(#[case] fault: InjectedFault) {
    let mut installation = Installation::start(3, 1);
    let request = Request::idempotent().work_ms(10);
    let load = |host| Load::start(&installation.client(host), 10, &request);
    let loads: Vec<_> = (0..3).map(load).collect();
    std::thread::sleep(Duration::from_millis(500));
    inject_fault(&mut installation, fault);
    // A host without requests gives its share to the others.
    let mut loads = loads.into_iter();
    let mut responses = loads.next().map(Load::stop).expect("three loads");
    if fault == InjectedFault::HostSuspended {
        // Requests of the suspended host may have exceeded their wait time.
        responses.clear();
    }
    std::thread::sleep(Duration::from_secs(1));
    responses.extend(loads.flat_map(Load::stop));
    let failed = responses.iter().find(|response| response.outcome() != "done");
    assert!(failed.is_none(), "{failed:?} among {}", responses.len());
    let stats = installation.stats(0);
    println!("{fault:?}: {stats}");
    assert!(stats["running_peak"].as_u64() <= Some(8), "{stats}");
    assert!(stats["connections_peak"].as_u64() < Some(64), "{stats}");
    assert_eq!(stats["refused"], 0, "the stand-in refused nothing: {stats}");
    assert!(stats["started"].as_u64() > Some(200), "hosts kept dispatching: {stats}");
}

/// A host that loses its connection to control must return to its base share, since control lends
/// the rest to another host. Both times run on the clock of the processes.
#[rstest]
fn a_host_without_control_uses_only_its_base_share() {
    let cluster = TestCluster::start(ClusterOptions {
        standins: 1,
        clock: ClusterClock::Paced,
        ..ClusterOptions::default()
    });
    cluster.wait_for_lending();
    let request = Request::idempotent().work_ms(10);
    let first = Load::start(&cluster.client(0), 20, &request);
    cluster.eventually("the host uses a lent share", Duration::from_secs(3), || {
        cluster.standin(0).running_peak() >= 5
    });
    cluster.control_links[0].cut();
    let second = Load::start(&cluster.client(1), 20, &request);
    cluster.sleep(Duration::from_secs(4));
    cluster.control_links[0].restore();
    cluster.sleep(Duration::from_secs(1));
    drop((first.stop(), second.stop()));
    let standin = cluster.standin(0);
    let peaks = (standin.running_peak(), standin.connections_peak(), standin.refused());
    println!("slots, connections, refused: {peaks:?}");
    assert!(peaks.0 == 8 && peaks.1 < 64 && peaks.2 == 0, "slots, connections, refused: {peaks:?}");
}
