//! A runtime whose clock follows the progress of its tasks, for tests of time limits.
//!
//! On a busy machine the system clock goes on while tasks wait for a processor or for the disk, so
//! that time limits expire which an idle machine keeps easily. The clock of this runtime is paused,
//! and advances by one step each time that the ready tasks have run and another thread of the process
//! has slept and woken. It also waits for a sync of the disk from time to time. Time in which the
//! machine serves neither therefore does not count.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;
use tokio::time::{advance, pause};

/// Time by which the clock advances at once. Each step takes at least as long on the system clock.
const STEP: Duration = Duration::from_millis(1);

/// Number of steps between syncs of the disk: a slow disk holds the clock after this time.
const STEPS_PER_SYNC: u32 = 100;

/// A single-threaded runtime on its own thread, whose clock is paced.
pub struct PacedRuntime {
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    driver: Option<JoinHandle<()>>,
}

impl PacedRuntime {
    /// Starts the runtime; `folder` is on the disk whose syncs the clock waits for.
    pub fn start(folder: &Path) -> Self {
        let file = File::create(folder.join("paced-clock")).expect("the folder is writable");
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let (paused, is_paused) = std::sync::mpsc::channel();
        let driver = std::thread::spawn(move || {
            runtime.block_on(async {
                pause();
                paused.send(()).expect("the starter waits");
                tokio::spawn(advance_step_by_step(file));
                _ = stopped.await;
            });
            runtime.shutdown_background();
        });
        is_paused.recv().expect("the clock is paused");
        Self { handle, stop: Some(stop), driver: Some(driver) }
    }

    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}

impl Drop for PacedRuntime {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            _ = stop.send(());
        }
        if let Some(driver) = self.driver.take() {
            _ = driver.join();
        }
    }
}

/// Advances the clock forever.
///
/// The runtime does not advance a paused clock by itself while a blocking task runs, and this task is
/// ready whenever none does.
async fn advance_step_by_step(mut file: File) {
    loop {
        for _ in 0..STEPS_PER_SYNC {
            let pause = || std::thread::sleep(STEP);
            tokio::task::spawn_blocking(pause).await.expect("the pause ends");
            advance(STEP).await;
        }
        let sync = move || {
            file.write_all(b".").and_then(|()| file.sync_data()).expect("the disk works");
            file
        };
        file = tokio::task::spawn_blocking(sync).await.expect("the sync ends");
    }
}
