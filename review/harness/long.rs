//! A task that takes an hour, whose estimate is left out.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::json::{Json, object};
use crate::record::Record;
use crate::site::{self, Site, poll};
use crate::worker::{History, RunSpan, Worker};

/// Workers; one of them is of the kind that the task requires.
const WORKERS: usize = 6;

/// Time after the submission from which the rule is checked: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

/// Time for which the rule is checked.
const CHECKED: Duration = Duration::from_secs(50);

/// Longest time without a run of the job while there is room for it.
const GAP: Duration = Duration::from_secs(3);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let history = History::default();
    let site = Site::start(record, 1, None);
    let queues = vec![site::queue("q", "/q/", 1, 4)];
    if !site.configure(&site::configuration(1, queues)) {
        return Verdict::NotRun("the configuration was not acknowledged");
    }
    for number in 0..WORKERS {
        let address = (site.ip(50 + number), site::free_port()).into();
        let kind = if number == 0 { 'b' } else { 'a' };
        let (id, capacity) = (format!("{kind}-{number:04x}"), (16_000, 32_768, 8));
        Worker::start(&id, address, capacity, site.controls(), record, &history, None, None);
    }
    thread::sleep(Duration::from_secs(4));
    let path = "/q/00000000000000f1";
    if !site.submit(path, &job(!trouble)) {
        return Verdict::NotRun("the job was not accepted");
    }
    let accepted = Instant::now();
    if poll(Duration::from_secs(5), || (!history.lock().unwrap().is_empty()).then_some(())).is_none()
    {
        return Verdict::NotRun("the job did not begin");
    }
    thread::sleep((FINISH + CHECKED).saturating_sub(accepted.elapsed()));
    let state = site.state(path);
    let history = history.lock().unwrap().clone();
    let gaps = gaps(&history, accepted + FINISH, accepted + FINISH + CHECKED);
    for (from, length) in &gaps {
        record.say(format!(
            "nothing runs for {} ms from {} s after the acceptance on",
            length.as_millis(),
            from.duration_since(accepted).as_secs()
        ));
    }
    let stopped = history.iter().filter(|run| matches!(run.ended, Some((_, "stopped")))).count();
    record.say(format!(
        "state {state:?}; {} runs, of which the system has stopped {stopped}; gaps over {} s: {}",
        history.len(),
        GAP.as_secs(),
        gaps.len()
    ));
    site.keep_logs();
    if gaps.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// Returns the times between two instants in which nothing ran for longer than the rule allows.
fn gaps(history: &[RunSpan], from: Instant, to: Instant) -> Vec<(Instant, Duration)> {
    let mut runs: Vec<_> =
        history.iter().map(|run| (run.begun, run.ended.map_or(to, |(at, _)| at))).collect();
    runs.sort_unstable();
    runs.push((to, to));
    let mut gaps = Vec::new();
    let mut idle_since = from;
    for (begun, ended) in runs {
        let length = begun.min(to).saturating_duration_since(idle_since);
        if length > GAP {
            gaps.push((idle_since, length));
        }
        idle_since = idle_since.max(ended);
    }
    gaps
}

fn job(has_estimate: bool) -> Json {
    let mut step = object([
        ("count", 1_u64.into()),
        ("cpu", 1000_u64.into()),
        ("mem-mb", 100_u64.into()),
        ("gpu", 1_u64.into()),
        ("requires", "b".into()),
    ]);
    if let (Json::Object(fields), true) = (&mut step, has_estimate) {
        fields.insert("estimate-ms".to_owned(), 3_000_000_u64.into());
    }
    object([("spec", "3600000 1000 1".into()), ("steps", vec![step].into())])
}
