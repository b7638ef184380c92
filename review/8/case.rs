//! A worker leaves, and just after it has said so it is cut off with refused connections. It gets no
//! acknowledgement and so runs on for some seconds. Its tasks may not be started elsewhere meanwhile.
#[path = "../harness-2/kit.rs"]
mod kit;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;

use kit::{Link, Record, Site, Worker, configuration, finish, sleep_ms, trouble};

/// One of them leaves: a share of 0.0625.
const WORKERS: usize = 16;
const TASKS: usize = 24;
const WORK_MS: u64 = 25_000;
/// One way between regions, as the deployment sheets say.
const DELAY_MS: u64 = 20;
/// Below `stop-timeout-ms`, 900.
const STOP_MS: u64 = 700;
/// From the leave until the cut, and the length of the cut.
const CUT_AFTER_MS: u64 = 200;
const CUT_MS: u64 = 4_000;
const JOB: &str = "/base/00000000000000aa";

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
    let need = [4_000, 4_000, 0];
    let workers: Vec<_> = (1..=WORKERS)
        .map(|n| {
            let id = format!("w-{n}");
            let capacity = [128_000, 524_288, 8];
            let worker =
                Worker::start(&id, capacity, need, site.controls(), &events, &record, Some(&link));
            worker.stop_ms.store(STOP_MS, Ordering::Relaxed);
            worker
        })
        .collect();
    site.configure(&configuration(1, &[("r-base".to_owned(), "/base/".to_owned(), 1)]));
    sleep_ms(2_500);
    site.submit(
        JOB,
        &format!(
            "{{\"spec\":\"{WORK_MS}\",\"steps\":[{{\"count\":{TASKS},\"cpu\":4000,\"mem-mb\":4000,\
             \"estimate-ms\":{WORK_MS}}}]}}"
        ),
    );
    let running = || workers.iter().map(Worker::running).collect::<Vec<_>>();
    for _ in 0..200 {
        if running().iter().sum::<usize>() == TASKS {
            break;
        }
        sleep_ms(20);
    }
    record.tell(&format!("tasks at work on each worker: {:?}", running()));
    let busiest = (0..WORKERS).max_by_key(|n| running()[*n]).unwrap();
    if running()[busiest] == 0 {
        kit::cannot("no task was started");
    }
    let worker = workers[busiest].clone();
    let cut = links.lock().unwrap()[busiest].clone();
    let leader = site.leader();
    worker.drain(&[site.control(leader)]);
    // `drain-ms` and a little longer.
    sleep_ms(3_000);
    let (leaving, link, control) = (worker.clone(), cut.clone(), site.control(leader));
    let left = thread::spawn(move || leaving.leave(control, &link));
    if trouble() {
        sleep_ms(CUT_AFTER_MS);
        record.say(&format!("worker {} is cut off from all machines; connections are refused", worker.id));
        worker.cut_off.store(true, Ordering::Relaxed);
        cut.set_refuses(true);
        sleep_ms(CUT_MS);
        record.say("the cut has healed");
    }
    _ = left.join();
    sleep_ms(4_000);
    let events = events.lock().unwrap().clone();
    // Runs of one task on two workers that are both up.
    let mut open: HashMap<String, Vec<String>> = HashMap::new();
    let mut twice = Vec::new();
    // Longest time for which two runs of a task overlap.
    let mut overlap_ms = 0;
    for (number, event) in events.iter().enumerate() {
        let at = open.entry(event.task.clone()).or_default();
        if event.what == "start" {
            if at.iter().any(|worker| *worker != event.worker) {
                twice.push(format!("{} on {} and {}", event.task, at[0], event.worker));
                let is_end = |e: &&kit::Event| e.task == event.task && e.what != "start";
                if let Some(end) = events[number..].iter().find(is_end) {
                    overlap_ms = overlap_ms.max((end.at - event.at).as_millis());
                }
            }
            at.push(event.worker.clone());
        } else {
            at.retain(|worker| *worker != event.worker);
        }
    }
    let starts = events.iter().filter(|e| e.what == "start").count();
    record.tell(&format!("{starts} starts of {TASKS} tasks; {} began while the task ran elsewhere, for up to {overlap_ms} ms", twice.len()));
    let broken = (!twice.is_empty())
        .then(|| format!("TWICE: two runs at the same time of {} tasks, such as {}", twice.len(), twice[0]));
    finish(&record, broken)
}
