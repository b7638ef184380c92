//! The log under floods and with a reader that does not read.

use std::io::{self, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tracing_subscriber::Layer;
use tracing_subscriber::layer::SubscriberExt;

use super::{
    Budget, Dropped, LINES_PER_KIND_AND_SECOND, QUEUE_LINES, Writer, flush_lines, start_writer,
};

/// An output that blocks until it is released.
struct Blocked {
    release: Receiver<()>,
}

impl Write for Blocked {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // A closed channel releases the writer, too.
        _ = self.release.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A reader that stops reading must not stop the work; what cannot be written is counted.
#[test]
fn a_blocked_reader_blocks_nothing() {
    let (_release, held) = channel();
    let dropped = Arc::new(Dropped::default());
    let lines = start_writer(Blocked { release: held }, Arc::clone(&dropped)).unwrap();
    let mut writer = Writer { lines, dropped: Arc::clone(&dropped) };
    let begun = Instant::now();
    for _ in 0..QUEUE_LINES + 500 {
        writer.write_all(b"line\n").unwrap();
    }
    assert!(begun.elapsed() < Duration::from_secs(2));
    assert!(dropped.queue_full.load(Ordering::Relaxed) >= 499);
}

/// Lines that are kept for a look at them.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A flood of one kind of line is cut at its budget and hides no other kind.
#[test]
fn a_flood_of_one_kind_hides_no_other() {
    let kept = Kept::default();
    let out = kept.clone();
    let dropped = Arc::new(Dropped::default());
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .with_writer(move || out.clone())
        .with_filter(Budget::new(Arc::clone(&dropped)));
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::with_default(subscriber, || {
        for number in 0..LINES_PER_KIND_AND_SECOND + 300 {
            tracing::info!(number, "flood");
        }
        tracing::info!("other");
    });
    let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
    let floods = text.lines().filter(|line| line.contains("flood")).count();
    assert_eq!(floods, LINES_PER_KIND_AND_SECOND as usize);
    assert_eq!(text.lines().filter(|line| line.contains("other")).count(), 1);
    assert_eq!(dropped.over_budget.load(Ordering::Relaxed), 300);
}

/// An output that takes its time.
struct Slow(Kept);

impl Write for Slow {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(20));
        self.0.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that ends before the line with the cause of its end is written.
#[test]
fn a_flush_waits_for_the_last_line() {
    let kept = Kept::default();
    let lines = start_writer(Slow(kept.clone()), Arc::default()).unwrap();
    let mut writer = Writer { lines: lines.clone(), dropped: Arc::default() };
    for line in ["first\n", "second\n", "the cause\n"] {
        writer.write_all(line.as_bytes()).unwrap();
    }
    flush_lines(&lines);
    assert_eq!(*kept.0.lock().unwrap(), b"first\nsecond\nthe cause\n");
}

/// Guards against a process that cannot end because nobody reads its log.
#[test]
fn a_flush_does_not_wait_for_a_blocked_reader() {
    let (_release, held) = channel();
    let lines = start_writer(Blocked { release: held }, Arc::default()).unwrap();
    let mut writer = Writer { lines: lines.clone(), dropped: Arc::default() };
    writer.write_all(b"line\n").unwrap();
    let begun = Instant::now();
    flush_lines(&lines);
    assert!(begun.elapsed() < Duration::from_secs(2));
}
