//! The operator takes a route and its service out of the configuration; its workers restart, and a job that was
//! accepted before comes due.

use std::time::{Duration, Instant};

use crate::clients::{HOST, call, route, state};
use crate::record::Record;
use crate::site::Site;
use crate::worker::{Deeds, Plan, Slot, Worker};
use crate::{sleep_ms, trouble, unix_ms};

const KEY: &str = "key-of-north";
/// Workers of the service that stays.
const OTHERS: u32 = 10;
/// Workers of the service that is retired: two of all twelve, a share of 0.17.
const WORKERS: u32 = 2;
/// Time from the submission until the job is due.
const DUE_MS: u64 = 25_000;
/// For how long a worker that crashes is away.
const AWAY_MS: u64 = 1_500;
/// finish_s of the site.
const FINISH: Duration = Duration::from_secs(14);

fn configuration(version: u64, with_late: bool) -> String {
    let mut routes = vec![route("stays", 3_000)];
    let mut services = vec!["pool"];
    if with_late {
        routes.push(route("late", 3_000).replace("\"service\":\"pool\"", "\"service\":\"night\""));
        services.push("night");
    }
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-conns\":64,\
                 \"protocol\":\"h1\",\"tls\":false,\"rejects-overload\":true,\"standby\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"north\",\"api-keys\":[\"{KEY}\"],\
         \"priority\":1,\"guaranteed\":{{\"gpu\":0}}}}]}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn play(record: &Record) -> bool {
    let mut site = Site::start(record, 1);
    site.wait("first configuration", Duration::from_secs(20), || {
        let body = configuration(1, true);
        let answer =
            site.order("POST", "/cactuslatch/Config.Replace", &body, Duration::from_secs(3));
        answer.filter(|(status, _)| *status == 200)
    });
    let deeds = Deeds::default();
    let control = site.control();
    let plan = |service: &str, number: u32| Plan {
        id: format!("i-{service}-{number}"),
        machine: format!("m-{service}-{number}"),
        service: service.into(),
        rack: "r1-1".into(),
        cpu: 128_000,
        gpu: 8,
        hold_max_ms: 10_000,
        control: control.clone(),
    };
    let slot = || Slot::open([127, 0, 0, 1].into());
    for number in 0..OTHERS {
        Worker::start(plan("pool", number), &slot(), &deeds, record);
    }
    let night: Vec<(Worker, Slot)> = (0..WORKERS)
        .map(|number| {
            let slot = slot();
            (Worker::start(plan("night", number), &slot, &deeds, record), slot)
        })
        .collect();
    sleep_ms(5_000);
    let due = unix_ms() + DUE_MS;
    let due_at = Instant::now() + Duration::from_millis(DUE_MS);
    let path = "/late/00000000d0000001";
    let body = format!(
        "{{\"spec\":\"ms=500\",\"repeat-count\":1,\"first-run-ms\":{due},\"interval-ms\":60000,\
         \"steps\":[{{\"count\":4,\"cpu\":4000,\"mem-mb\":100,\"estimate-ms\":500}}]}}"
    );
    site.wait("acceptance", Duration::from_secs(10), || {
        let answer = call(site.frontend(0), "POST", path, KEY, &body);
        record.line(&format!("client: POST {path}: {:?}", answer.as_ref().map(|answer| answer.0)));
        answer.filter(|(status, _)| *status == 200)
    });
    sleep_ms(1_000);
    site.configure(&configuration(5, false));
    sleep_ms(5_500);
    if trouble() {
        for ((worker, slot), number) in night.iter().zip(0..) {
            worker.vanish("it crashes");
            sleep_ms(AWAY_MS);
            Worker::start(plan("night", number), slot, &deeds, record);
            sleep_ms(4_000);
        }
    }
    std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
    record.line("the job is due");
    std::thread::sleep(FINISH + Duration::from_secs(3));
    let deeds = deeds.lock().unwrap().clone();
    let started = deeds.iter().filter(|deed| deed.what == "started").count();
    let done = deeds.iter().filter(|deed| deed.what == "done").count();
    let answer = state(site.frontend(0), path, KEY);
    record.line(&format!(
        "{started} of 4 tasks started, {done} done, {WORKERS} workers of the service idle; a GET at \
         {HOST} is answered: {answer}"
    ));
    if !site.all_run() {
        record.line("a process of the system has ended");
    }
    started == 0
}
