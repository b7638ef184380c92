//! Jobs are accepted just after a worker was cut off, and are placed there. They cannot begin while the
//! cut lasts. The queue's count of jobs that have not begun has to tell of them.
#[path = "../harness-2/kit.rs"]
mod kit;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Instant;

use kit::{J, Link, Record, Site, Worker, configuration, finish, sleep_ms, trouble};

const WORKERS: usize = 6;
const JOBS: usize = 8;
/// The longest cut of workers on the site.
const CUT_MS: u64 = 5_500;
/// `visible_ms` and 2 s.
const VISIBLE_MS: u64 = 3_000 + 2_000;

fn job(ms: u64) -> String {
    format!("{{\"spec\":\"{ms}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem-mb\":1000,\"estimate-ms\":{ms}}}]}}")
}

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("the path of the record"));
    let site = Site::new(&record);
    site.start_all(1);
    let events = kit::Events::default();
    let links: Mutex<Vec<Link>> = Mutex::default();
    let link = |target: SocketAddr| {
        let link = Link::new("127.0.0.1:0".parse().unwrap(), target, 0);
        let address = link.address;
        links.lock().unwrap().push(link);
        address
    };
    let workers: Vec<_> = (1..=WORKERS)
        .map(|n| {
            let id = format!("w-{n}");
            let capacity = [128_000, 524_288, 8];
            Worker::start(&id, capacity, [1_000, 1_000, 0], site.controls(), &events, &record, Some(&link))
        })
        .collect();
    let route = |name: &str| (format!("r-{name}"), format!("/{name}/"), 1);
    site.configure(&configuration(1, &[route("base"), route("check")]));
    sleep_ms(2_500);
    // Work on one worker, to which further small jobs go.
    site.submit("/base/00000000000000ff", &job(60_000));
    sleep_ms(1_500);
    let busiest = (0..WORKERS).max_by_key(|n| workers[*n].running()).unwrap();
    let cut = links.lock().unwrap()[busiest].clone();
    if trouble() {
        record.say(&format!("worker w-{} is cut off silently", busiest + 1));
        workers[busiest].cut_off.store(true, Ordering::Relaxed);
        cut.set_cut(true);
    }
    let cut_at = Instant::now();
    let mut accepted = Vec::new();
    for n in 0..JOBS {
        let id = format!("{:016x}", 0xa0 + n);
        let status = site.client(0, "POST", &format!("/check/{id}"), &job(2_000)).map(|a| a.0);
        record.say(&format!("client: POST /check/{id} -> {status:?}"));
        if status == Some(200) {
            accepted.push((id, Instant::now()));
        }
    }
    record.tell(&format!("{} jobs were accepted within {} ms of the cut", accepted.len(), cut_at.elapsed().as_millis()));
    let mut broken = None;
    let mut worst = 0;
    let mut times = 0;
    let mut healed = false;
    // The count is asked for until 2 s after the cut.
    while cut_at.elapsed().as_millis() as u64 + 100 < CUT_MS + 2_000 {
        if !healed && cut_at.elapsed().as_millis() as u64 >= CUT_MS {
            cut.set_cut(false);
            workers[busiest].cut_off.store(false, Ordering::Relaxed);
            record.say("the cut has healed");
            healed = true;
        }
        // Jobs that were accepted so long ago and have not begun when the answer has come.
        let asked = Instant::now();
        let old: Vec<_> = accepted
            .iter()
            .filter(|(_, at)| (asked - *at).as_millis() as u64 > VISIBLE_MS)
            .map(|(id, _)| id.clone())
            .collect();
        let answer = site.client(0, "GET", "/check/", "");
        let begun = events.lock().unwrap().clone();
        let waiting = old
            .iter()
            .filter(|id| !begun.iter().any(|e| e.what == "start" && e.task.starts_with(id.as_str())))
            .count() as u64;
        if let Some((200, body)) = answer {
            let pending = J::parse(&body).and_then(|b| b.get("pending").u64()).unwrap_or(0);
            record.say(&format!("client: GET /check/ -> pending {pending}; {waiting} jobs wait for over {VISIBLE_MS} ms"));
            if pending * 2 < waiting {
                times += 1;
                if waiting > worst {
                    worst = waiting;
                    broken = Some(format!(
                        "MIXED: pending is {pending}, and {waiting} jobs that were accepted over {VISIBLE_MS} ms before have not begun"
                    ));
                }
            }
        }
        sleep_ms(50);
    }
    let begun = events.lock().unwrap().iter().filter(|e| e.what == "start" && !e.task.ends_with("ff.0.0.0")).count();
    record.tell(&format!("{times} answers broke the rule"));
    record.tell(&format!("{begun} starts of the {} jobs by 2 s after the cut", accepted.len()));
    if accepted.len() < JOBS {
        kit::cannot("not all jobs were accepted");
    }
    finish(&record, broken)
}
