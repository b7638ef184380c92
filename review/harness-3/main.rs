//! Plays one case of the third review. Usage: harness CASE RECORD_FILE; TROUBLE=0 leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod net;
mod platform;
mod world;

use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use platform::Platform;
use world::{
    KEY_OF_SOUTH, Processes, Queue, Record, Run, Runs, System, Worker, end_all, lock, sleep_ms,
    wait_until,
};

enum Outcome {
    Broken(String),
    Held,
    NotRun(String),
}

use Outcome::{Broken, Held, NotRun};

struct Case {
    record: Record,
    system: System,
    runs: Runs,
    trouble: bool,
}

impl Case {
    fn worker(&self, number: usize, machine: &str, labels: &[&str], gpu: u32) -> Arc<Worker> {
        let ip = self.system.standin_ip(number);
        Worker::new((machine, labels, gpu), ip, &self.system, &self.record, &self.runs)
    }

    /// Sets the first configuration, begins the workers and waits until the leader holds all of them.
    fn set_up(&self, queues: &[Queue], workers: &[Arc<Worker>]) -> Result<(), String> {
        self.set_up_with(queues, 0, workers)
    }

    fn set_up_with(
        &self,
        queues: &[Queue],
        guaranteed_gpu: u32,
        workers: &[Arc<Worker>],
    ) -> Result<(), String> {
        if !self.system.configure(1, queues, guaranteed_gpu) {
            return Err("the configuration was not acknowledged".to_owned());
        }
        for (number, worker) in workers.iter().enumerate() {
            worker.begin(&format!("i-{number}-1"), false);
        }
        let held = || workers.iter().all(|worker| worker.holds.load(Ordering::SeqCst) >= 2);
        if !wait_until(15_000, held) {
            return Err("not all workers are held".to_owned());
        }
        Ok(())
    }

    fn runs_of(&self, job: &str) -> Vec<Run> {
        let runs = lock(&self.runs);
        runs.iter().filter(|run| run.task.starts_with(job)).cloned().collect()
    }

