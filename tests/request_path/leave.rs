//! A leaving upstream gets no new requests after 2 s, and finishes its running ones.

use std::time::Duration;

use rstest::rstest;

use crate::support::load::Load;
use crate::support::path::{ClusterOptions, Request, TestCluster};
use crate::support::{Installation, eventually, key};

/// Time after which no host may send to a leaving upstream.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

/// Hosts must stop sending to a leaving upstream, also if only one of them gets the leave message
/// or the upstream keeps announcing itself.
#[rstest]
#[case::all_hosts_are_notified(&[0, 1], false, false)]
#[case::one_host_is_notified(&[0], false, false)]
#[case::one_host_is_notified_and_control_is_gone(&[0], false, true)]
#[case::later_announcements_of_the_incarnation(&[0, 1], true, false)]
#[case::one_host_is_notified_and_announcements_go_on(&[0], true, false)]
fn a_leaving_upstream_gets_no_new_requests(
    #[case] notified_hosts: &[u8],
    #[case] keeps_announcing: bool,
    #[case] without_control: bool,
) {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    if without_control {
        cluster.stop_control(0);
    }
    let request = Request::idempotent().work_ms(5);
    let loads = [0, 1].map(|host| Load::start(&cluster.client(host), 2, &request));
    eventually("both upstreams serve", Duration::from_secs(5), || {
        cluster.standin(0).started() > 10 && cluster.standin(1).started() > 10
    });
    if !keeps_announcing {
        cluster.standin(0).stop_announcing();
    }
    for host in notified_hosts {
        let leave = cluster.client(*host).send(
            "POST",
            "/v1/upstreams/north-worker-0/leave",
            &[("Content-Type", "application/json")],
            r#"{"incarnation":1}"#,
        );
        assert_eq!(leave.expect("an answer").status, 200);
    }
    std::thread::sleep(LEAVE_LIMIT);
    let before = (cluster.standin(0).started(), cluster.standin(1).started());
    std::thread::sleep(Duration::from_millis(1_500));
    let after = (cluster.standin(0).started(), cluster.standin(1).started());
    for load in loads {
        load.stop();
    }
    assert_eq!(after.0, before.0, "no new requests after 2 s");
    assert!(after.1 > before.1, "the other upstream still gets requests");
}

/// A running request must not be abandoned or run again because its upstream leaves.
#[rstest]
#[case::idempotent(Request::idempotent())]
#[case::once(Request::at_most_once(&key("leaving")))]
fn a_leaving_upstream_finishes_its_running_request(#[case] request: Request) {
    let mut cluster =
        TestCluster::start(ClusterOptions { standins: 1, ..ClusterOptions::default() });
    let pending = request.work_ms(2_500).spawn(&cluster.client(0));
    eventually("the request runs", Duration::from_secs(5), || cluster.started() == 1);
    let leaving = cluster.take_standin(0);
    cluster.block_on(leaving.leave());
    let response = pending.join().expect("no panic").expect("an answer");
    assert_eq!(
        (response.outcome(), &response.reply.body["attempt"]),
        ("done", &1.into()),
        "{response:?}"
    );
}

/// An upstream whose lease expired while it was suspended must be used again after it resumes.
#[rstest]
fn a_resumed_upstream_serves_again() {
    let installation = Installation::start(2, 1);
    installation.suspend_standin(0);
    std::thread::sleep(Duration::from_millis(4_500));
    installation.resume_standin(0);
    for host in [0, 1] {
        eventually("the upstream serves again", Duration::from_secs(6), || {
            let response = Request::idempotent().timeout_ms(1_000).send(&installation.client(host));
            response.outcome() == "done"
        });
    }
}
