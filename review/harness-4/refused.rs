//! The leader freezes while jobs are handed in, and the operator removes their route meanwhile.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::{call, configuration, job, route};
use crate::record::Record;
use crate::site::{CONT, STOP, Site, order};
use crate::worker::{Deeds, Plan, Slot, Worker};
use crate::{sleep_ms, trouble};

const KEY: &str = "key-of-north";
const ROUNDS: u64 = 9;
/// Together they hand in 9 jobs a second: 2.2 times the traffic of the site, whose bursts go up to 2.3.
const CLIENTS: u64 = 9;
/// Each client hands a job in at this interval, all of them together.
const INTERVAL_MS: u64 = 1_000;
/// As long as the leader stands still in the site's own list of troubles.
const FROZEN_MS: u64 = 4_000;
/// Attempts of a client for one job: the first one and four retries.
const ATTEMPTS: u32 = 5;

/// Answers to a client's attempts, by job.
type Answers = Arc<Mutex<BTreeMap<String, Vec<u16>>>>;

pub fn play(record: &Record) -> bool {
    let mut site = Site::start(record, 2);
    let mut version = 1;
    let all = |from: u64| -> Vec<String> {
        (from..=ROUNDS).map(|n| route(&format!("audit-{n}"), 3_000)).collect()
    };
    site.wait("first configuration", Duration::from_secs(20), || {
        let body = configuration(version, &all(0), &[KEY]);
        let answer =
            site.order("POST", "/cactuslatch/Config.Replace", &body, Duration::from_secs(3));
        answer.filter(|(status, _)| *status == 200)
    });
    let deeds = Deeds::default();
    for number in 0..8 {
        let plan = Plan {
            id: format!("i-{number}"),
            machine: format!("m-{number}"),
            service: "pool".into(),
            rack: "r1-1".into(),
            cpu: 128_000,
            gpu: 8,
            hold_max_ms: 10_000,
            control: site.control(),
        };
        Worker::start(plan, &Slot::open([127, 0, 0, 1].into()), &deeds, record);
    }
    sleep_ms(5_000);
    let answers = Answers::default();
    for round in 0..ROUNDS {
        play_round(record, &site, round, &answers, &{
            version += 4;
            if trouble() {
                configuration(version, &all(round + 1), &[KEY])
            } else {
                configuration(version, &all(round), &[KEY])
            }
        });
    }
    // Tasks of accepted jobs begin within seconds.
    sleep_ms(8_000);
    let deeds = deeds.lock().unwrap().clone();
    let started: BTreeSet<String> = deeds
        .iter()
        .filter(|deed| deed.what == "started")
        .map(|deed| deed.task.split('.').next().unwrap().to_owned())
        .collect();
    let answers = answers.lock().unwrap().clone();
    let is_rejection = |status: &u16| [400, 401, 403, 404, 410, 413, 429, 503].contains(status);
    let refused = answers.iter().filter(|(_, answers)| answers.iter().all(is_rejection));
    let ran: Vec<_> = refused.clone().filter(|(id, _)| started.contains(*id)).collect();
    record.line(&format!(
        "{} jobs were handed in, {} were rejected at each attempt, {} of these ran",
        answers.len(),
        refused.count(),
        ran.len()
    ));
    for (id, answers) in &ran {
        record.line(&format!("rejected and run: {id}, answers {answers:?}"));
    }
    if !site.all_run() {
        record.line("a process of the system has ended");
    }
    !ran.is_empty()
}

fn sleep_to_next(base: Instant) {
    let passed = Instant::now().saturating_duration_since(base).as_millis() as u64;
    let next = base + Duration::from_millis((passed / INTERVAL_MS + 1) * INTERVAL_MS);
    thread::sleep(next.saturating_duration_since(Instant::now()));
}

fn play_round(record: &Record, site: &Site, round: u64, answers: &Answers, change: &str) {
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    let base = Instant::now() + Duration::from_millis(50);
    for client in 0..CLIENTS {
        let front = site.frontend(client as usize);
        let (stop, number, answers) = (Arc::clone(&stop), Arc::clone(&number), Arc::clone(answers));
        let record = record.clone();
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                sleep_to_next(base);
                let id =
                    format!("{:016x}", (round + 1) << 32 | number.fetch_add(1, Ordering::Relaxed));
                let path = format!("/audit-{round}/{id}");
                for _ in 0..ATTEMPTS {
                    let answer = call(front, "POST", &path, KEY, &job(1, 100, 50));
                    let status = answer.map_or(0, |(status, _)| status);
                    record.line(&format!("client: POST {path}: {status}"));
                    answers.lock().unwrap().entry(id.clone()).or_default().push(status);
                    match status {
                        0 | 502 | 504 => sleep_ms(200),
                        429 | 503 => sleep_ms(1_000),
                        _ => break,
                    }
                }
            }
        }));
    }
    sleep_ms(1_500);
    let leader = site.wait("leader", Duration::from_secs(10), || site.leader());
    sleep_to_next(base);
    // A submission is in the log for 1 to 2 ms here, and for 40 ms and more over the links of the site.
    thread::sleep(Duration::from_micros(400 + 250 * round));
    if trouble() {
        site.signal(leader, STOP);
    }
    let frozen = Instant::now();
    sleep_ms(400 + 100 * round);
    // The operator knows of no leader: it tries the nodes in turn.
    let mut control = site.control();
    control.rotate_left((leader + 1) % crate::site::CONTROL);
    order(&control, record, "POST", "/cactuslatch/Config.Replace", change, Duration::from_secs(10));
    sleep_ms(1_000);
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(FROZEN_MS).saturating_sub(frozen.elapsed()));
    if trouble() {
        site.signal(leader, CONT);
    }
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    // Longer than contact-ms, so that each freeze is one by itself.
    sleep_ms(5_000);
}