    fn runs_now(&self, job: &str) -> Vec<Run> {
        self.runs_of(job).into_iter().filter(|run| run.ended.is_none()).collect()
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let path = arguments.next().unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    record.note(format!("case {name}, disruption: {trouble}"));
    let processes = Processes::default();
    {
        // The time limit of a script, with a margin for the end of the processes.
        let (record, path, processes) = (record.clone(), path.clone(), Arc::clone(&processes));
        thread::spawn(move || {
            sleep_ms(112_000);
            record.note("NOT RUN: the time limit has passed");
            record.write(&path);
            end_all(&processes);
            std::process::exit(2);
        });
    }
    let played =
        std::panic::catch_unwind(AssertUnwindSafe(|| play(&name, &record, trouble, &processes)));
    end_all(&processes);
    let outcome = played.unwrap_or_else(|_| NotRun("the harness has failed".to_owned()));
    let (code, text) = match outcome {
        Broken(what) => (1, format!("BROKEN: {what}")),
        Held => (0, "HELD".to_owned()),
        NotRun(why) => (2, format!("NOT RUN: {why}")),
    };
    record.note(&text);
    println!("{text}");
    record.write(&path);
    std::process::exit(code);
}

fn play(name: &str, record: &Record, trouble: bool, processes: &Processes) -> Outcome {
    let needs_platform = matches!(name, "wave-lost" | "wave-cap" | "away");
    let platform = needs_platform.then(|| Platform::start(record));
    let system =
        System::start(record, platform.as_ref().map(|platform| platform.address), processes);
    let mut case = Case { record: record.clone(), system, runs: Runs::default(), trouble };
    let outcome = match name {
        "late-start" => late_start(&mut case),
        "route-removed" => route_removed(&mut case),
        "avoid" => avoid(&mut case),
        "other-kind" => other_kind(&mut case),
        "set-aside" => set_aside(&mut case),
        "crash-loop" => crash_loop(&mut case),
        "reclaim" => reclaim(&mut case, ("/u/", ""), &["00000000000000e0", "00000000000000e2"]),
        "reclaim-away" => {
            reclaim(&mut case, ("/w/", ",\"max-unavailable\":12"), &["00000000000000e0"])
        }
        "wave-lost" => wave_lost(&mut case, platform.as_ref()),
        "wave-cap" => wave_cap(&mut case, platform.as_ref()),
        "away" => away(&mut case, platform.as_ref()),
        _ => NotRun(format!("no case is named {name}")),
    };
    for line in case.system.log_lines(&[
        "this host leads",
        "start was ordered",
        "stop was ordered",
        "start was refused",
        "was restarted or replaced",
        "set aside",
        "given up",
        "upstream is gone",
        "evacuated for maintenance",
        "maintenance has begun",
        "back from maintenance",
        "host is not up",
        "run was lost",
    ]) {
        record.note(format!("log of {line}"));
    }
    case.system.end();
    outcome
}

/// Returns two runs of one task that overlap in time, on different workers or lives of one.
fn overlapping(runs: &[Run], now_ms: u64) -> Option<String> {
    for (number, first) in runs.iter().enumerate() {
        for second in &runs[number + 1..] {
            let end = |run: &Run| run.ended.as_ref().map_or(now_ms, |(at_ms, _)| *at_ms);
            let together_ms =
                end(first).min(end(second)).saturating_sub(first.begun_ms.max(second.begun_ms));
            if first.task == second.task && together_ms > 0 {
                return Some(format!(
                    "task {} runs twice for {together_ms} ms: run {} on {} from {} ms, run {} on {} from {} ms",
                    first.task,
                    first.run,
                    first.worker,
                    first.begun_ms,
                    second.run,
                    second.worker,
                    second.begun_ms
                ));
            }
        }
    }
    None
}

/// A start order without an answer is stopped, the task starts elsewhere, the worker restarts under its
/// identity, and the first order arrives there late.
fn late_start(case: &mut Case) -> Outcome {
    const BEFORE: &str = "00000000000000a0";
    const JOB: &str = "00000000000000a1";
    let (first, second) =
        (case.worker(0, "m-0", &["a", "r1"], 8), case.worker(1, "m-1", &["a", "r1"], 4));
    let queue = Queue { prefix: "/q/", priority: 1, attempts: 4 };
    if let Err(why) = case.set_up(&[queue], &[Arc::clone(&first), Arc::clone(&second)]) {
        return NotRun(why);
    }
    let step = "{\"count\":1,\"cpu\":1000,\"mem-mb\":1000,\"gpu\":4,\"estimate-ms\":18000}";
    if !case.system.submit("/q/", BEFORE, "{\"work\":1400}", step) {
        return NotRun("the first job was not accepted".to_owned());
    }
    if !wait_until(5_000, || case.runs_now(BEFORE).iter().any(|run| run.worker == second.id())) {
        return NotRun("the first job does not run on the smaller worker".to_owned());
    }
    if case.trouble {
        case.record.note("disruption: the link to m-0 holds start orders up for 11 s");
        first.link.starts_late_ms.store(11_000, Ordering::SeqCst);
    }
    if !case.system.submit("/q/", JOB, "{\"work\":18000}", step) {
        return NotRun("the job was not accepted".to_owned());
    }
    if !wait_until(9_000, || !case.runs_now(JOB).is_empty()) {
        return NotRun("the job does not run".to_owned());
    }
    first.link.starts_late_ms.store(0, Ordering::SeqCst);
    sleep_ms(1_500);
    if case.trouble {
        case.record.note("disruption: the worker on m-0 crashes and starts again under its id");
        first.end_life("crashes");
        sleep_ms(500);
        let id = first.id();
        first.begin(&id, true);
    }
    let mut broken = None;
    wait_until(12_000, || {
        broken = overlapping(&case.runs_of(JOB), case.record.now_ms());
        broken.is_some()
    });
    // What follows is for the record.
    sleep_ms(3_000);
    let broken = overlapping(&case.runs_of(JOB), case.record.now_ms()).or(broken);
    broken.map_or(Held, |what| Broken(format!("TWICE: {what}")))
}

/// Two jobs that can never be done fail on sound workers; a lasting task that only these may run fails
/// once and does not start again.
fn set_aside(case: &mut Case) -> Outcome {
    const LASTING: &str = "00000000000000b0";
    let special = [case.worker(0, "m-0", &["b", "r1"], 8), case.worker(1, "m-1", &["b", "r1"], 8)];
    let mut workers = special.to_vec();
    for number in 2..6 {
        workers.push(case.worker(number, &format!("m-{number}"), &["a", "r2"], 8));
    }
    let queues = [
        Queue { prefix: "/q/", priority: 1, attempts: 4 },
        Queue { prefix: "/w/", priority: 1, attempts: 4 },
    ];
    if let Err(why) = case.set_up(&queues, &workers) {
        return NotRun(why);
    }
    let lasting = "{\"count\":1,\"cpu\":1000,\"mem-mb\":1000,\"gpu\":1,\"estimate-ms\":1000,\
                   \"requires\":\"b\",\"long-running\":true}";
    if !case.system.submit("/q/", LASTING, "{}", lasting) {
        return NotRun("the lasting job was not accepted".to_owned());
    }
    if !wait_until(5_000, || !case.runs_now(LASTING).is_empty()) {
        return NotRun("the lasting task does not run".to_owned());
    }
    // 32 jobs in 2.4 s, of which two can never be done: a share of 0.0625.
    let sound = "{\"count\":1,\"cpu\":1000,\"mem-mb\":1000,\"gpu\":1,\"estimate-ms\":200,\"requires\":\"a\"}";
    let hopeless = "{\"count\":2,\"cpu\":1000,\"mem-mb\":1000,\"gpu\":1,\"estimate-ms\":200,\
                    \"anti-affinity\":1,\"requires\":\"b\"}";
    case.record.note("32 jobs in 2.4 s; with the disruption, two of them can never be done");
    for number in 0..32 {
        let id = format!("00000000000001{number:02x}");
        let is_hopeless = number == 10 || number == 12;
        let (spec, step) = match (is_hopeless, case.trouble) {
            (true, true) => ("{\"work\":150,\"fails\":true}", hopeless),
            (true, false) => ("{\"work\":150}", hopeless),
            (false, _) => ("{\"work\":200}", sound),
        };
        if !case.system.submit("/w/", &id, spec, step) {
            return NotRun("a job was not accepted".to_owned());
        }
        sleep_ms(60);
    }
    let poison_over_ms = case.record.now_ms();
    // The lasting task fails by itself once, after the next attempts of these jobs.
    let again = || {
        let failed_since = |job: &str| {
            let late =
                |run: &Run| run.ended.as_ref().is_some_and(|(at_ms, _)| *at_ms > poison_over_ms);
            case.runs_of(job).iter().any(late)
        };
        failed_since("000000000000010a") && failed_since("000000000000010c")
    };
    wait_until(8_000, again);
    sleep_ms(800);
    let Some(run) = case.runs_now(LASTING).pop() else {
        return NotRun("the lasting task has ended by itself".to_owned());
    };
    let worker = special.iter().find(|worker| worker.id() == run.worker);
    case.record.note("the lasting task fails by itself");
    worker.inspect(|worker| worker.fail(&run.task));
    let failed_ms = case.record.now_ms();
    // From 6 s after its last run on, 3 s without a run break the rule. All workers are up and almost
    // idle, and the jobs that can never be done were sent over 4 s before that.
    let restarted = wait_until(20_000, || !case.runs_now(LASTING).is_empty());
    let away_ms = case.record.now_ms() - failed_ms;
    case.record.note(format!(
        "the lasting task was away for {away_ms} ms; {} ms lie between the disruption and its failure",
        failed_ms - poison_over_ms
    ));
    sleep_ms(500);
    if away_ms >= 9_000 {
        return Broken(format!(
            "LOST: a lasting task has nothing running for {away_ms} ms (started again: {restarted}), while two \
             idle sound workers have capacity for it"
        ));
    }
    Held
}

/// A queue without jobs is removed by a configuration while the first job for it is being handed in.
fn route_removed(case: &mut Case) -> Outcome {
    const ROUNDS: u64 = 168;
    let workers: Vec<_> =
        (0..3).map(|number| case.worker(number, &format!("m-{number}"), &["a", "r1"], 8)).collect();
    if let Err(why) = case.set_up(&[Queue { prefix: "/q/", priority: 1, attempts: 4 }], &workers) {
        return NotRun(why);
    }
    let step = "{\"count\":1,\"cpu\":1000,\"mem-mb\":1000,\"estimate-ms\":100}";
    let mut accepted = Vec::new();
    let mut version = 1;
    for round in 0..ROUNDS {
        let prefix: &'static str = format!("/n{round}/").leak();
        let with = [
            Queue { prefix: "/q/", priority: 1, attempts: 4 },
            Queue { prefix, priority: 1, attempts: 4 },
        ];
        version += 1;
        if !case.system.configure(version, &with, 0) {
            return NotRun("a configuration was not acknowledged".to_owned());
        }
        version += 1;
        let id = format!("00000000000003{round:02x}");
        // The job is handed in from 3 ms before the removal to 4 ms after it.
        let after_us = round % 28 * 250;
        let (removal, job) = (3_000_u64.saturating_sub(after_us), after_us.saturating_sub(3_000));
        let is_accepted = thread::scope(|scope| {
            let system = &case.system;
            let trouble = case.trouble;
            scope.spawn(move || {
                thread::sleep(Duration::from_micros(removal));
                let queues: &[Queue] = if trouble { &with[..1] } else { &with };
                system.configure(version, queues, 0)
            });
            thread::sleep(Duration::from_micros(job));
            system.submit_once(prefix, &id, "{\"work\":100}", step)
        });
        if is_accepted {
            accepted.push(id);
        }
        sleep_ms(20);
    }
    if accepted.is_empty() {
        return NotRun("no job was accepted".to_owned());
    }
    // finish_s after the end of the traffic, all jobs have had their turn on idle workers.
    sleep_ms(14_000);
    let lost: Vec<_> = accepted.iter().filter(|id| case.runs_of(id).is_empty()).collect();
    case.record.note(format!("{} jobs were accepted; never started: {lost:?}", accepted.len()));
    if lost.is_empty() {
        return Held;
    }
    Broken(format!(
        "LOST: of {} jobs that were accepted with 200 while their queue was removed, {} never started on idle \
         workers in 14 s",
        accepted.len(),
        lost.len()
    ))
}

/// Large jobs of a tenant without a guarantee take all idle capacity; then a tenant hands in a job that
/// its guarantee covers.
fn reclaim(case: &mut Case, (prefix, more): (&str, &str), borrowers: &[&str]) -> Outcome {
    const GUARANTEED: &str = "00000000000000e1";
    const RECLAIM_MS: u64 = 3_400;
    let workers: Vec<_> =
        (0..3).map(|number| case.worker(number, &format!("m-{number}"), &["a", "r1"], 8)).collect();
    let queues = [
        Queue { prefix: "/u/", priority: 0, attempts: 4 },
        Queue { prefix: "/w/", priority: 1, attempts: 4 },
    ];
    if let Err(why) = case.set_up_with(&queues, 8, &workers) {
        return NotRun(why);
    }
    if case.trouble {
        case.record
            .note("disruption: large jobs of south, which has no guarantee, take all 24 gpu");
        let step = format!(
            "{{\"count\":{},\"cpu\":1000,\"mem-mb\":1000,\"gpu\":1,\"estimate-ms\":1000,\
             \"long-running\":true{more}}}",
            24 / borrowers.len()
        );
        for id in borrowers {
            if !case.system.submit_as(KEY_OF_SOUTH, prefix, id, "{}", &step) {
                return NotRun("a borrower's job was not accepted".to_owned());
            }
        }
        let running = || borrowers.iter().map(|id| case.runs_now(id).len()).sum::<usize>();
        if !wait_until(8_000, || running() == 24) {
            return NotRun("the borrowers' tasks do not all run".to_owned());
        }
    }
    sleep_ms(5_000);
    let step = "{\"count\":4,\"cpu\":1000,\"mem-mb\":1000,\"gpu\":2,\"estimate-ms\":1000}";
    if !case.system.submit("/u/", GUARANTEED, "{\"work\":1000}", step) {
        return NotRun("the guaranteed job was not accepted".to_owned());
    }
    let accepted_ms = case.record.now_ms();
    let begun = wait_until(40_000, || case.runs_of(GUARANTEED).len() >= 4);
    let waited_ms = case.record.now_ms() - accepted_ms;
    let state = case.system.state("/u/", GUARANTEED);
    case.record
        .note(format!("all tasks have begun: {begun}, {waited_ms} ms after the acknowledgement"));
    if waited_ms > RECLAIM_MS {
        return Broken(format!(
            "RECLAIM: a job of 8 gpu, of a tenant with 8 gpu guaranteed, is {state} {waited_ms} ms after its \
             acknowledgement; all its tasks have begun: {begun}"
        ));
    }
    Held
}

/// Tasks stand still for a while on the only worker that a job may use; the job avoids it long after.
fn avoid(case: &mut Case) -> Outcome {
    const BEFORE: &str = "00000000000000f1";
    const JOB: &str = "00000000000000f0";
    let mut workers = vec![case.worker(0, "m-0", &["b", "r1"], 8)];
    for number in 1..10 {
        workers.push(case.worker(number, &format!("m-{number}"), &["a", "r2"], 8));
    }
    let queue = Queue { prefix: "/q/", priority: 1, attempts: 4 };
    if let Err(why) = case.set_up(&[queue], &workers) {
        return NotRun(why);
    }
    let step = "{\"count\":1,\"cpu\":1000,\"mem-mb\":1000,\"gpu\":1,\"estimate-ms\":1000,\"requires\":\"b\"}";
    if !case.system.submit("/q/", BEFORE, "{\"work\":600}", step) {
        return NotRun("the first job was not accepted".to_owned());
    }
    let is_done = || case.runs_of(BEFORE).iter().any(|run| run.ended.is_some());
    if !wait_until(5_000, is_done) {
        return NotRun("the first job was not done".to_owned());
    }
    sleep_ms(1_800);
    if case.trouble {
        case.record.note("disruption: tasks on m-0, one of ten workers, stand still for 5.5 s");
        workers[0].stands_still.store(true, Ordering::SeqCst);
    }
    let disturbed_ms = case.record.now_ms();
    if !case.system.submit("/q/", JOB, "{\"work\":1000}", step) {
        return NotRun("the job was not accepted".to_owned());
    }
    let traffic_ends_ms = case.record.now_ms();
    let left_ms = (disturbed_ms + 5_500).saturating_sub(case.record.now_ms());
    sleep_ms(left_ms);
    workers[0].stands_still.store(false, Ordering::SeqCst);
    case.record.note("tasks on m-0 work again");
    // From finish_s after the end of the traffic on, 3 s without a run break the rule.
    while case.record.now_ms() < traffic_ends_ms + 14_000 {
        sleep_ms(5);
    }
    let mut idle_since_ms = case.record.now_ms();
    let mut longest_ms = 0;
    let mut state = String::new();
    while case.record.now_ms() < traffic_ends_ms + 24_000 {
        if case
            .runs_of(JOB)
            .iter()
            .any(|run| run.ended.as_ref().is_some_and(|(_, how)| how == "done"))
        {
            break;
        }
        if !case.runs_now(JOB).is_empty() {
            idle_since_ms = case.record.now_ms();
        }
        longest_ms = longest_ms.max(case.record.now_ms() - idle_since_ms);
        sleep_ms(5);
        state = "not done".to_owned();
    }
    case.record.note(format!(
        "from 14 s after the end of the traffic on, nothing ran for {longest_ms} ms; {state}"
    ));
    if longest_ms >= 3_000 {
        return Broken(format!(
            "LOST: from 14 s after the end of the traffic on, an accepted job has nothing running for {longest_ms} ms, \
             while its worker is sound and idle"
        ));
    }
    Held
}

/// Two of ten workers crash once. Then one task crashes each worker that starts it, and may use these two.
fn crash_loop(case: &mut Case) -> Outcome {
    const DEADLY: &str = "00000000000000c0";
    const NEIGHBOUR: &str = "00000000000000c1";
    let mut workers =
        vec![case.worker(0, "m-0", &["b", "r1"], 8), case.worker(1, "m-1", &["b", "r1"], 8)];
    for number in 2..10 {
        workers.push(case.worker(number, &format!("m-{number}"), &["a", "r2"], 8));
    }
    let queue = Queue { prefix: "/q/", priority: 1, attempts: 4 };
    if let Err(why) = case.set_up(&[queue], &workers) {
        return NotRun(why);
    }
    if case.trouble {
        case.record.note("disruption: two of ten workers crash and start again under their ids");
        for worker in &workers[..2] {
            worker.end_life("crashes in the outage");
        }
        sleep_ms(1_500);
        for worker in &workers[..2] {
            let id = worker.id();
            worker.holds.store(0, Ordering::SeqCst);
            worker.begin(&id, true);
        }
        if !wait_until(15_000, || workers.iter().all(|w| w.holds.load(Ordering::SeqCst) >= 2)) {
            return NotRun("not all workers are held again".to_owned());
        }
        sleep_ms(6_000);
    }
    // Work of others on the same workers.
    let neighbour = "{\"count\":4,\"cpu\":1000,\"mem-mb\":1000,\"gpu\":3,\"estimate-ms\":15000,\
                     \"requires\":\"b\"}";
    if !case.system.submit("/q/", NEIGHBOUR, "{\"work\":15000}", neighbour) {
        return NotRun("the neighbours' job was not accepted".to_owned());
    }
    if !wait_until(5_000, || case.runs_now(NEIGHBOUR).len() == 4) {
        return NotRun("the neighbours' tasks do not run".to_owned());
    }
    sleep_ms(1_000);
    let step = "{\"count\":1,\"cpu\":1000,\"mem-mb\":1000,\"gpu\":1,\"estimate-ms\":10000,\"requires\":\"b\"}";
    if !case.system.submit("/q/", DEADLY, "{\"work\":3000,\"deadly\":true}", step) {
        return NotRun("the job was not accepted".to_owned());
    }
    // Crashed workers are back after 2 s.
    let begun_ms = case.record.now_ms();
    let mut back_at: BTreeMap<usize, u64> = BTreeMap::new();
    let mut state = String::new();
    let mut asked_ms = 0;
    while case.record.now_ms() < begun_ms + 55_000 {
        let now_ms = case.record.now_ms();
        for (number, worker) in workers.iter().enumerate() {
            if worker.is_up() {
                continue;
            }
            let back_ms = *back_at.entry(number).or_insert(now_ms + 2_000);
            if now_ms >= back_ms {
                back_at.remove(&number);
                let id = worker.id();
                worker.begin(&id, true);
            }
        }
        if now_ms >= asked_ms + 2_000 {
            asked_ms = now_ms;
            state = case.system.state("/q/", DEADLY);
        }
        if state == "failed" || crashes_under(case, DEADLY) >= 9 {
            break;
        }
        sleep_ms(20);
    }
    let (crashes, starts) = (crashes_under(case, DEADLY), case.runs_of(DEADLY).len());
    let lost = crashes_under(case, NEIGHBOUR);
    case.record.note(format!(
        "{crashes} workers crashed under the task, {starts} starts, job {state}; {lost} runs of others were lost"
    ));
    if crashes < 2 {
        return NotRun("the task crashed fewer than two workers".to_owned());
    }
    // Three more starts after three workers have crashed under it.
    if starts >= 6 {
        return Broken(format!(
            "BUDGET: a task that crashes the workers that start it was started {starts} times; {crashes} workers \
             crashed under it, with {lost} runs of others; its job is {state}"
        ));
    }
    Held
}

fn crashes_under(case: &Case, job: &str) -> usize {
    let gone = |run: &&Run| run.ended.as_ref().is_some_and(|(_, how)| how == "gone");
    case.runs_of(job).iter().filter(gone).count()
}

/// The leader is killed while the platform, which is slow, has its order about a machine. Later the worker
/// of that machine crashes.
fn wave_lost(case: &mut Case, platform: Option<&Platform>) -> Outcome {
    let Some(platform) = platform else {
        return NotRun("there is no platform".to_owned());
    };
    let workers: Vec<_> =
        (0..3).map(|number| case.worker(number, &format!("m-{number}"), &["a", "r1"], 8)).collect();
    platform.add(&workers);
    platform.slow_ms.store(1_000, Ordering::SeqCst);
    let queue = Queue { prefix: "/q/", priority: 1, attempts: 4 };
    if let Err(why) = case.set_up(&[queue], &workers) {
        return NotRun(why);
    }
    let wave = "{\"wave\":1,\"machines\":[\"m-0\"],\"duration-s\":30,\"cap\":1}";
    if case.system.operate("POST", "/cactuslatch/wave-start", wave).is_none() {
        return NotRun("the wave was not acknowledged".to_owned());
    }
    if case.trouble {
        if !wait_until(15_000, || platform.calls.load(Ordering::SeqCst) > 0) {
            return NotRun("no order about a machine was sent".to_owned());
        }
        let holder = lock(&platform.last_holder).clone();
        let Some(leader) =
            (0..world::CONTROL_HOSTS).find(|host| System::node_name(*host) == holder)
        else {
            return NotRun(format!("the order names the holder {holder}"));
        };
        case.record.note(format!("disruption: the leader, {holder}, is killed"));
        case.system.kill(leader);
        sleep_ms(1_000);
        case.system.start_process(leader, false);
        sleep_ms(17_000);
        if platform.upkeeps("m-0") == 0 {
            case.record.note(
                "no upkeep of m-0 has begun; its worker crashes and another is there 2 s later",
            );
            workers[0].end_life("crashes");
            sleep_ms(2_000);
            workers[0].begin("i-0-2", true);
        }
    }
    let mut state = String::new();
    wait_until(15_000, || {
        let reply = case.system.operate("GET", "/cactuslatch/wave-get/1", "");
        state = reply
            .map_or(String::new(), |r| r.json().get("state").text().unwrap_or_default().to_owned());
        sleep_ms(480);
        state == "completed"
    });
    let upkeeps = platform.upkeeps("m-0");
    case.record.note(format!("the wave is {state}; upkeeps of m-0 that have begun: {upkeeps}"));
    match (state.as_str(), upkeeps) {
        ("completed", 0) => Broken(
            "MIXED: the wave is said to be completed, and m-0, which stays, hasn't begun its upkeep".to_owned(),
        ),
        ("completed", _) => Held,
        _ if case.trouble => Held,
        _ => NotRun("the wave did not complete".to_owned()),
    }
}

/// A worker crashes and another one is back on its machine; then the machine has its upkeep in a wave.
fn wave_cap(case: &mut Case, platform: Option<&Platform>) -> Outcome {
    let Some(platform) = platform else {
        return NotRun("there is no platform".to_owned());
    };
    let workers: Vec<_> =
        (0..3).map(|number| case.worker(number, &format!("m-{number}"), &["a", "r1"], 8)).collect();
    platform.add(&workers);
    let queue = Queue { prefix: "/q/", priority: 1, attempts: 4 };
    if let Err(why) = case.set_up(&[queue], &workers) {
        return NotRun(why);
    }
    if case.trouble {
        case.record.note("disruption: the worker of m-0 crashes, a new one is there 2 s later");
        workers[0].end_life("crashes");
        sleep_ms(2_000);
        workers[0].holds.store(0, Ordering::SeqCst);
        workers[0].begin("i-0-2", false);
        if !wait_until(10_000, || workers[0].holds.load(Ordering::SeqCst) >= 2) {
            return NotRun("the new worker is not held".to_owned());
        }
    }
    let wave = "{\"wave\":1,\"machines\":[\"m-0\",\"m-1\",\"m-2\"],\"duration-s\":40,\"cap\":1}";
    if case.system.operate("POST", "/cactuslatch/wave-start", wave).is_none() {
        return NotRun("the wave was not acknowledged".to_owned());
    }
    let done = || (0..3).all(|number| platform.upkeeps(&format!("m-{number}")) > 0);
    let completed = wait_until(45_000, done);
    sleep_ms(3_500);
    let most = platform.most_down();
    case.record.note(format!(
        "at most {most} machines were down at once; all had their upkeep: {completed}"
    ));
    match most {
        0 | 1 if completed => Held,
        0 | 1 => NotRun("not all machines had their upkeep".to_owned()),
        _ => Broken(format!(
            "LIMIT: {most} machines of a wave with cap 1 were down for their upkeep at once"
        )),
    }
}

/// A machine has its upkeep on which two tasks run of a step with `max-unavailable` 1.
fn away(case: &mut Case, platform: Option<&Platform>) -> Outcome {
    const LASTING: &str = "00000000000000d0";
    let Some(platform) = platform else {
        return NotRun("there is no platform".to_owned());
    };
    let workers: Vec<_> =
        (0..3).map(|number| case.worker(number, &format!("m-{number}"), &["a", "r1"], 8)).collect();
    platform.add(&workers);
    let queue = Queue { prefix: "/q/", priority: 1, attempts: 4 };
    if let Err(why) = case.set_up(&[queue], &workers) {
        return NotRun(why);
    }
    let step = "{\"count\":2,\"cpu\":1000,\"mem-mb\":1000,\"gpu\":2,\"estimate-ms\":1000,\
                \"long-running\":true,\"max-unavailable\":1}";
    if !case.system.submit("/q/", LASTING, "{}", step) {
        return NotRun("the lasting job was not accepted".to_owned());
    }
    if !wait_until(5_000, || case.runs_now(LASTING).len() == 2) {
        return NotRun("the tasks do not run".to_owned());
    }
    let runs = case.runs_now(LASTING);
    if runs[0].worker != runs[1].worker {
        return NotRun("the tasks run on two workers".to_owned());
    }
    // Both are at work once they are at 100 percent, 0.5 s after their start.
    sleep_ms(8_000);
    let Some(machine) = workers.iter().find(|worker| worker.id() == runs[0].worker) else {
        return NotRun("the worker is gone".to_owned());
    };
    if case.trouble {
        case.record.note("disruption: a wave with this machine, cap 1, 60 s");
        let machine = &machine.machine;
        let wave =
            format!("{{\"wave\":1,\"machines\":[\"{machine}\"],\"duration-s\":60,\"cap\":1}}");
        if case.system.operate("POST", "/cactuslatch/wave-start", &wave).is_none() {
            return NotRun("the wave was not acknowledged".to_owned());
        }
    }
    wait_until(20_000, || platform.upkeeps(&machine.machine) > 0);
    sleep_ms(3_000);
    let now_ms = case.record.now_ms();
    let all = case.runs_of(LASTING);
    let at_work = |index: u32, at_ms: u64| {
        let task = format!("{LASTING}.0.0.{index}");
        all.iter().any(|run| {
            let end_ms = run.ended.as_ref().map_or(now_ms, |(end_ms, _)| *end_ms);
            run.task == task && run.begun_ms + 500 <= at_ms && at_ms < end_ms
        })
    };
    let both_away_ms =
        (all[0].begun_ms + 2_000..now_ms).filter(|at| !at_work(0, *at) && !at_work(1, *at)).count();
    case.record.note(format!("both tasks were away at once for {both_away_ms} ms"));
    let ended_by_order =
        |run: &&Run| run.ended.as_ref().is_some_and(|(_, how)| how == "stopped" || how == "gone");
    let orders = all.iter().filter(ended_by_order).count();
    if both_away_ms > 0 && orders >= 2 {
        return Broken(format!(
            "AVAIL: the system ended both tasks of a step with max-unavailable 1; both were away for {both_away_ms} ms"
        ));
    }
    Held
}

/// A worker crashes and starts again under its id as a worker of another kind, while an order for it is
/// being repeated.
fn other_kind(case: &mut Case) -> Outcome {
    const JOB: &str = "0000000000000050";
    let mut workers =
        vec![case.worker(0, "m-0", &["b", "r1"], 8), case.worker(1, "m-1", &["b", "r1"], 8)];
    for number in 2..10 {
        workers.push(case.worker(number, &format!("m-{number}"), &["a", "r2"], 8));
    }
    let queue = Queue { prefix: "/q/", priority: 1, attempts: 4 };
    if let Err(why) = case.set_up(&[queue], &workers) {
        return NotRun(why);
    }
    sleep_ms(2_000);
    if case.trouble {
        case.record.note("disruption: the worker of m-0 crashes");
        workers[0].end_life("crashes");
    }
    // A task for each of the two workers with the label.
    let step = "{\"count\":2,\"cpu\":1000,\"mem-mb\":1000,\"gpu\":5,\"estimate-ms\":1000,\"requires\":\"b\"}";
    if !case.system.submit("/q/", JOB, "{\"work\":500}", step) {
        return NotRun("the job was not accepted".to_owned());
    }
    if case.trouble {
        sleep_ms(700);
        case.record.note("it is back under its id and address, and of the kind a; its first heartbeat follows 0.4 s later");
        *lock(&workers[0].labels) = vec!["a".to_owned(), "r1".to_owned()];
        workers[0].first_beat_ms.store(400, Ordering::SeqCst);
        let id = workers[0].id();
        workers[0].begin(&id, true);
    }
    let mut state = String::new();
    wait_until(12_000, || {
        sleep_ms(480);
        state = case.system.state("/q/", JOB);
        state == "completed"
    });
    let has_label = |run: &&Run| run.labels.iter().any(|label| label == "b");
    let all = case.runs_of(JOB);
    let Some(wrong) = all.iter().find(|run| !has_label(run)) else {
        return Held;
    };
    let runs = all.iter().filter(|run| run.task == wrong.task).count();
    Broken(format!(
        "ROUTE: {} run {} started on {}, whose labels are {:?}, though it requires b; it ended {:?}; the task has \
         {runs} run(s) in all, and its job is {state}",
        wrong.task,
        wrong.run,
        wrong.worker,
        wrong.labels,
        wrong.ended.as_ref().map_or("not", |(_, how)| how)
    ))
}
