//! A control host is replaced as planned: an empty one is started first, then the other is stopped for
//! good. Later another control host loses its disk.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::json::{Json, object};
use crate::record::Record;
use crate::site::{self, CONTROL_HOSTS, Site, poll};
use crate::worker::{History, Worker};

/// Time that the successor has before the other is stopped; `catch-up-s` is 4.
const CATCH_UP: Duration = Duration::from_millis(5000);

/// Time from that stop until another host loses its disk.
const LOSS_AFTER: Duration = Duration::from_millis(2000);

/// Time for which the host that lost its disk is down.
const DOWN: Duration = Duration::from_secs(3);

/// Time after all hosts are back in which the installation has to serve; `recover-s` is 12, and
/// jobs are asked for `finish_s`, 14, after the end of the traffic.
const RECOVER: Duration = Duration::from_secs(40);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let history: History = History::default();
    let mut site = Site::start(record, 1, None);
    let queues = vec![site::queue("q", "/q/", 1, 4)];
    if !site.configure(&site::configuration(7, queues)) {
        return Verdict::NotRun("the configuration was not acknowledged");
    }
    let mut controls = site.controls();
    controls.push(site.control(site.successor()));
    for number in 0..4 {
        let address = (site.ip(50 + number), site::free_port()).into();
        let (id, capacity) = (format!("i-{number:04x}"), (16_000, 32_768, 8));
        let controls = controls.clone();
        Worker::start(&id, address, capacity, controls, record, &history, None, None);
    }
    thread::sleep(Duration::from_secs(4));
    let step = object([
        ("count", 2_u64.into()),
        ("cpu", 1000_u64.into()),
        ("mem-mb", 100_u64.into()),
        ("gpu", 1_u64.into()),
        ("estimate-ms", 500_u64.into()),
    ]);
    let job = object([("spec", "500 1000 1".into()), ("steps", vec![step].into())]);
    let path = "/q/00000000000000d1";
    if !site.submit(path, &job) {
        return Verdict::NotRun("the job was not accepted");
    }
    if trouble {
        let Some(leader) = poll(Duration::from_secs(5), || site.leader()) else {
            return Verdict::NotRun("no control host leads");
        };
        let replaced = (0..CONTROL_HOSTS).find(|host| *host != leader).expect("another host");
        let successor = site.successor();
        site.start_host(successor, false);
        record.say(format!("control host {successor} starts with an empty disk; {leader} leads"));
        thread::sleep(CATCH_UP);
        site.stop(replaced);
        site.wipe(replaced);
        record.say(format!(
            "control host {replaced} is stopped for good, {} ms after its successor has started",
            CATCH_UP.as_millis()
        ));
        thread::sleep(LOSS_AFTER);
        let before = read_version(&controls, record);
        let second = site.leader().unwrap_or(leader);
        site.kill(second);
        site.wipe(second);
        record.say(format!(
            "{} ms later the configuration reads as version {before:?}; then control host {second} \
             loses its disk",
            LOSS_AFTER.as_millis()
        ));
        thread::sleep(DOWN);
        site.start_host(second, false);
        record.say(format!("control host {second} is back, with an empty disk"));
    }
    let begun = Instant::now();
    let (mut version, mut state) = (None, None);
    while begun.elapsed() < RECOVER && (version.is_none() || state.is_none()) {
        thread::sleep(Duration::from_millis(500));
        version = read_version(&controls, record);
        state = site.ask(0, "GET", path, "").filter(|(status, _)| *status < 500);
    }
    record.say(format!(
        "{:.0} s after all hosts were back: configuration {version:?} (7 was acknowledged), job \
         {:?}",
        begun.elapsed().as_secs_f64(),
        state.as_ref().map(|(status, body)| (status, body.get("state").text()))
    ));
    site.keep_logs();
    let is_known = matches!(state, Some((200, _)));
    if version == Some(7) && is_known { Verdict::Held } else { Verdict::Broken }
}

/// Reads the configuration's version at the first control host that answers with one.
fn read_version(controls: &[std::net::SocketAddr], record: &Record) -> Option<u64> {
    controls.iter().find_map(|control| {
        let limit = Duration::from_secs(1);
        let answer = http::call(*control, "GET", "/cactuslatch/Config.Read", &[], "", limit);
        let told = answer.as_ref().map(|(status, _)| *status).map_err(ToString::to_string);
        record.note(format!("Config.Read at {control}: {told:?}"));
        let (status, body) = answer.ok()?;
        (status == 200).then(|| Json::parse(&body)?.get("version").number()).flatten()
    })
}
