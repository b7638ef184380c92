//! Log lines as JSON on standard output, bounded in volume and never blocking the work.
//!
//! A thread of its own writes the lines. Lines that it cannot take are dropped and counted, and
//! each kind of line has a budget a second, so that a flood of one kind hides no other.

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

/// Lines of one kind that are written in a second.
const LINES_PER_KIND_AND_SECOND: u32 = 200;

/// Lines that wait for the writing thread.
const QUEUE_LINES: usize = 2_000;

/// Longest wait for the last lines when the process ends; a reader that does not read is not waited
/// for any longer.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// Time over which a budget holds.
const BUDGET_SPAN: Duration = Duration::from_secs(1);

/// Lines that were not written, by cause.
#[derive(Debug, Default)]
pub(crate) struct Dropped {
    over_budget: AtomicU64,
    queue_full: AtomicU64,
}

/// Work for the writing thread.
#[derive(Debug)]
enum Entry {
    Line(Vec<u8>),
    /// Told once everything before has been written.
    Flush(SyncSender<()>),
}

/// The log of this process, once there is one.
static LINES: OnceLock<SyncSender<Entry>> = OnceLock::new();

/// Waits until the lines so far are written, for a process that is about to end.
pub fn flush() {
    if let Some(lines) = LINES.get() {
        flush_lines(lines);
    }
}

fn flush_lines(lines: &SyncSender<Entry>) {
    let (written, all) = sync_channel(1);
    if lines.try_send(Entry::Flush(written)).is_ok() {
        // Without an answer in time the last lines are lost, as those of a killed process are.
        _ = all.recv_timeout(FLUSH_LIMIT);
    }
}

/// Writes log lines to standard output from now on; `RUST_LOG` sets the level.
///
/// # Errors
/// Returns an error if the writing thread cannot be started.
pub fn init() -> io::Result<()> {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let dropped = Arc::new(Dropped::default());
    let lines = start_writer(io::stdout(), Arc::clone(&dropped))?;
    let lines = LINES.get_or_init(|| lines).clone();
    let writer = Writer { lines, dropped: Arc::clone(&dropped) };
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_target(false)
        .with_writer(writer)
        .with_filter(Budget::new(dropped));
    tracing_subscriber::registry().with(filter).with(layer).init();
    Ok(())
}

/// Starts the thread that writes lines and reports what was dropped.
fn start_writer(
    out: impl Write + Send + 'static,
    dropped: Arc<Dropped>,
) -> io::Result<SyncSender<Entry>> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let work = move || write_lines(out, &queue, &dropped);
    std::thread::Builder::new().name("log".into()).spawn(work)?;
    Ok(lines)
}

fn write_lines(mut out: impl Write, queue: &Receiver<Entry>, dropped: &Dropped) {
    let mut reported = (0, 0);
    while let Ok(entry) = queue.recv() {
        let line = match entry {
            Entry::Line(line) => line,
            Entry::Flush(written) => {
                // Whoever asked may have stopped waiting.
                _ = written.try_send(());
                continue;
            }
        };
        // Nobody is left to be told that the log cannot be written.
        _ = out.write_all(&line);
        let now = (
            dropped.over_budget.load(Ordering::Relaxed),
            dropped.queue_full.load(Ordering::Relaxed),
        );
        if now != reported {
            reported = now;
            let (over_budget, queue_full) = now;
            _ = writeln!(
                out,
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\
                 \"over_budget\":{over_budget},\"queue_full\":{queue_full}}}"
            );
        }
    }
}

/// Hands whole lines to the writing thread.
#[derive(Debug, Clone)]
struct Writer {
    lines: SyncSender<Entry>,
    dropped: Arc<Dropped>,
}

impl Write for Writer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(Entry::Line(buf.to_vec())).is_err() {
            self.dropped.queue_full.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for Writer {
    type Writer = Self;

    fn make_writer(&self) -> Self {
        self.clone()
    }
}

/// Counts the lines of each kind and leaves out those over the budget.
#[derive(Debug)]
pub(crate) struct Budget {
    kinds: Mutex<HashMap<Identifier, (Instant, u32)>>,
    dropped: Arc<Dropped>,
}

impl Budget {
    pub(crate) fn new(dropped: Arc<Dropped>) -> Self {
        Self { kinds: Mutex::default(), dropped }
    }

    /// Tells whether one more line of a kind may be written.
    fn allows(&self, kind: Identifier, level: Level) -> bool {
        let now = Instant::now();
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let (begun, lines) = kinds.entry(kind).or_insert((now, 0));
        if now.duration_since(*begun) >= BUDGET_SPAN {
            (*begun, *lines) = (now, 0);
        }
        *lines += 1;
        let allowed = level == Level::ERROR || *lines <= LINES_PER_KIND_AND_SECOND;
        if !allowed {
            self.dropped.over_budget.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

impl<S: Subscriber> Filter<S> for Budget {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let kind = event.metadata().callsite();
        self.allows(kind, *event.metadata().level())
    }
}
