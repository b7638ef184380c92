//! Jobs are submitted to routes while a new version of the configuration removes these routes. Each
//! job that was accepted has to run.
#[path = "../harness-2/kit.rs"]
mod kit;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use kit::{Record, Site, Worker, call, configuration, finish, sleep_ms, trouble};

/// Rounds, each with routes of its own that are added and then removed.
const ROUNDS: usize = 4;
const ROUTES: usize = 320;
const CLIENTS: usize = 16;
/// `finish_s` of the site, and the 3 s for which nothing may stand still after it.
const FINISH_MS: u64 = 14_000 + 3_000;

fn job(cpu: u64, ms: u64) -> String {
    format!("{{\"spec\":\"{ms}\",\"steps\":[{{\"count\":1,\"cpu\":{cpu},\"mem-mb\":100,\"estimate-ms\":{ms}}}]}}")
}

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("the path of the record"));
    let site = Arc::new(Site::new(&record));
    site.start_all(1);
    let events = kit::Events::default();
    let worker =
        Worker::start("w-1", [128_000, 524_288, 8], [100, 100, 0], site.controls(), &events, &record, None);
    let base = vec![("r-base".to_owned(), "/base/".to_owned(), 1)];
    let version = |round: usize, removed: u64| 2 * round as u64 + 1 + removed;
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let refused: Arc<AtomicUsize> = Arc::default();
    for round in 0..ROUNDS {
        let mut routes = base.clone();
        routes.extend((0..ROUTES).map(|n| (format!("r-{round}-{n}"), format!("/r{round}-{n}/"), 1)));
        site.configure(&configuration(version(round, 0), &routes));
        if round == 0 {
            site.submit("/base/00000000000000ff", &job(100, 100));
        }
        sleep_ms(1_000);
        submit_while_routes_go(&site, round, &accepted, &refused, &configuration(version(round, 1), &base));
    }
    let accepted = accepted.lock().unwrap().clone();
    let refused = refused.load(Ordering::Relaxed);
    record.tell(&format!("{} jobs were accepted, {refused} were not", accepted.len()));
    if accepted.is_empty() || trouble() && refused == 0 {
        kit::cannot("the configuration did not change while jobs were submitted");
    }
    sleep_ms(FINISH_MS);
    // A job on a route that stays still runs: the worker has room and takes work.
    site.submit("/base/00000000000000fe", &job(100, 100));
    sleep_ms(1_500);
    let events = events.lock().unwrap().clone();
    let ran = |id: &str| events.iter().any(|e| e.what == "done" && e.task.starts_with(id));
    if !ran("00000000000000fe") {
        kit::cannot("the worker runs nothing any more");
    }
    let lost: Vec<_> = accepted.iter().filter(|id| !ran(id)).cloned().collect();
    for id in &lost {
        record.say(&format!("job {id} was accepted and has never been started"));
    }
    let busy = worker.running();
    record.tell(&format!("{} of {} accepted jobs have never run; the worker runs {busy} tasks", lost.len(), accepted.len()));
    let broken = (!lost.is_empty()).then(|| format!("LOST: accepted jobs that never ran: {}", lost.join(" ")));
    finish(&record, broken)
}

/// Each client submits one job to each of its routes in turn; a third of the way the operator removes
/// all these routes.
fn submit_while_routes_go(
    site: &Arc<Site>,
    round: usize,
    accepted: &Arc<Mutex<Vec<String>>>,
    refused: &Arc<AtomicUsize>,
    without: &str,
) {
    let begun: Arc<AtomicUsize> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (site, accepted, begun) = (Arc::clone(site), Arc::clone(accepted), Arc::clone(&begun));
            let refused = Arc::clone(refused);
            thread::spawn(move || {
                for route in (client..ROUTES).step_by(CLIENTS) {
                    begun.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{:016x}", 0x1_0000 * (round + 1) + route);
                    let path = format!("/r{round}-{route}/{id}");
                    let answer = site.client(0, "POST", &path, &job(100, 300));
                    let status = answer.map(|a| a.0);
                    site.record.say(&format!("client: POST {path} -> {status:?}"));
                    if status == Some(200) {
                        accepted.lock().unwrap().push(id);
                    } else {
                        refused.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    while begun.load(Ordering::Relaxed) < ROUTES / 3 {
        sleep_ms(1);
    }
    if trouble() {
        let address = site.control(site.leader());
        site.record.say("operator: sends a version without the routes");
        let answer = call(address, "POST", "/cactuslatch/Config.Replace", &[], without, 1000);
        site.record.say(&format!("operator: that version -> {:?}", answer.map(|a| a.0)));
    }
    for client in clients {
        _ = client.join();
    }
}
