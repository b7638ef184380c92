//! Routes are removed, one by one, while a client hands in a job to each of them.

use std::collections::HashSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::json::{Json, object};
use crate::record::Record;
use crate::site::{self, Site};
use crate::worker::{History, Worker};

/// Routes that are removed, each in a configuration of its own.
const ROUTES: u64 = 40;

const WORKERS: usize = 6;

/// Time between two configurations.
const PAUSE: Duration = Duration::from_millis(350);

/// Time after the last job in which all accepted jobs have to begin; `finish_s` is 14.
const FINISH: Duration = Duration::from_secs(20);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let history: History = Arc::default();
    let site = Site::start(record, 1, None);
    let queues = |removed: u64| {
        let left = (removed + 1..=ROUTES).map(|number| {
            site::queue(&format!("q{number}"), &format!("/q{number}/"), 1, 4)
        });
        let kept = std::iter::once(site::queue("kept", "/kept/", 1, 4));
        kept.chain(left).collect::<Vec<_>>()
    };
    if !site.configure(&site::configuration(1, queues(0))) {
        return Verdict::NotRun("the configuration was not acknowledged");
    }
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| {
            let address = (site.ip(50 + number), site::free_port()).into();
            let id = format!("i-{number:04x}");
            let capacity = (64_000, 131_072, 8);
            let controls = site.controls();
            Worker::start(&id, address, capacity, controls, record, &history, None, None)
        })
        .collect();
    thread::sleep(Duration::from_secs(4));

    // One job before anything changes shows that the pool works.
    if !site.submit("/kept/00000000000000ff", &job()) {
        return Verdict::NotRun("the first job was not accepted");
    }
    let mut accepted: Vec<(String, u64)> = Vec::new();
    let mut answers: Vec<u16> = Vec::new();
    for route in 1..=ROUTES {
        // A new version without the route, or one that leaves all routes as they are.
        let version = route + 1;
        let removed = if trouble { route } else { 0 };
        let configuration = site::configuration(version, queues(removed)).to_string();
        let control = site.control(0);
        record.note(format!("send configuration {version} without the routes up to q{removed}"));
        let noted = record.clone();
        let operator = thread::spawn(move || {
            let path = "/cactuslatch/Config.Replace";
            let limit = Duration::from_secs(1);
            let sent = http::call(control, "POST", path, &[], &configuration, limit);
            let status = sent.map(|(status, _)| status).map_err(|fault| fault.to_string());
            noted.note(format!("configuration {version}: {status:?}"));
        });
        // The client hands its job in at about the same time, 0 to 2.8 ms later.
        thread::sleep(Duration::from_micros(route % 8 * 400));
        let id = format!("{route:016x}");
        if let Some((status, _)) =
            site.ask(0, "POST", &format!("/q{route}/{id}"), &job().to_string())
        {
            answers.push(status);
            if status == 200 {
                accepted.push((id, route));
            }
        }
        _ = operator.join();
        thread::sleep(PAUSE);
    }
    let count = |status: u16| answers.iter().filter(|known| **known == status).count();
    record.say(format!(
        "{} jobs handed in: {} accepted with 200, {} refused with 404",
        answers.len(),
        count(200),
        count(404)
    ));

    let begun = Instant::now();
    let mut waiting = accepted.clone();
    while begun.elapsed() < FINISH && !waiting.is_empty() {
        thread::sleep(Duration::from_millis(100));
        let history = history.lock().unwrap();
        let started: HashSet<&str> =
            history.iter().map(|run| run.task.split('.').next().unwrap_or_default()).collect();
        waiting.retain(|(id, _)| !started.contains(id.as_str()));
    }
    // The pool is idle: a job that is handed in now begins at once.
    let after = "00000000000000fe";
    let served = site.submit(&format!("/kept/{after}"), &job())
        && site::poll(Duration::from_secs(5), || {
            let history = history.lock().unwrap();
            history.iter().any(|run| run.task.starts_with(after)).then_some(())
        })
        .is_some();
    for (id, route) in &waiting {
        let state = site.state(&format!("/kept/{id}"));
        record.say(format!("job {id} of route q{route} was accepted and never began: {state:?}"));
    }
    record.say(format!("a job handed in afterwards began: {served}"));
    site.keep_logs();
    for worker in workers {
        worker.crash();
    }
    match (answers.is_empty() || !served, waiting.is_empty()) {
        (true, _) => Verdict::NotRun("the pool did not work"),
        (false, true) => Verdict::Held,
        (false, false) => Verdict::Broken,
    }
}

fn job() -> Json {
    let step = object([
        ("count", 1_u64.into()),
        ("cpu", 1000_u64.into()),
        ("mem-mb", 100_u64.into()),
        ("gpu", 1_u64.into()),
        ("estimate-ms", 500_u64.into()),
    ]);
    object([("spec", "500 1000 1".into()), ("steps", vec![step].into())])
}
