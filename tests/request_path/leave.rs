//! A leaving upstream gets nothing new after 2 s, and finishes what it runs.

use std::time::Duration;

use rstest::rstest;

use crate::support::load::Load;
use crate::support::path::{Ask, Path, Shape};
use crate::support::{Installation, eventually, key};

/// Time in which every host must have stopped sending.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

/// Guards against a host that goes on sending to an upstream that has left.
#[rstest]
#[case::all_hosts_are_told(&[0, 1], false, false)]
#[case::one_host_is_told(&[0], false, false)]
#[case::one_host_is_told_and_control_is_gone(&[0], false, true)]
#[case::later_announcements_of_the_incarnation(&[0, 1], true, false)]
#[case::one_host_is_told_and_announcements_go_on(&[0], true, false)]
fn a_leaving_upstream_gets_nothing_new(
    #[case] told: &[u8],
    #[case] announces_on: bool,
    #[case] without_control: bool,
) {
    let mut path = Path::start(Shape::default());
    if without_control {
        path.stop_control(0);
    }
    let ask = Ask::idempotent().work_ms(5);
    let loads = [0, 1].map(|host| Load::start(&path.client(host), 2, &ask));
    eventually("both serve", Duration::from_secs(5), || {
        path.standin(0).started() > 10 && path.standin(1).started() > 10
    });
    if !announces_on {
        path.standin(0).stop_announcing();
    }
    for host in told {
        let leave = path.client(*host).send(
            "POST",
            "/v1/upstreams/north-worker-0/leave",
            &[("Content-Type", "application/json")],
            r#"{"incarnation":1}"#,
        );
        assert_eq!(leave.expect("an answer").status, 200);
    }
    std::thread::sleep(LEAVE_LIMIT);
    let before = (path.standin(0).started(), path.standin(1).started());
    std::thread::sleep(Duration::from_millis(1_500));
    let after = (path.standin(0).started(), path.standin(1).started());
    for load in loads {
        load.stop();
    }
    assert_eq!(after.0, before.0, "nothing new after 2 s");
    assert!(after.1 > before.1, "the load went on");
}

/// Guards against a running request that is given up, or run again, because its upstream leaves.
#[rstest]
#[case::idempotent(Ask::idempotent())]
#[case::once(Ask::once(&key("leaving")))]
fn a_leaving_upstream_finishes_what_it_runs(#[case] ask: Ask) {
    let mut path = Path::start(Shape { standins: 1, ..Shape::default() });
    let asked = ask.work_ms(2_500).spawn(&path.client(0));
    eventually("it runs", Duration::from_secs(5), || path.started() == 1);
    let leaving = path.take_standin(0);
    path.block(leaving.leave());
    let told = asked.join().expect("no panic").expect("an answer");
    assert_eq!((told.outcome(), &told.reply.body["attempt"]), ("done", &1.into()), "{told:?}");
}

/// Guards against an upstream that stays out for good after its lease ended once.
#[rstest]
fn a_thawed_upstream_serves_again() {
    let installation = Installation::start(2, 1);
    installation.freeze_standin(0);
    std::thread::sleep(Duration::from_millis(4_500));
    installation.thaw_standin(0);
    for host in [0, 1] {
        eventually("it serves again", Duration::from_secs(6), || {
            let told = Ask::idempotent().timeout_ms(1_000).send(&installation.client(host));
            told.outcome() == "done"
        });
    }
}
