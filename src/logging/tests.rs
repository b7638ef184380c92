//! Log output under floods of lines and with a reader that is slow or stops reading.

use std::io::{self, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tracing_subscriber::Layer;
use tracing_subscriber::layer::SubscriberExt;

use super::{
    DroppedLines, LINES_PER_CALLSITE_AND_SECOND, QUEUE_LINES, QueueWriter, RateLimit, flush_queue,
    start_writer,
};

/// An output that blocks until it is released.
struct BlockedOutput {
    release: Receiver<()>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // A closed channel releases the writer, too.
        _ = self.release.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that blocks on its log when the reader stops reading. Lines that do not
/// fit the queue are counted.
#[test]
fn a_blocked_reader_blocks_nothing() {
    let (_release, held) = channel();
    let dropped = Arc::new(DroppedLines::default());
    let queue = start_writer(BlockedOutput { release: held }, Arc::clone(&dropped)).unwrap();
    let mut writer = QueueWriter { queue, dropped: Arc::clone(&dropped) };
    let begun = Instant::now();
    for _ in 0..QUEUE_LINES + 500 {
        writer.write_all(b"line\n").unwrap();
    }
    assert!(begun.elapsed() < Duration::from_secs(2));
    assert!(dropped.queue_full.load(Ordering::Relaxed) >= 499);
}

/// An output that collects all lines.
#[derive(Clone, Default)]
struct Collected(Arc<Mutex<Vec<u8>>>);

impl Write for Collected {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a flood of lines from one callsite that displaces lines from others.
#[test]
fn a_flood_from_one_callsite_displaces_no_other() {
    let collected = Collected::default();
    let out = collected.clone();
    let dropped = Arc::new(DroppedLines::default());
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .with_writer(move || out.clone())
        .with_filter(RateLimit::new(Arc::clone(&dropped)));
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::with_default(subscriber, || {
        for number in 0..LINES_PER_CALLSITE_AND_SECOND + 300 {
            tracing::info!(number, "flood");
        }
        tracing::info!("other");
    });
    let text = String::from_utf8(collected.0.lock().unwrap().clone()).unwrap();
    let floods = text.lines().filter(|line| line.contains("flood")).count();
    assert_eq!(floods, LINES_PER_CALLSITE_AND_SECOND as usize);
    assert_eq!(text.lines().filter(|line| line.contains("other")).count(), 1);
    assert_eq!(dropped.over_budget.load(Ordering::Relaxed), 300);
}

/// An output that is slow to accept lines.
struct SlowOutput(Collected);

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(20));
        self.0.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that exits before the line with the reason is written.
#[test]
fn a_flush_waits_for_the_last_line() {
    let collected = Collected::default();
    let queue = start_writer(SlowOutput(collected.clone()), Arc::default()).unwrap();
    let mut writer = QueueWriter { queue: queue.clone(), dropped: Arc::default() };
    for line in ["first\n", "second\n", "the cause\n"] {
        writer.write_all(line.as_bytes()).unwrap();
    }
    flush_queue(&queue);
    assert_eq!(*collected.0.lock().unwrap(), b"first\nsecond\nthe cause\n");
}

/// Guards against a process that cannot exit because nobody reads its log.
#[test]
fn a_flush_does_not_wait_for_a_blocked_reader() {
    let (_release, held) = channel();
    let queue = start_writer(BlockedOutput { release: held }, Arc::default()).unwrap();
    let mut writer = QueueWriter { queue: queue.clone(), dropped: Arc::default() };
    writer.write_all(b"line\n").unwrap();
    let begun = Instant::now();
    flush_queue(&queue);
    assert!(begun.elapsed() < Duration::from_secs(2));
}
