//! The leader is stopped as planned while its order for the upkeep of a machine is under way, and
//! started again. Later the worker of that machine crashes and starts again.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{self, Request, Server};
use crate::json::{Json, object};
use crate::record::Record;
use crate::site::{self, Site, poll};
use crate::worker::{History, Worker};

const WORKERS: usize = 6;

/// Time that the platform takes to answer.
const PLATFORM_ANSWERS_IN: Duration = Duration::from_millis(800);

/// Time that the upkeep of a machine takes.
const UPKEEP: Duration = Duration::from_secs(2);

/// Time for which the wave may go on after the leader was stopped, before the worker crashes. The
/// wave is to take 20 s.
const WAVE: Duration = Duration::from_secs(25);

/// The platform's side of the wave.
#[derive(Default)]
struct Platform {
    /// Calls that arrived, by machine.
    calls: Vec<String>,
    /// Machines whose upkeep has begun.
    begun: Vec<String>,
    /// Whether calls in progress have lost their caller.
    caller_gone: bool,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let history: History = Arc::default();
    let platform: Arc<Mutex<Platform>> = Arc::default();
    let workers: Arc<Mutex<Vec<Arc<Worker>>>> = Arc::default();
    let cloud: SocketAddr = ([127, 0, 0, 1], site::free_port()).into();
    let (served, up, noted) = (Arc::clone(&platform), Arc::clone(&workers), record.clone());
    let handler = move |request: Request| Some(answer(&served, &up, &noted, &request));
    let Ok(_server) = Server::start(cloud, handler) else {
        return Verdict::NotRun("the platform's stand-in could not start");
    };
    let mut site = Site::start(record, 1, Some(cloud));
    let queues = vec![site::queue("q", "/q/", 1, 4)];
    if !site.configure(&site::configuration(1, queues)) {
        return Verdict::NotRun("the configuration was not acknowledged");
    }
    for number in 0..WORKERS {
        let address = (site.ip(50 + number), site::free_port()).into();
        let (id, machine) = (format!("i-{number:04x}"), format!("m-{number}"));
        let (capacity, controls) = ((16_000, 32_768, 8), site.controls());
        let worker = Worker::start(
            &id, address, capacity, controls, record, &history, Some(machine), None,
        );
        workers.lock().unwrap().push(worker);
    }
    thread::sleep(Duration::from_secs(4));
    let Some(leader) = poll(Duration::from_secs(5), || site.leader()) else {
        return Verdict::NotRun("no control host leads");
    };

    let machines: Vec<Json> = vec!["m-1".into(), "m-2".into()];
    let wave = object([
        ("wave", 1_u64.into()),
        ("machines", machines.into()),
        ("duration-s", 20_u64.into()),
        ("cap", 1_u64.into()),
    ]);
    let path = "/cactuslatch/wave-start";
    let sent = http::call(
        site.control(leader), "POST", path, &[], &wave.to_string(), Duration::from_secs(1),
    );
    record.note(format!("wave-start {wave}: {:?}", sent.as_ref().map(|(status, _)| status)));
    if !matches!(sent, Ok((200, _))) {
        return Verdict::NotRun("the wave was not acknowledged");
    }

    let first = poll(Duration::from_secs(15), || platform.lock().unwrap().calls.first().cloned());
    let Some(machine) = first else { return Verdict::NotRun("no upkeep was ordered") };
    if trouble {
        // The platform has the call and has not answered yet.
        platform.lock().unwrap().caller_gone = true;
        record.say(format!("the leader is stopped while its call for {machine} is under way"));
        site.stop(leader);
        thread::sleep(Duration::from_secs(2));
        platform.lock().unwrap().caller_gone = false;
        site.start_host(leader, false);
    }
    let begun = Instant::now();
    let mut state = None;
    while begun.elapsed() < WAVE && state.as_deref() != Some("completed") {
        thread::sleep(Duration::from_millis(250));
        state = wave_state(&site, record);
    }
    let (begun_on, calls) = {
        let platform = platform.lock().unwrap();
        (platform.begun.clone(), platform.calls.clone())
    };
    record.say(format!(
        "{:.0} s later: the wave is {state:?}, upkeep has begun on {begun_on:?}, calls {calls:?}",
        begun.elapsed().as_secs_f64(),
    ));
    if trouble && state.as_deref() != Some("completed") {
        let number: usize = machine[2..].parse().expect("the number of a machine");
        let worker = Arc::clone(&workers.lock().unwrap()[number]);
        worker.crash();
        thread::sleep(Duration::from_millis(1500));
        worker.begin();
        record.say(format!("the worker of {machine} crashed and started again"));
        let begun = Instant::now();
        while begun.elapsed() < WAVE && state.as_deref() != Some("completed") {
            thread::sleep(Duration::from_millis(250));
            state = wave_state(&site, record);
        }
    }
    // Machines that stay and whose upkeep has not begun when the wave is said to be completed.
    let missing: Vec<&str> = {
        let platform = platform.lock().unwrap();
        let not_begun = |name: &&str| !platform.begun.iter().any(|begun| begun == name);
        ["m-1", "m-2"].into_iter().filter(not_begun).collect()
    };
    record.say(format!("the wave is {state:?}; upkeep has not begun on {missing:?}"));
    site.keep_logs();
    match (state.as_deref(), missing.is_empty()) {
        (Some("completed"), false) => Verdict::Broken,
        (Some(_), _) => Verdict::Held,
        (None, _) => Verdict::NotRun("the state of the wave could not be read"),
    }
}

/// Returns the state of the wave as an operator sees it.
fn wave_state(site: &Site, record: &Record) -> Option<String> {
    let path = "/cactuslatch/wave-get/1";
    site.controls().into_iter().find_map(|control| {
        let (status, body) =
            http::call(control, "GET", path, &[], "", Duration::from_secs(1)).ok()?;
        record.note(format!("wave-get at {control}: {status}"));
        Json::parse(&body)?.get("state").text().map(str::to_owned)
    })
}

/// Answers a call about machines.
fn answer(
    platform: &Arc<Mutex<Platform>>,
    workers: &Arc<Mutex<Vec<Arc<Worker>>>>,
    record: &Record,
    request: &Request,
) -> (u16, Vec<u8>) {
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let machine = body.get("machine").text().unwrap_or_default().to_owned();
    record.note(format!("platform: {} {} for {machine}", request.method, request.path));
    if request.path != "/cactuslatch/machine-upkeep" {
        return (404, b"{}".to_vec());
    }
    platform.lock().unwrap().calls.push(machine.clone());
    thread::sleep(PLATFORM_ANSWERS_IN);
    {
        let mut platform = platform.lock().unwrap();
        if platform.caller_gone {
            record.note(format!("platform: the caller is gone; nothing is done for {machine}"));
            return (503, b"{}".to_vec());
        }
        if platform.begun.contains(&machine) {
            return (200, b"{}".to_vec());
        }
        platform.begun.push(machine.clone());
    }
    record.note(format!("platform: upkeep of {machine} begins"));
    let number: usize = machine[2..].parse().unwrap_or(0);
    let worker = Arc::clone(&workers.lock().unwrap()[number]);
    worker.crash();
    let back = record.clone();
    thread::spawn(move || {
        thread::sleep(UPKEEP);
        back.note(format!("platform: {machine} is back"));
        worker.begin();
    });
    (200, b"{}".to_vec())
}
