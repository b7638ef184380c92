//! An entry host freezes. A client whose submission waits there leaves and cancels its job at another
//! entry host. Then the frozen one wakes.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::json::{Json, object};
use crate::record::Record;
use crate::site::{self, CONTROL_HOSTS, HOST, KEY, Site, poll};
use crate::worker::{History, Worker};

/// Entry hosts; one of them freezes.
const ENTRY_HOSTS: usize = 10;

/// Clients; one in four leaves.
const CLIENTS: u64 = 4;

/// Time after which the client leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(100);

/// Time for which the entry host is frozen.
const FROZEN: Duration = Duration::from_millis(3600);

/// Longest time from the acknowledgement of a cancelling until the last start: `cancel_ms`.
const CANCEL: Duration = Duration::from_millis(3000);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let history = History::default();
    let site = Site::start(record, ENTRY_HOSTS, None);
    let queues = vec![site::queue("q", "/q/", 1, 4)];
    if !site.configure(&site::configuration(1, queues)) {
        return Verdict::NotRun("the configuration was not acknowledged");
    }
    for number in 0..6 {
        let address = (site.ip(50 + number), site::free_port()).into();
        let (id, capacity) = (format!("i-{number:04x}"), (16_000, 32_768, 8));
        Worker::start(&id, address, capacity, site.controls(), record, &history, None, None);
    }
    thread::sleep(Duration::from_secs(4));
    let begun_by = |id: &str| {
        let history = history.lock().unwrap();
        history.iter().find(|run| run.task.starts_with(id)).map(|run| run.begun)
    };
    // Three clients stay; they reach both entry hosts.
    for client in 1..CLIENTS {
        let id = format!("{client:016x}");
        let entry = usize::from(client == 1);
        if !site.submit_at(entry, &format!("/q/{id}"), &job()) {
            return Verdict::NotRun("a job was not accepted");
        }
        if poll(Duration::from_secs(5), || begun_by(&id)).is_none() {
            return Verdict::NotRun("an accepted job did not begin");
        }
    }

    let id = "00000000000000e1";
    let path = format!("/q/{id}");
    let frozen_at = Instant::now();
    if trouble {
        site.signal(CONTROL_HOSTS, "STOP");
    }
    thread::sleep(Duration::from_millis(100));
    let Ok(stream) = send(&site, &path) else {
        return Verdict::NotRun("the entry host took no connection");
    };
    record.note(format!("POST {path} sent to the first entry host"));
    thread::sleep(LEAVES_AFTER);
    drop(stream);
    record.say(format!("the client leaves after {} ms", LEAVES_AFTER.as_millis()));
    let Some((status, _)) = site.ask(1, "DELETE", &path, "") else {
        return Verdict::NotRun("the cancelling was not answered");
    };
    let cancelled_at = Instant::now();
    record.say(format!("it cancels its job at the second entry host: {status}"));
    if status != 410 && !(200..300).contains(&status) {
        return Verdict::NotRun("the cancelling was not acknowledged");
    }
    thread::sleep(FROZEN.saturating_sub(frozen_at.elapsed()));
    if trouble {
        site.signal(CONTROL_HOSTS, "CONT");
        record.say(format!("the first entry host wakes after {} ms", FROZEN.as_millis()));
    }
    thread::sleep(Duration::from_secs(6));
    let state = site.state(&path);
    let late: Vec<_> = {
        let history = history.lock().unwrap();
        let of_job = history.iter().filter(|run| run.task.starts_with(id));
        let late = of_job.filter(|run| run.begun > cancelled_at + CANCEL);
        late.map(|run| (run.task.clone(), run.begun.duration_since(cancelled_at))).collect()
    };
    for (task, after) in &late {
        record.say(format!(
            "{task} was started {} ms after the cancelling had been acknowledged",
            after.as_millis()
        ));
    }
    record.say(format!("state at the end: {state:?}"));
    site.keep_logs();
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// Sends a job to the first entry host and does not wait for the answer.
fn send(site: &Site, path: &str) -> std::io::Result<TcpStream> {
    let body = job().to_string();
    let mut stream = TcpStream::connect(site.entry(0))?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\napi-key: {KEY}\r\ndeadline-ms: 3000\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes())?;
    Ok(stream)
}

fn job() -> Json {
    let step = object([
        ("count", 1_u64.into()),
        ("cpu", 1000_u64.into()),
        ("mem-mb", 100_u64.into()),
        ("gpu", 1_u64.into()),
        ("estimate-ms", 10_000_u64.into()),
    ]);
    object([("spec", "10000 1000 1".into()), ("steps", vec![step].into())])
}
