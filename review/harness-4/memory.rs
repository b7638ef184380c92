//! Many jobs that are due later are accepted; the platform kills a process that takes too much memory.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::{call, configuration, route, state};
use crate::record::Record;
use crate::site::{CONTROL, CORE_MEMORY_MB, Site};
use crate::worker::{Deeds, Plan, Slot, Worker};
use crate::{sleep_ms, trouble, unix_ms};

const KEY: &str = "key-of-north";
/// Together they hand in 4 jobs a second, as the traffic of the site does.
const CLIENTS: u32 = 8;
const EACH: Duration = Duration::from_secs(2);
/// Attempts of a client for one job: the first one and four retries.
const ATTEMPTS: u32 = 5;
/// So many that a job stays below `max-body-bytes`, 262,144.
const STEPS: u32 = 1_300;
const HANDING_IN: Duration = Duration::from_secs(60);
/// finish_s of the site.
const FINISH: Duration = Duration::from_secs(14);
/// For so long each job is asked for again while there is no answer.
const ASKING: Duration = Duration::from_secs(25);

pub fn play(record: &Record) -> bool {
    let site = Site::start(record, 2);
    site.wait("first configuration", Duration::from_secs(20), || {
        let body = configuration(1, &[route("audit", 3_000)], &[KEY]);
        let answer =
            site.order("POST", "/cactuslatch/Config.Replace", &body, Duration::from_secs(3));
        answer.filter(|(status, _)| *status == 200)
    });
    let deeds = Deeds::default();
    for number in 0..4 {
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
    sleep_ms(4_000);
    let fronts = [site.frontend(0), site.frontend(1)];
    let site = Arc::new(Mutex::new(site));
    let stop = Arc::new(AtomicBool::new(false));
    let kills = Arc::new(Mutex::new([0_u32; CONTROL]));
    let platform = {
        let (site, stop, kills, record) =
            (Arc::clone(&site), Arc::clone(&stop), Arc::clone(&kills), record.clone());
        thread::spawn(move || guard_memory(&site, &stop, &kills, &record))
    };
    let accepted = hand_in(record, &fronts);
    thread::sleep(FINISH);
    record.line("the jobs are asked for");
    let asking = Instant::now();
    let mut unanswered = accepted.clone();
    while !unanswered.is_empty() && asking.elapsed() < ASKING {
        // A few at a time, in turn, each with its deadline.
        let asked: Vec<String> = unanswered.iter().take(40).cloned().collect();
        let answers: Vec<_> = asked
            .iter()
            .enumerate()
            .map(|(number, path)| {
                let (front, path) = (fronts[number % 2], path.clone());
                thread::spawn(move || (state(front, &path, KEY), path))
            })
            .collect();
        for answer in answers {
            let (shown, path) = answer.join().unwrap();
            if shown == "queued" {
                unanswered.retain(|known| *known != path);
            } else {
                record.line(&format!("client: GET {path}: {shown}"));
            }
        }
        let next = asked.len().min(unanswered.len());
        unanswered.rotate_left(next);
    }
    stop.store(true, Ordering::Relaxed);
    platform.join().unwrap();
    let kills = *kills.lock().unwrap();
    record.line(&format!(
        "{} jobs were accepted, {} of them got no answer in {ASKING:?}; control hosts were killed for \
         their memory {kills:?} times",
        accepted.len(),
        unanswered.len()
    ));
    !unanswered.is_empty()
}

/// The platform kills a process that uses more than `memory-mb`, and starts it again after a short delay.
fn guard_memory(
    site: &Mutex<Site>,
    stop: &AtomicBool,
    kills: &Mutex<[u32; CONTROL]>,
    record: &Record,
) {
    let mut back: Vec<(Instant, usize)> = Vec::new();
    let mut peaks = [0; CONTROL];
    while !stop.load(Ordering::Relaxed) {
        let mut site = site.lock().unwrap();
        for host in 0..CONTROL {
            let Some(bytes) = site.memory_bytes(host) else { continue };
            peaks[host] = peaks[host].max(bytes);
            if bytes > CORE_MEMORY_MB * 1024 * 1024 {
                record.line(&format!("host {host} takes {} MB", bytes / 1024 / 1024));
                site.kill(host);
                kills.lock().unwrap()[host] += 1;
                back.push((Instant::now() + Duration::from_millis(500), host));
            }
        }
        let due: Vec<usize> =
            back.iter().filter(|(at, _)| Instant::now() >= *at).map(|(_, host)| *host).collect();
        back.retain(|(_, host)| !due.contains(host));
        for host in due {
            site.start_process(host, false);
        }
        drop(site);
        sleep_ms(2);
    }
    let peaks = peaks.map(|bytes| bytes / 1024 / 1024);
    record.line(&format!("largest memory of the control hosts in MB: {peaks:?}"));
}

/// Hands jobs in that are due tomorrow, at the rate of the site's traffic.
fn hand_in(record: &Record, fronts: &[std::net::SocketAddr; 2]) -> Vec<String> {
    let body = Arc::new(body(if trouble() { STEPS } else { 3 }));
    record.line(&format!("a job has {} bytes", body.len()));
    let refused = Arc::new(AtomicU64::new(0));
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = fronts[client as usize % 2];
            let (refused, accepted, body, record) =
                (Arc::clone(&refused), Arc::clone(&accepted), Arc::clone(&body), record.clone());
            thread::spawn(move || {
                for number in 0.. {
                    let due = began + EACH * number + EACH * client / CLIENTS;
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    if began.elapsed() > HANDING_IN {
                        return;
                    }
                    let path = format!("/audit/{:08x}{number:08x}", 0xc000_0000_u32 + client);
                    for _ in 0..ATTEMPTS {
                        let status = call(front, "POST", &path, KEY, &body).map_or(0, |a| a.0);
                        record.line(&format!("client: POST {path}: {status}"));
                        match status {
                            200 => {
                                accepted.lock().unwrap().push(path);
                                break;
                            }
                            429 => {
                                refused.fetch_add(1, Ordering::Relaxed);
                                break;
                            }
                            _ => sleep_ms(200),
                        }
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let accepted = accepted.lock().unwrap().clone();
    record.line(&format!(
        "{} jobs were accepted in {:?}, {} refused with 429",
        accepted.len(),
        began.elapsed(),
        refused.load(Ordering::Relaxed)
    ));
    accepted
}

/// A job of many steps in a row, each with its own image, that is due tomorrow.
fn body(steps: u32) -> String {
    let due = unix_ms() + 24 * 3_600 * 1_000;
    let step = |number: u32| {
        let after =
            if number == 0 { String::new() } else { format!("\"depends-on\":[{}],", number - 1) };
        format!(
            "{{\"count\":1,\"cpu\":1000,\"mem-mb\":100,\"estimate-ms\":1000,{after}\
             \"image\":\"registry.example/certificates/cylinder-audit/full-compliance/step-{number:05}\
             :2026.12.07-4f1c9e2ab7d3\"}}"
        )
    };
    let steps: Vec<String> = (0..steps).map(step).collect();
    format!(
        "{{\"spec\":\"ms=100\",\"repeat-count\":1,\"first-run-ms\":{due},\"interval-ms\":60000,\
         \"steps\":[{}]}}",
        steps.join(",")
    )
}
