//! A worker under a task that lasts crashes and does not come back.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::json::object;
use crate::record::Record;
use crate::site::{self, Site, poll};
use crate::worker::{History, RunSpan, Worker};

/// Workers, of which one crashes.
const WORKERS: usize = 10;

/// Longest time without a run: 3 s, counted from 6 s after the last run on.
const GAP: Duration = Duration::from_secs(9);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let history = History::default();
    let site = Site::start(record, 1, None);
    let queues = vec![site::queue("q", "/q/", 1, 4)];
    if !site.configure(&site::configuration(1, queues)) {
        return Verdict::NotRun("the configuration was not acknowledged");
    }
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| {
            let address = (site.ip(50 + number), site::free_port()).into();
            let (id, capacity) = (format!("i-{number:04x}"), (16_000, 32_768, 8));
            Worker::start(&id, address, capacity, site.controls(), record, &history, None, None)
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let step = object([
        ("count", 1_u64.into()),
        ("cpu", 1000_u64.into()),
        ("mem-mb", 100_u64.into()),
        ("gpu", 1_u64.into()),
        ("estimate-ms", 60_000_u64.into()),
        ("long-running", true.into()),
    ]);
    let job = object([("spec", "lasting 1000 1".into()), ("steps", vec![step].into())]);
    if !site.submit("/q/00000000000000a2", &job) {
        return Verdict::NotRun("the job was not accepted");
    }
    let Some(id) = poll(Duration::from_secs(5), || at_work(&history)) else {
        return Verdict::NotRun("the task did not begin");
    };
    thread::sleep(Duration::from_secs(5));
    let crashed_at = Instant::now();
    if trouble {
        let worker = workers.iter().find(|worker| worker.id == id).expect("one of the workers");
        worker.crash();
        record.say(format!("{id}, on which the task is at work, crashes for good"));
    }
    let again = poll(Duration::from_secs(40), || at_work(&history));
    let after = crashed_at.elapsed();
    record.say(format!("the task is at work again after {} ms: {again:?}", after.as_millis()));
    site.keep_logs();
    if after > GAP { Verdict::Broken } else { Verdict::Held }
}

/// Returns the worker on which the task is at work.
fn at_work(history: &Mutex<Vec<RunSpan>>) -> Option<String> {
    let history = history.lock().unwrap();
    history.iter().find(|run| run.ended.is_none()).map(|run| run.worker.clone())
}
