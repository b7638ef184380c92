//! The leader is lost while the platform refuses its order for an upkeep; the worker restarts later.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::clients::{configuration, route};
use crate::cloud::Cloud;
use crate::json::Json;
use crate::record::Record;
use crate::site::Site;
use crate::worker::{Deeds, Plan, Slot, Worker};
use crate::{sleep_ms, trouble};

const KEY: &str = "key-of-north";
const MACHINES: [&str; 3] = ["m-0", "m-1", "m-2"];
/// maintenance-s of the site.
const MAINTENANCE_MS: u64 = 2_000;
/// For how long the platform is busy.
const BUSY: Duration = Duration::from_secs(5);

type Lives = Arc<Mutex<BTreeMap<String, (Worker, Slot)>>>;

pub fn play(record: &Record) -> bool {
    let cloud = Cloud::open(record);
    let mut site = Site::start(record, 1, Some(cloud.address));
    site.wait("first configuration", Duration::from_secs(20), || {
        let body = configuration(1, &[route("work", 3_000)], &[KEY]);
        let answer =
            site.order("POST", "/cactuslatch/Config.Replace", &body, Duration::from_secs(3));
        answer.filter(|(status, _)| *status == 200)
    });
    let deeds = Deeds::default();
    let control = site.control();
    let plan = {
        let control = control.clone();
        move |machine: &str, life: u32| Plan {
            id: format!("i-{machine}-{life}"),
            machine: machine.to_owned(),
            service: "pool".into(),
            rack: "r1-1".into(),
            cpu: 128_000,
            gpu: 8,
            hold_max_ms: 10_000,
            control: control.clone(),
        }
    };
    let lives = Lives::default();
    for machine in MACHINES.iter().chain(&["m-3", "m-4"]) {
        let slot = Slot::open([127, 0, 0, 1].into());
        let worker = Worker::start(plan(machine, 0), &slot, &deeds, record);
        lives.lock().unwrap().insert((*machine).to_owned(), (worker, slot));
    }
    {
        // An upkeep ends the worker; a new one joins after maintenance-s.
        let (lives, deeds, record, plan) =
            (Arc::clone(&lives), Arc::clone(&deeds), record.clone(), plan.clone());
        cloud.on_upkeep(move |machine| {
            let (worker, slot) = lives.lock().unwrap()[machine].clone();
            worker.vanish("upkeep");
            let (lives, deeds, record, plan) =
                (Arc::clone(&lives), Arc::clone(&deeds), record.clone(), plan.clone());
            let machine = machine.to_owned();
            std::thread::spawn(move || {
                sleep_ms(MAINTENANCE_MS);
                let worker = Worker::start(plan(&machine, 1), &slot, &deeds, &record);
                lives.lock().unwrap().insert(machine, (worker, slot));
            });
        });
    }
    sleep_ms(6_000);
    let began = Instant::now();
    cloud.set_wave(1, &MACHINES);
    if trouble() {
        cloud.set_busy(true);
    }
    let wave = "{\"wave\":1,\"machines\":[\"m-0\",\"m-1\",\"m-2\"],\"duration-s\":20,\"cap\":1}";
    let answer = site.order("POST", "/cactuslatch/wave-start", wave, Duration::from_secs(5));
    if answer.is_none_or(|(status, _)| status != 200) {
        panic!("the wave was not acknowledged");
    }
    if trouble() {
        let machine = site.wait("order for an upkeep", Duration::from_secs(25), || cloud.refused());
        sleep_ms(500);
        let leader = site.wait("leader", Duration::from_secs(10), || site.leader());
        site.kill(leader);
        sleep_ms(1_000);
        site.start_process(leader, false);
        std::thread::sleep(BUSY.saturating_sub(began.elapsed()));
        cloud.set_busy(false);
        // Longer than contact-ms and than lease-ms.
        sleep_ms(10_000);
        if !cloud.begun().contains(&machine) {
            let (worker, slot) = lives.lock().unwrap()[&machine].clone();
            worker.vanish("it crashes");
            sleep_ms(2_000);
            let worker = Worker::start(plan(&machine, 0), &slot, &deeds, record);
            lives.lock().unwrap().insert(machine, (worker, slot));
        }
    }
    let until = Instant::now() + Duration::from_secs(50);
    let mut completed = None;
    while Instant::now() < until && completed.is_none() {
        let answer = site.order("GET", "/cactuslatch/wave-get/1", "", Duration::from_secs(3));
        let state = answer.and_then(|(_, body)| Json::parse(&body));
        let state = state.as_ref().and_then(|state| state.get("state").text()).unwrap_or("none");
        record.line(&format!("wave-get: {state}; the platform has begun {:?}", cloud.begun()));
        if state == "completed" {
            // Only what had not begun when the answer came counts.
            completed = Some(cloud.begun());
        }
        sleep_ms(500);
    }
    if !site.all_run() {
        record.line("a process of the system has ended");
    }
    let Some(begun) = completed else {
        record.line("the wave was not said to be completed");
        return false;
    };
    let missing: Vec<_> =
        MACHINES.iter().filter(|machine| !begun.iter().any(|known| known == *machine)).collect();
    record.line(&format!("said to be completed; not begun: {missing:?}"));
    !missing.is_empty()
}
