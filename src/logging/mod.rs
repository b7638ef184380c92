//! Rate-limited, non-blocking log output as JSON lines on standard output.
//!
//! A writer thread takes lines from a bounded queue; lines that do not fit are dropped and counted.
//! Each callsite has its own rate limit, so that a flood of lines from one displaces no others.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tracing::callsite::Identifier;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer};

/// Rate limit of the lines of one callsite.
const LINES_PER_CALLSITE_AND_SECOND: u32 = 200;

/// Capacity of the writer thread's queue.
const QUEUE_LINES: usize = 2_000;

/// Timeout of [`flush`], so that a process can end although nobody reads its output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Number of lines that were not written, by cause.
#[derive(Debug, Default)]
pub(crate) struct DroppedLines {
    over_budget: AtomicU64,
    queue_full: AtomicU64,
}

/// Message to the writer thread.
#[derive(Debug)]
enum WriterMessage {
    Line(Vec<u8>),
    /// Answered once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Queue of this process's log, set by [`init`].
static LOG_QUEUE: OnceLock<SyncSender<WriterMessage>> = OnceLock::new();

/// Waits until all earlier lines are written, for a process that is about to end.
pub fn flush() {
    if let Some(queue) = LOG_QUEUE.get() {
        flush_queue(queue);
    }
}

fn flush_queue(queue: &SyncSender<WriterMessage>) {
    let (flushed, flush_done) = sync_channel(1);
    if queue.try_send(WriterMessage::Flush(flushed)).is_ok() {
        // After a timeout the last lines are lost, as they are when a process is killed.
        _ = flush_done.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Installs the process's log output; `RUST_LOG` sets the level.
///
/// # Errors
/// Returns an error if the writer thread cannot be started.
pub fn init() -> io::Result<()> {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let dropped = Arc::new(DroppedLines::default());
    let queue = start_writer(io::stdout(), Arc::clone(&dropped))?;
    let queue = LOG_QUEUE.get_or_init(|| queue).clone();
    let writer = QueueWriter { queue, dropped: Arc::clone(&dropped) };
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_target(false)
        .with_writer(writer)
        .with_filter(RateLimit::new(dropped));
    tracing_subscriber::registry().with(filter).with(layer).init();
    Ok(())
}

/// Starts the thread that writes lines and reports dropped ones.
fn start_writer(
    out: impl Write + Send + 'static,
    dropped: Arc<DroppedLines>,
) -> io::Result<SyncSender<WriterMessage>> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let work = move || write_lines(out, &receiver, &dropped);
    std::thread::Builder::new().name("log".into()).spawn(work)?;
    Ok(sender)
}

fn write_lines(mut out: impl Write, queue: &Receiver<WriterMessage>, dropped: &DroppedLines) {
    let mut reported = (0, 0);
    while let Ok(message) = queue.recv() {
        let line = match message {
            WriterMessage::Line(line) => line,
            WriterMessage::Flush(flushed) => {
                // The caller may have stopped waiting.
                _ = flushed.try_send(());
                continue;
            }
        };
        // A failure to write the log cannot be reported anywhere.
        _ = out.write_all(&line);
        let current = (
            dropped.over_budget.load(Ordering::Relaxed),
            dropped.queue_full.load(Ordering::Relaxed),
        );
        if current != reported {
            reported = current;
            let (over_budget, queue_full) = current;
            _ = writeln!(
                out,
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\
                 \"over_budget\":{over_budget},\"queue_full\":{queue_full}}}"
            );
        }
    }
}

/// Sends each written buffer, a whole line, to the writer thread.
#[derive(Debug, Clone)]
struct QueueWriter {
    queue: SyncSender<WriterMessage>,
    dropped: Arc<DroppedLines>,
}

impl Write for QueueWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(WriterMessage::Line(buf.to_vec())).is_err() {
            self.dropped.queue_full.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for QueueWriter {
    type Writer = Self;

    fn make_writer(&self) -> Self {
        self.clone()
    }
}

/// Filter that limits the rate of lines of each callsite; errors are not limited.
#[derive(Debug)]
pub(crate) struct RateLimit {
    /// Start of the current window and number of lines in it, by callsite.
    windows: Mutex<HashMap<Identifier, (Instant, u32)>>,
    dropped: Arc<DroppedLines>,
}

impl RateLimit {
    pub(crate) fn new(dropped: Arc<DroppedLines>) -> Self {
        Self { windows: Mutex::default(), dropped }
    }

    /// Counts a line of a callsite and returns whether it may be written.
    fn allows(&self, callsite: Identifier, level: Level) -> bool {
        let now = Instant::now();
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let (started, lines) = windows.entry(callsite).or_insert((now, 0));
        if now.duration_since(*started) >= RATE_WINDOW {
            (*started, *lines) = (now, 0);
        }
        *lines += 1;
        let allowed = level == Level::ERROR || *lines <= LINES_PER_CALLSITE_AND_SECOND;
        if !allowed {
            self.dropped.over_budget.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

impl<S: Subscriber> Filter<S> for RateLimit {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let callsite = event.metadata().callsite();
        self.allows(callsite, *event.metadata().level())
    }
}
