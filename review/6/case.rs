//! Jobs that are to run many times are accepted. The platform kills a process that uses more memory
//! than its limit, and starts it again; the accepted jobs have to stay known, and control has to go on.
#[path = "../harness-2/kit.rs"]
mod kit;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use kit::{CONTROL, Record, Site, Worker, configuration, finish, sleep_ms, trouble, unix_ms};

const JOBS: u64 = 36;
const TASKS: u64 = 2;
/// Every quarter of an hour for a year; as many times as the site's own jobs without the disruption.
const TIMES_MANY: u64 = 35_040;
const TIMES_FEW: u64 = 8;
/// `memory-mb` of core machines.
const MEMORY_MB: u64 = 256;
const RESTART_MS: u64 = 500;
/// `finish_s`, and some time for the answers.
const FINISH_MS: u64 = 14_000;

/// Memory that belongs to the process alone, without the pages of its program file.
fn memory_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok()).unwrap_or(0) / 1024
}

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("the path of the record"));
    let site = Arc::new(Site::new(&record));
    site.start_all(1);
    let events = kit::Events::default();
    let _workers: Vec<_> = (1..=6)
        .map(|n| {
            let id = format!("w-{n}");
            Worker::start(&id, [128_000, 524_288, 8], [100, 100, 0], site.controls(), &events, &record, None)
        })
        .collect();
    site.configure(&configuration(1, &[("r-base".to_owned(), "/base/".to_owned(), 1)]));
    sleep_ms(2_500);
    site.submit(
        "/base/00000000000000ff",
        "{\"spec\":\"100\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem-mb\":100,\"estimate-ms\":100}]}",
    );

    // The platform: kills a process over its limit and starts it again.
    let kills: Arc<Vec<AtomicU64>> = Arc::new((0..CONTROL).map(|_| AtomicU64::new(0)).collect());
    let peak = Arc::new(AtomicU64::new(0));
    let ends: Arc<AtomicBool> = Arc::default();
    let platform: Vec<_> = (0..CONTROL)
        .map(|host| {
            let (site, kills, peak, ends) =
                (Arc::clone(&site), Arc::clone(&kills), Arc::clone(&peak), Arc::clone(&ends));
            thread::spawn(move || {
                while !ends.load(Ordering::Relaxed) {
                    let used = memory_mb(site.pid(host));
                    peak.fetch_max(used, Ordering::Relaxed);
                    if used > MEMORY_MB {
                        site.record.say(&format!("platform: host {host} uses {used} MB, over its limit of {MEMORY_MB}"));
                        kills[host].fetch_add(1, Ordering::Relaxed);
                        site.signal(host, "KILL");
                        sleep_ms(RESTART_MS);
                        site.start(host, false);
                    }
                    sleep_ms(20);
                }
            })
        })
        .collect();

    let times = if trouble() { TIMES_MANY } else { TIMES_FEW };
    let first_ms = unix_ms() + 600_000;
    let mut accepted = Vec::new();
    let mut in_vain = 0;
    for number in 0..JOBS {
        let path = format!("/base/{:016x}", 0xb00 + number);
        let body = format!(
            "{{\"spec\":\"100\",\"repeat-count\":{times},\"first-run-ms\":{first_ms},\"interval-ms\":900000,\
             \"steps\":[{{\"count\":{TASKS},\"cpu\":100,\"mem-mb\":100,\"estimate-ms\":60000}}]}}"
        );
        let status = site.client(0, "POST", &path, &body).map(|a| a.0);
        let used: Vec<_> = (0..CONTROL).map(|host| memory_mb(site.pid(host))).collect();
        record.say(&format!("client: POST {path} -> {status:?}; MB of the control hosts: {used:?}"));
        if status == Some(200) {
            accepted.push(path);
        } else {
            in_vain += 1;
        }
        if in_vain == 3 {
            break;
        }
        sleep_ms(250);
    }
    record.tell(&format!("{} jobs were accepted", accepted.len()));
    // `finish_s` after the end of the traffic the jobs are asked for, each until it is known.
    sleep_ms(FINISH_MS);
    let mut unknown = accepted.clone();
    unknown.truncate(6);
    for _ in 0..8 {
        unknown.retain(|path| {
            let state = site.state(path);
            site.record.say(&format!("client: GET {path} -> {state}"));
            state != "queued" && state != "active"
        });
        if unknown.is_empty() {
            break;
        }
        unknown.truncate(2);
        sleep_ms(500);
    }
    ends.store(true, Ordering::Relaxed);
    for thread in platform {
        _ = thread.join();
    }
    let kills: Vec<_> = kills.iter().map(|kills| kills.load(Ordering::Relaxed)).collect();
    let peak = peak.load(Ordering::Relaxed);
    record.tell(&format!("control hosts were over their limit {kills:?} times; peak {peak} MB"));
    let hosts_ended = kills.iter().filter(|kills| **kills >= 3).count();
    let no_answer = if unknown.is_empty() {
        String::new()
    } else {
        format!("; LOST: accepted jobs get no answer: {}", unknown.join(" "))
    };
    let broken = (hosts_ended * 2 >= CONTROL).then(|| {
        format!("Fault: {hosts_ended} of {CONTROL} control hosts ended three times by themselves{no_answer}")
    });
    finish(&record, broken)
}
