//! A job is accepted while a configuration that removes its idle route is on its way to the log.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::{call, configuration, job, route, state};
use crate::record::Record;
use crate::site::{Site, order};
use crate::worker::{Deeds, Plan, Slot, Worker};
use crate::{sleep_ms, trouble};

const KEY: &str = "key-of-north";
const ROUNDS: u64 = 8;
const ROUTES: u64 = 12;
/// finish_s of the site.
const FINISH: Duration = Duration::from_secs(14);

pub fn play(record: &Record) -> bool {
    let mut site = Site::start(record, 2, None);
    let mut version = 1;
    let stays = vec![route("stays", 3_000)];
    site.wait("first configuration", Duration::from_secs(20), || {
        let body = configuration(version, &stays, &[KEY]);
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
    sleep_ms(5_000);
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    for round in 0..ROUNDS {
        let names: Vec<String> = (0..ROUTES).map(|n| format!("idle-{round}-{n}")).collect();
        let mut with_idle = stays.clone();
        with_idle.extend(names.iter().map(|name| route(name, 3_000)));
        version += 3;
        site.configure(&configuration(version, &with_idle, &[KEY]));
        // Longer than config-apply-ms.
        sleep_ms(3_000);
        version += 2;
        let change = if trouble() {
            configuration(version, &stays, &[KEY])
        } else {
            configuration(version, &with_idle, &[KEY])
        };
        let mut threads = Vec::new();
        let began = Instant::now() + Duration::from_millis(100);
        for (number, name) in names.iter().enumerate() {
            let path = format!("/{name}/{:016x}", 0xa000_0000 + round * 100 + number as u64);
            let (front, accepted, record) =
                (site.frontend(number), Arc::clone(&accepted), record.clone());
            threads.push(thread::spawn(move || {
                // The clients come one after the other around the change.
                thread::sleep((began + Duration::from_millis(number as u64)) - Instant::now());
                let status = call(front, "POST", &path, KEY, &job(1, 1_000, 200)).map(|a| a.0);
                record.line(&format!("client: POST {path}: {status:?}"));
                if status == Some(200) {
                    accepted.lock().unwrap().push(path);
                }
            }));
        }
        let (control, recording) = (site.control(), record.clone());
        threads.push(thread::spawn(move || {
            thread::sleep((began + Duration::from_millis(1)) - Instant::now());
            let path = "/cactuslatch/Config.Replace";
            order(&control, &recording, "POST", path, &change, Duration::from_secs(10));
        }));
        threads.into_iter().for_each(|thread| thread.join().unwrap());
        sleep_ms(200);
    }
    record.line("end of the traffic");
    thread::sleep(FINISH);
    let deeds = deeds.lock().unwrap().clone();
    let done: BTreeSet<&str> = deeds
        .iter()
        .filter(|d| d.what == "done")
        .map(|d| d.task.split('.').next().unwrap())
        .collect();
    let accepted = accepted.lock().unwrap().clone();
    let id = |path: &str| path.rsplit('/').next().unwrap_or_default().to_owned();
    let lost: Vec<String> =
        accepted.iter().filter(|path| !done.contains(&*id(path))).cloned().collect();
    record.line(&format!(
        "{} jobs were accepted, {} of them never ran",
        accepted.len(),
        lost.len()
    ));
    for path in &lost {
        let answer = state(site.frontend(0), path, KEY);
        record.line(&format!("accepted and never run: {path}; a GET is answered: {answer}"));
    }
    if !site.all_run() {
        record.line("a process of the system has ended");
    }
    if let Some(path) = lost.first() {
        // For the reader only: the job was stored, and it begins once a route of that name is back.
        let name = path.split('/').nth(1).unwrap_or_default();
        let mut with_route = stays.clone();
        with_route.push(route(name, 3_000));
        record.line(&format!("after the verdict: the operator adds the route {name} again"));
        site.configure(&configuration(version + 1, &with_route, &[KEY]));
        sleep_ms(3_000);
        record
            .line(&format!("a GET of {path} is answered: {}", state(site.frontend(0), path, KEY)));
    }
    !lost.is_empty()
}
