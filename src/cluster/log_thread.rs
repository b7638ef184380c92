//! Thread of the replicated log.
//!
//! A leader of many upstreams has thousands of tasks that are ready at the same time. Its heartbeats
//! to the other control hosts must not wait for them: without heartbeats for an election timeout,
//! another host is elected, which then faces the same work. So timer, syncs and messages of the log have
//! a thread and a runtime of their own.

use std::thread::JoinHandle;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

use crate::StepError;

/// Runs the log's tasks until it is dropped.
#[derive(Debug)]
pub(super) struct LogThread {
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl LogThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// Returns an error if the system has no resources for it.
    pub(super) fn start() -> Result<Self, StepError> {
        let failed = |error| StepError::new("start the thread of the log", "this host", error);
        let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let work = move || {
            // The sender is dropped to stop the thread.
            _ = runtime.block_on(stopped);
        };
        let thread = std::thread::Builder::new().name("log".into()).spawn(work).map_err(failed)?;
        Ok(Self { handle, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns the handle with which the log's tasks are spawned.
    pub(super) fn handle(&self) -> &Handle {
        &self.handle
    }
}

impl Drop for LogThread {
    /// Waits until the thread's sockets and files are closed, so that the host can be started again.
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was reported when it happened.
            _ = thread.join();
        }
    }
}
