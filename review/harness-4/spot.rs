//! Workers are taken away at short notice, one after the other, under a task that can't be saved.

use std::time::{Duration, Instant};

use crate::clients::{call, configuration, job, route, state};
use crate::record::Record;
use crate::site::Site;
use crate::worker::{Deeds, Plan, Slot, Worker};
use crate::{sleep_ms, trouble};

const KEY: &str = "key-of-north";
/// One of these is taken away at a time: a share of 0.0625.
const WORKERS: u32 = 16;
const TAKEN: u32 = 7;
/// Time between the notice and the end, `x` of the disruption.
const NOTICE: Duration = Duration::from_secs(2);
/// Time after which another worker comes.
const OTHERS_COME: Duration = Duration::from_secs(4);
const LONGEST: Duration = Duration::from_secs(100);

pub fn play(record: &Record) -> bool {
    let mut site = Site::start(record, 1);
    site.wait("first configuration", Duration::from_secs(20), || {
        let body = configuration(1, &[route("audit", 3_000)], &[KEY]);
        let answer =
            site.order("POST", "/cactuslatch/Config.Replace", &body, Duration::from_secs(3));
        answer.filter(|(status, _)| *status == 200)
    });
    let deeds = Deeds::default();
    let control = site.control();
    let begin = |number: u32| {
        let plan = Plan {
            id: format!("i-{number}"),
            machine: format!("m-{number}"),
            service: "pool".into(),
            rack: format!("r1-{}", number % 2 + 1),
            cpu: 128_000,
            gpu: 8,
            hold_max_ms: 10_000,
            control: control.clone(),
        };
        Worker::start(plan, &Slot::open([127, 0, 0, 1].into()), &deeds, record)
    };
    let mut workers: Vec<Worker> = (0..WORKERS).map(begin).collect();
    let mut next = WORKERS;
    sleep_ms(4_000);
    let path = "/audit/00000000b0000001";
    site.wait("acceptance", Duration::from_secs(10), || {
        let answer = call(site.frontend(0), "POST", path, KEY, &job(1, 4_000, 300_000));
        record.line(&format!("client: POST {path}: {:?}", answer.as_ref().map(|answer| answer.0)));
        answer.filter(|(status, _)| *status == 200)
    });
    let began = Instant::now();
    let mut taken = 0;
    let mut shown = String::new();
    let mut coming: Vec<Instant> = Vec::new();
    while began.elapsed() < LONGEST && shown != "failed" {
        let now = state(site.frontend(0), path, KEY);
        if now != shown {
            record.line(&format!("client: GET {path}: {now}"));
            shown = now;
        }
        let due = coming.iter().filter(|at| Instant::now() >= **at).count();
        coming.drain(..due);
        for _ in 0..due {
            workers.push(begin(next));
            next += 1;
        }
        let busy = workers.iter().find(|worker| !worker.is_gone() && !worker.running().is_empty());
        if let Some(worker) = busy.filter(|_| taken < TAKEN) {
            // The task has been at work for a while.
            sleep_ms(1_500);
            if trouble() {
                let notice = Instant::now();
                let noted = worker.drain(NOTICE, NOTICE);
                record.line(&format!("notice of {} acknowledged: {noted}", worker.plan.id));
                std::thread::sleep(NOTICE.saturating_sub(notice.elapsed()));
                worker.vanish("taken away at short notice");
                coming.push(Instant::now() + OTHERS_COME);
            }
            taken += 1;
        }
        sleep_ms(100);
    }
    sleep_ms(1_000);
    shown = state(site.frontend(0), path, KEY);
    let deeds = deeds.lock().unwrap().clone();
    let failed = deeds.iter().filter(|deed| deed.what == "failed").count();
    let started = deeds.iter().filter(|deed| deed.what == "started").count();
    record.line(&format!(
        "the job is shown as {shown}; {started} starts, {failed} ends failed, {taken} workers taken away"
    ));
    if !site.all_run() {
        record.line("a process of the system has ended");
    }
    shown == "failed" && failed == 0
}
