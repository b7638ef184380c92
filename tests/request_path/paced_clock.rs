//! The clock on which tests of time limits run.

use std::time::{Duration, Instant};

use tempfile::TempDir;

use crate::support::paced_clock::PacedRuntime;

/// Time for which the only thread of the runtime is blocked, as by a busy machine.
const BLOCKED_FOR: Duration = Duration::from_millis(500);

/// Longest time for which the clock may go on while the runtime is blocked: a step may have been
/// under way.
const ADVANCE_WHILE_BLOCKED_MAX: Duration = Duration::from_millis(2);

/// Difference of the clocks by rounding and by a step that was under way.
const TOLERANCE: Duration = Duration::from_millis(2);

/// Returns the time that `body` takes on the clock of the runtime, and on that of the system.
fn measure(
    runtime: &PacedRuntime,
    body: impl Future<Output = ()> + Send + 'static,
) -> [Duration; 2] {
    let measuring = runtime.handle().spawn(async move {
        let (paced, system) = (tokio::time::Instant::now(), Instant::now());
        body.await;
        [paced.elapsed(), system.elapsed()]
    });
    runtime.handle().block_on(measuring).expect("no panic")
}

/// The clock must advance, and never faster than the clock of the system: a test would otherwise
/// expire time limits early.
#[test]
fn the_clock_advances_and_is_never_fast() {
    let folder = TempDir::new().expect("a work folder");
    let runtime = PacedRuntime::start(folder.path());
    let [paced, system] = measure(&runtime, async {
        tokio::time::sleep(Duration::from_secs(1)).await;
    });
    println!("{paced:?} on the paced clock, {system:?} on the clock of the system");
    assert!(paced >= Duration::from_secs(1) && system + TOLERANCE >= paced);
}

/// The clock must stand still while the runtime gets no processor.
#[test]
fn the_clock_stands_still_while_the_runtime_is_blocked() {
    let folder = TempDir::new().expect("a work folder");
    let runtime = PacedRuntime::start(folder.path());
    let [paced, system] = measure(&runtime, async { std::thread::sleep(BLOCKED_FOR) });
    assert!(system >= BLOCKED_FOR && paced <= ADVANCE_WHILE_BLOCKED_MAX, "{paced:?}, {system:?}");
}
