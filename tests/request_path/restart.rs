//! A restart of control under load.

use std::time::Duration;

use rstest::rstest;

use crate::support::eventually;
use crate::support::load::Load;
use crate::support::path::{Ask, Path, Shape};

/// Guards against idempotent requests that fail because hosts lose their shares when control
/// starts again: six requests of 450 ms fit a lent share, and not the base share of one slot
/// within the park budget of 2 s.
#[rstest]
fn idempotent_requests_survive_a_restart_of_control() {
    let mut path = Path::start(Shape { standins: 1, ..Shape::default() });
    path.wait_for_lending();
    let load = Load::start(&path.client(0), 6, &Ask::idempotent().work_ms(450));
    eventually("the share is lent", Duration::from_secs(3), || path.standin(0).running_peak() == 6);
    path.stop_control(0);
    std::thread::sleep(Duration::from_millis(500));
    path.restart_control(0);
    std::thread::sleep(Duration::from_secs(5));
    let told = load.stop();
    let failed: Vec<_> = told.iter().filter(|told| told.outcome() != "done").collect();
    assert!(failed.is_empty(), "{} of {} failed: {:?}", failed.len(), told.len(), failed[0]);
    assert!(path.standin(0).running_peak() <= 8 && path.refused() == 0);
}
