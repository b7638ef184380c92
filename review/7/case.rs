//! A worker that runs many small tasks is cut off for a few seconds, in which they end. Its lists show
//! 500 ends at a time. None of the tasks that are done may be started again.
#[path = "../harness-2/kit.rs"]
mod kit;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Instant;

use kit::{Link, Record, Site, Worker, configuration, finish, sleep_ms, trouble};

const WORKERS: usize = 6;
/// Jobs that are submitted one after the other, and the tasks of each.
const JOBS: usize = 6;
const TASKS_OF_JOB: usize = 150;
const TASKS: usize = JOBS * TASKS_OF_JOB;
/// When the tasks of all jobs end, from the first submission on.
const ALL_END_MS: u64 = 25_000;
/// One way between regions, as the deployment sheets say.
const DELAY_MS: u64 = 20;
const CUT_MS: u64 = 5_000;

fn path(job: usize) -> String {
    format!("/base/{:016x}", 0xa0 + job)
}

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("the path of the record"));
    let site = Site::new(&record);
    site.start_all(1);
    let events = kit::Events::default();
    let links: Mutex<Vec<Link>> = Mutex::default();
    let link = |target: SocketAddr| {
        let link = Link::new("127.0.0.1:0".parse().unwrap(), target, DELAY_MS);
        let address = link.address;
        links.lock().unwrap().push(link);
        address
    };
    let need = [100, 400, 0];
    let workers: Vec<_> = (1..=WORKERS)
        .map(|n| {
            let id = format!("w-{n}");
            let capacity = [128_000, 524_288, 8];
            Worker::start(&id, capacity, need, site.controls(), &events, &record, Some(&link))
        })
        .collect();
    site.configure(&configuration(1, &[("r-base".to_owned(), "/base/".to_owned(), 1)]));
    sleep_ms(2_500);
    let running = || workers.iter().map(Worker::running).collect::<Vec<_>>();
    let begun = Instant::now();
    let left_ms = || ALL_END_MS.saturating_sub(begun.elapsed().as_millis() as u64);
    for job in 0..JOBS {
        let work_ms = left_ms();
        site.submit(
            &path(job),
            &format!(
                "{{\"spec\":\"{work_ms}\",\"steps\":[{{\"count\":{TASKS_OF_JOB},\"cpu\":100,\"mem-mb\":400,\
                 \"estimate-ms\":{work_ms}}}]}}"
            ),
        );
        while running().iter().sum::<usize>() < (job + 1) * TASKS_OF_JOB && left_ms() > 2_000 {
            sleep_ms(20);
        }
    }
    let all = running().iter().sum::<usize>() == TASKS;
    record.tell(&format!("tasks at work on each worker: {:?}", running()));
    if !all {
        kit::cannot("not all tasks were started while none had ended");
    }
    let busiest = (0..WORKERS).max_by_key(|n| running()[*n]).unwrap();
    let (mut cut_from, mut cut_to) = (Instant::now(), Instant::now());
    if trouble() {
        // The tasks of this worker end while it is cut off; its lease is longer than that.
        while left_ms() > 1_000 {
            sleep_ms(10);
        }
        record.say(&format!("worker w-{} is cut off from the control hosts", busiest + 1));
        cut_from = Instant::now();
        workers[busiest].cut_off.store(true, Ordering::Relaxed);
        links.lock().unwrap()[busiest].set_cut(true);
        sleep_ms(CUT_MS);
        links.lock().unwrap()[busiest].set_cut(false);
        workers[busiest].cut_off.store(false, Ordering::Relaxed);
        cut_to = Instant::now();
        record.say("the cut has healed");
    }
    let states = || (0..JOBS).map(|job| site.state(&path(job))).collect::<Vec<_>>();
    for _ in 0..400 {
        if states().iter().all(|state| state == "completed") {
            break;
        }
        sleep_ms(100);
    }
    sleep_ms(2_000);
    let state = states().join(" ");
    let noted = workers[busiest].last_seen();
    let ends = workers[busiest].ends();
    if trouble() {
        let events = events.lock().unwrap();
        let ended = |e: &&kit::Event| e.what == "done" && e.worker == workers[busiest].id && e.at >= cut_from && e.at <= cut_to;
        let in_cut = events.iter().filter(ended).count();
        record.tell(&format!("{in_cut} tasks of worker w-{} ended during the cut", busiest + 1));
    }
    record.tell(&format!("the jobs are {state}; worker w-{}: {ends} ends, noted up to {noted}", busiest + 1));
    let events = events.lock().unwrap().clone();
    if events.iter().any(|e| e.what == "lapsed") {
        kit::cannot("a lease has lapsed");
    }
    // The number of an end that was `done`, by task: the ends of a worker are numbered from 1.
    let mut numbers: HashMap<String, u64> = HashMap::new();
    let mut done: HashMap<String, (String, u64)> = HashMap::new();
    let mut twice = Vec::new();
    for event in &events {
        if event.what == "start" {
            if let Some((worker, number)) = done.get(&event.task) {
                let worker_number: usize = worker[2..].parse().unwrap();
                if workers[worker_number - 1].last_seen() >= *number {
                    twice.push(event.task.clone());
                }
            }
            continue;
        }
        let number = numbers.entry(event.worker.clone()).or_default();
        *number += 1;
        if event.what == "done" {
            done.entry(event.task.clone()).or_insert((event.worker.clone(), *number));
        }
    }
    record.tell(&format!("{} of {TASKS} tasks were started again after they were done", twice.len()));
    let broken = (!twice.is_empty()).then(|| {
        format!("TWICE: {} tasks were started after a run had ended done, such as {}", twice.len(), twice[0])
    });
    finish(&record, broken)
}
