//! Upstreams that crash and start again under their former name and address.

use std::time::Duration;

use rstest::rstest;

use crate::support::path::{ClusterOptions, Request, TestCluster};
use crate::support::{eventually, key};

/// Starts a cluster whose only upstream has restarted without the entry host knowing it.
fn with_unannounced_successor() -> TestCluster {
    let mut cluster = TestCluster::start(ClusterOptions {
        standins: 1,
        entry_hosts: 1,
        ..ClusterOptions::default()
    });
    let former = cluster.take_standin(0);
    cluster.block_on(former.crash());
    cluster.restart_standin_unannounced(0, 2);
    cluster
}

/// Work for the former incarnation must not run on its successor: its slots are not those that
/// control has lent, and queries about the attempt name an incarnation that no longer exists.
#[rstest]
#[case::idempotent(true)]
#[case::at_most_once(false)]
fn a_successor_refuses_work_for_its_former_incarnation(#[case] idempotent: bool) {
    let mut cluster = with_unannounced_successor();
    let request =
        if idempotent { Request::idempotent() } else { Request::at_most_once(&key("successor")) };
    let response = request.clone().timeout_ms(600).send(&cluster.client(0));
    assert_eq!(response.outcome(), "not_run", "{response:?}");
    assert_eq!(cluster.started(), 0);
    let unannounced = cluster.take_standin(0);
    cluster.block_on(unannounced.crash());
    cluster.restart_standin(0, 3);
    eventually("the resend runs", Duration::from_secs(5), || {
        request.clone().timeout_ms(1_000).send(&cluster.client(0)).outcome() == "done"
    });
    assert_eq!(cluster.started(), 1);
}
