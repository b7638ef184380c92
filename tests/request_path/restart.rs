//! A restart of control under load.

use std::time::Duration;

use rstest::rstest;

use crate::support::load::Load;
use crate::support::path::{ClusterClock, ClusterOptions, Request, TestCluster};

/// Hosts must keep their lent shares through a restart of control, or idempotent requests fail: six
/// requests of 450 ms fit into the lent share, but the base share of one slot cannot serve them
/// within the park budget of 2 s. The budget is measured on the clock of the hosts.
#[rstest]
fn idempotent_requests_survive_a_restart_of_control() {
    let mut cluster = TestCluster::start(ClusterOptions {
        standins: 1,
        clock: ClusterClock::Paced,
        ..ClusterOptions::default()
    });
    cluster.wait_for_lending();
    let load = Load::start(&cluster.client(0), 6, &Request::idempotent().work_ms(450));
    cluster.eventually("the share is lent", Duration::from_secs(3), || {
        cluster.standin(0).running_peak() == 6
    });
    cluster.stop_control(0);
    cluster.sleep(Duration::from_millis(500));
    cluster.restart_control(0);
    cluster.sleep(Duration::from_secs(5));
    let responses = load.stop();
    let failed: Vec<_> = responses.iter().filter(|response| response.outcome() != "done").collect();
    assert!(failed.is_empty(), "{} of {} failed: {:?}", failed.len(), responses.len(), failed[0]);
    assert!(cluster.standin(0).running_peak() <= 8 && cluster.refused() == 0);
}
