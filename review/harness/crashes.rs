//! Workers crash, one at a time and seconds apart, under a task that lasts; each starts again.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::json::object;
use crate::record::Record;
use crate::site::{self, Site, poll};
use crate::worker::{History, Worker};

/// Workers, of which one at a time is down.
const WORKERS: usize = 10;

/// Number of crashes.
const CRASHES: usize = 5;

/// Time for which the task is at work before the next crash.
const WORK: Duration = Duration::from_secs(4);

/// Time from a crash until the worker starts again.
const DOWN: Duration = Duration::from_millis(1500);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let history: History = Arc::default();
    let site = Site::start(record, 1, None);
    let queues = vec![site::queue("q", "/q/", 1, 4)];
    if !site.configure(&site::configuration(1, queues)) {
        return Verdict::NotRun("the configuration was not acknowledged");
    }
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| {
            let address = (site.ip(50 + number), site::free_port()).into();
            let id = format!("i-{number:04x}");
            let capacity = (16_000, 32_768, 8);
            let controls = site.controls();
            Worker::start(&id, address, capacity, controls, record, &history, None, None)
        })
        .collect();
    thread::sleep(Duration::from_secs(3));

    let step = object([
        ("count", 1_u64.into()),
        ("cpu", 1000_u64.into()),
        ("mem-mb", 100_u64.into()),
        ("gpu", 1_u64.into()),
        ("estimate-ms", 60_000_u64.into()),
        ("long-running", true.into()),
    ]);
    let job = object([("spec", "lasting 1000 1".into()), ("steps", vec![step].into())]);
    let path = "/q/00000000000000a1";
    if !site.submit(path, &job) {
        return Verdict::NotRun("the job was not accepted");
    }
    let crashes = if trouble { CRASHES } else { 0 };
    for crash in 1..=crashes {
        let Some(id) = poll(Duration::from_secs(20), || at_work(&history)) else { break };
        thread::sleep(WORK);
        record.say(format!("crash {crash} of {CRASHES}, under the task on {id}"));
        let worker = workers.iter().find(|worker| worker.id == id).expect("one of the workers");
        worker.crash();
        thread::sleep(DOWN);
        worker.begin();
        _ = site.state(path);
    }
    if !trouble {
        thread::sleep(Duration::from_secs(20));
    }
    // The job has to be at work again.
    let begun = Instant::now();
    let mut state = None;
    while begun.elapsed() < Duration::from_secs(15) {
        state = site.state(path);
        thread::sleep(Duration::from_millis(500));
    }
    let failed = history.lock().unwrap().iter().any(|run| matches!(run.ended, Some((_, "failed"))));
    let works = at_work(&history).is_some();
    record.say(format!(
        "state at the end: {state:?}; at work: {works}; ends `failed` listed by workers: {failed}"
    ));
    site.keep_logs();
    match state.as_deref() {
        Some("failed" | "cancelled") if !failed => Verdict::Broken,
        Some("active" | "queued") => Verdict::Held,
        _ => Verdict::NotRun("the job's state could not be read"),
    }
}

/// Returns the worker on which the task is at work.
fn at_work(history: &Mutex<Vec<crate::worker::RunSpan>>) -> Option<String> {
    let history = history.lock().unwrap();
    history.iter().find(|run| run.ended.is_none()).map(|run| run.worker.clone())
}

