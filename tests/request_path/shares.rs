//! Shares of dispatches between classes, and of slots and connections between hosts.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::support::load::Load;
use crate::support::path::{Ask, Path, Shape, Told};
use crate::support::{Installation, eventually};

/// Counts the requests that were done by a time.
fn done_by(load: Load, end: Instant) -> usize {
    let done = |told: &&Told| told.outcome() == "done" && told.at <= end;
    load.stop().iter().filter(done).count()
}

/// Guards against batch requests that starve, and against interactive ones that wait for them.
#[rstest]
#[case::both_classes_wait(40, 40, 0.10..=0.16)]
#[case::no_interactive_request(0, 40, 1.0..=1.0)]
#[case::no_batch_request(40, 0, 0.0..=0.0)]
fn one_dispatch_in_eight_is_batch(
    #[case] interactive: usize,
    #[case] batch: usize,
    #[case] expected: std::ops::RangeInclusive<f64>,
) {
    let path = Path::start(Shape { entry_hosts: 1, standins: 1, ..Shape::default() });
    path.wait_for_lending();
    let ask = Ask::idempotent().work_ms(20);
    let first = Load::start(&path.client(0), interactive, &ask);
    let second = Load::start(&path.client(0), batch, &ask.clone().batch());
    std::thread::sleep(Duration::from_secs(2));
    let end = Instant::now();
    let (first, second) = (done_by(first, end), done_by(second, end));
    let share = second as f64 / (first + second) as f64;
    println!("{first} interactive, {second} batch: share {share:.3}");
    assert!(first + second > 200, "a saturated upstream");
    assert!(expected.contains(&share), "{first} interactive, {second} batch");
}

/// What happens to control while hosts keep dispatching.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    Restarted,
    Frozen,
    HostFrozen,
}

fn make_trouble(installation: &mut Installation, trouble: Trouble) {
    match trouble {
        Trouble::None => std::thread::sleep(Duration::from_secs(2)),
        Trouble::Restarted => {
            installation.kill_control();
            std::thread::sleep(Duration::from_millis(300));
            installation.start_control();
            std::thread::sleep(Duration::from_secs(4));
        }
        Trouble::HostFrozen => {
            installation.freeze_entry(0);
            std::thread::sleep(Duration::from_secs(4));
            installation.thaw_entry(0);
            std::thread::sleep(Duration::from_secs(1));
        }
        Trouble::Frozen => {
            installation.freeze_control();
            std::thread::sleep(Duration::from_secs(4));
            installation.thaw_control();
            std::thread::sleep(Duration::from_secs(1));
        }
    }
}

/// Guards against hosts that together use more than the upstream's slots and connections.
#[rstest]
#[case::healthy(Trouble::None)]
#[case::control_restarted(Trouble::Restarted)]
#[case::control_frozen(Trouble::Frozen)]
#[case::a_host_frozen(Trouble::HostFrozen)]
fn all_hosts_together_keep_to_the_limits(#[case] trouble: Trouble) {
    let mut installation = Installation::start(3, 1);
    let ask = Ask::idempotent().work_ms(10);
    let load = |host| Load::start(&installation.client(host), 10, &ask);
    let loads: Vec<_> = (0..3).map(load).collect();
    std::thread::sleep(Duration::from_millis(500));
    make_trouble(&mut installation, trouble);
    // A host that stops asking gives its share to the others.
    let mut loads = loads.into_iter();
    let mut told = loads.next().map(Load::stop).expect("three loads");
    if trouble == Trouble::HostFrozen {
        // Their time to wait passed while the host stood still.
        told.clear();
    }
    std::thread::sleep(Duration::from_secs(1));
    told.extend(loads.flat_map(Load::stop));
    let failed = told.iter().find(|told| told.outcome() != "done");
    assert!(failed.is_none(), "{failed:?} among {}", told.len());
    let stats = installation.stats(0);
    println!("{trouble:?}: {stats}");
    assert!(stats["running_peak"].as_u64() <= Some(8), "{stats}");
    assert!(stats["connections_peak"].as_u64() < Some(64), "{stats}");
    assert_eq!(stats["refused"], 0, "the guard had nothing to refuse: {stats}");
    assert!(stats["started"].as_u64() > Some(200), "hosts kept dispatching: {stats}");
}

/// Guards against a host that is cut off from control and keeps a share that another host gets.
#[rstest]
fn a_host_cut_off_from_control_keeps_to_its_base_share() {
    let path = Path::start(Shape { standins: 1, ..Shape::default() });
    path.wait_for_lending();
    let ask = Ask::idempotent().work_ms(10);
    let first = Load::start(&path.client(0), 20, &ask);
    eventually("it borrows", Duration::from_secs(3), || path.standin(0).running_peak() >= 5);
    path.control_links[0].cut();
    let second = Load::start(&path.client(1), 20, &ask);
    std::thread::sleep(Duration::from_secs(4));
    path.control_links[0].restore();
    std::thread::sleep(Duration::from_secs(1));
    drop((first.stop(), second.stop()));
    let standin = path.standin(0);
    let peaks = (standin.running_peak(), standin.connections_peak(), standin.refused());
    println!("slots, connections, refused: {peaks:?}");
    assert!(peaks.0 == 8 && peaks.1 < 64 && peaks.2 == 0, "slots, connections, refused: {peaks:?}");
}
