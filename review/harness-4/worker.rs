//! A stand-in worker that follows PROTOCOL.md: fencing, leases, capacity, ends, heartbeats, draining.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::Json;
use crate::record::Record;
use crate::unix_ms;

pub const BEAT: Duration = Duration::from_millis(1_500);

/// What a worker is, apart from its life.
#[derive(Debug, Clone)]
pub struct Plan {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub rack: String,
    pub cpu: u64,
    pub gpu: u64,
    pub hold_max_ms: u64,
    pub control: Vec<SocketAddr>,
}

#[derive(Debug, Clone)]
struct Run {
    run: u64,
    since: Instant,
    work_ms: u64,
}

/// One line of what a worker did.
#[derive(Debug, Clone)]
pub struct Deed {
    pub task: String,
    pub what: &'static str,
}

#[derive(Debug, Default)]
struct State {
    token: u64,
    running: BTreeMap<String, Run>,
    stopped: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    latest_end: u64,
    until_ms: u64,
    sequence: u64,
    draining: Option<Instant>,
    gone: bool,
}

/// What all workers of a case did, in order.
pub type Deeds = Arc<Mutex<Vec<Deed>>>;

#[derive(Clone)]
pub struct Worker {
    pub plan: Arc<Plan>,
    pub address: SocketAddr,
    pub born: u64,
    started: Instant,
    state: Arc<Mutex<State>>,
    deeds: Deeds,
    record: Record,
}

impl Worker {
    /// Begins a life. All lives at one address are told apart by `slot`.
    pub fn start(plan: Plan, slot: &Slot, deeds: &Deeds, record: &Record) -> Worker {
        let worker = Worker {
            plan: Arc::new(plan),
            address: slot.address,
            born: unix_ms(),
            started: Instant::now(),
            state: Arc::default(),
            deeds: Arc::clone(deeds),
            record: record.clone(),
        };
        record.line(&format!("worker {} begins (machine {})", worker.plan.id, worker.plan.machine));
        *slot.life.lock().unwrap() = Some(worker.clone());
        let beating = worker.clone();
        thread::spawn(move || beating.beat());
        let tending = worker.clone();
        thread::spawn(move || {
            while !tending.state.lock().unwrap().gone {
                tending.tend();
                thread::sleep(Duration::from_millis(10));
            }
        });
        worker
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Ends this life at once: everything on it terminates, and nothing is sent any more.
    pub fn vanish(&self, why: &str) {
        let mut state = self.state.lock().unwrap();
        state.gone = true;
        for (task, run) in std::mem::take(&mut state.running) {
            self.deed(&task, run.run, "killed with its worker");
        }
        self.record.line(&format!("worker {} ends: {why}", self.plan.id));
    }

    /// Says that it leaves in `remaining`; returns once that is acknowledged, or after `limit`.
    pub fn drain(&self, remaining: Duration, limit: Duration) -> bool {
        self.state.lock().unwrap().draining = Some(Instant::now() + remaining);
        self.record.line(&format!("worker {} drains for {remaining:?}", self.plan.id));
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.beat_once() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_gone(&self) -> bool {
        self.state.lock().unwrap().gone
    }

    /// Tasks in execution.
    pub fn running(&self) -> Vec<String> {
        self.state.lock().unwrap().running.keys().cloned().collect()
    }

    fn deed(&self, task: &str, run: u64, what: &'static str) {
        self.record.line(&format!("worker {}: {task} run {run}: {what}", self.plan.id));
        self.deeds.lock().unwrap().push(Deed { task: task.to_owned(), what });
    }

    fn beat(&self) {
        while !self.is_gone() {
            self.beat_once();
            thread::sleep(BEAT);
        }
    }

    /// Sends one heartbeat, to the next node if one does not acknowledge it within a second.
    fn beat_once(&self) -> bool {
        let body = {
            let mut state = self.state.lock().unwrap();
            if state.gone {
                return false;
            }
            state.sequence += 1;
            let (mode, remaining) = match state.draining {
                Some(until) => {
                    let left = until.saturating_duration_since(Instant::now()).as_millis();
                    ("draining", format!(",\"drain-remaining-ms\":{left}"))
                }
                None => ("ready", String::new()),
            };
            let Plan { service, machine, rack, cpu, gpu, .. } = &*self.plan;
            format!(
                "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"dc\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"{mode}\",\"cold-remaining-ms\":0,\"machine\":\"{machine}\",\
                 \"capacity\":{{\"cpu\":{cpu},\"mem-mb\":524288,\"gpu\":{gpu}}},\
                 \"labels\":[\"a\",\"{rack}\"],\"clock-ms\":{},\"sequence\":{},\"born\":{}{remaining}}}",
                self.address,
                self.clock_ms(),
                state.sequence,
                self.born
            )
        };
        let path = format!("/cactuslatch/Instances.Heartbeat/{}", self.plan.id);
        let offset = self.plan.id.len() + self.state.lock().unwrap().sequence as usize;
        for number in 0..self.plan.control.len() {
            let address = self.plan.control[(number + offset) % self.plan.control.len()];
            let answer = http::call(address, "POST", &path, &[], &body, Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
        }
        false
    }

    /// Ends runs that are done, and everything once the lease is over.
    fn tend(&self) {
        let mut state = self.state.lock().unwrap();
        if state.gone {
            return;
        }
        let lapsed = self.clock_ms() > state.until_ms;
        let due: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                if run.since.elapsed().as_millis() as u64 >= run.work_ms {
                    Some((task.clone(), "done"))
                } else {
                    lapsed.then(|| (task.clone(), "lapsed"))
                }
            })
            .collect();
        for (task, how) in due {
            self.end(&mut state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.latest_end += 1;
        let number = state.latest_end;
        state.ended.push((number, task.to_owned(), run.run, how));
        let last = state.stopped.entry(task.to_owned()).or_default();
        *last = (*last).max(run.run);
        self.deed(task, run.run, how);
    }

    fn extend(&self, state: &mut State, until_ms: Option<u64>) {
        let Some(until_ms) = until_ms else { return };
        let longest = self.clock_ms() + self.plan.hold_max_ms;
        state.until_ms = state.until_ms.max(until_ms.min(longest));
    }

    fn refuse(&self, reason: &str) -> Answer {
        Some((409, format!("{{\"clock-ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms())))
    }

    fn done(&self) -> Answer {
        Some((200, format!("{{\"clock-ms\":{}}}", self.clock_ms())))
    }

    fn handle(&self, request: &Request) -> Answer {
        if self.is_gone() {
            return None;
        }
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.plan.id {
            return Some((421, format!("{{\"clock-ms\":{}}}", self.clock_ms())));
        }
        let Some(body) = Json::parse(&request.body) else { return Some((400, "{}".into())) };
        let token = body.get("fencing-token").u64().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if token < state.token {
                return self.refuse("fence");
            }
            state.token = token;
        }
        match &*request.path {
            "/cactuslatch/run-start" => self.run_start(&body),
            "/cactuslatch/run-stop" => self.run_stop(&body),
            "/cactuslatch/pace" => self.done(),
            "/cactuslatch/hold" => self.hold(&body),
            _ => Some((404, "{}".into())),
        }
    }

    /// A task takes the milliseconds that its spec states, as in `ms=1500`.
    fn run_start(&self, body: &Json) -> Answer {
        let task = body.get("task").text()?.to_owned();
        let run = body.get("run-id").u64()?;
        let spec = body.get("spec").text().unwrap_or("");
        let work_ms = spec.split("ms=").nth(1).and_then(|text| text.parse().ok()).unwrap_or(100);
        let until = body.get("until-ms").u64();
        let mut state = self.state.lock().unwrap();
        if until.is_some_and(|until| until <= self.clock_ms()) {
            return self.refuse("late");
        }
        self.extend(&mut state, until);
        if state.running.get(&task).is_some_and(|known| known.run == run) {
            return self.done();
        }
        let is_old = state.stopped.get(&task).is_some_and(|last| run <= *last)
            || state.running.contains_key(&task);
        if is_old {
            return self.refuse("old");
        }
        state.running.insert(task.clone(), Run { run, since: Instant::now(), work_ms });
        self.deed(&task, run, "started");
        self.done()
    }

    fn run_stop(&self, body: &Json) -> Answer {
        let task = body.get("task").text()?.to_owned();
        let run = body.get("run-id").u64()?;
        let mut state = self.state.lock().unwrap();
        if state.running.get(&task).is_some_and(|known| known.run <= run) {
            self.end(&mut state, &task, "stopped");
        }
        let last = state.stopped.entry(task).or_default();
        *last = (*last).max(run);
        self.done()
    }

    fn hold(&self, body: &Json) -> Answer {
        let seen = body.get("last-seen").u64().unwrap_or(0);
        let wait = Duration::from_millis(body.get("wait-ms").u64().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        {
            let mut state = self.state.lock().unwrap();
            self.extend(&mut state, body.get("until-ms").u64());
            state.ended.retain(|(number, ..)| *number > seen);
        }
        loop {
            {
                let state = self.state.lock().unwrap();
                if state.gone {
                    return None;
                }
                if !state.ended.is_empty() || Instant::now() >= until {
                    return Some((200, self.lists(&state)));
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn lists(&self, state: &State) -> String {
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, run)| {
                let worked = run.since.elapsed().as_millis() as u64 * 100 / run.work_ms.max(1);
                format!("[\"{task}\",{},\"\",{},1000]", run.run, worked.min(99))
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        format!(
            "{{\"clock-ms\":{},\"born\":{},\"running\":[{}],\"ended-runs\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            ended.join(",")
        )
    }
}

/// An address at which one worker lives after the other. A worker that has ended does not answer.
#[derive(Clone)]
pub struct Slot {
    pub address: SocketAddr,
    life: Arc<Mutex<Option<Worker>>>,
}

impl Slot {
    pub fn open(ip: std::net::IpAddr) -> Slot {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let life: Arc<Mutex<Option<Worker>>> = Arc::default();
        let lives = Arc::clone(&life);
        http::serve(listener, move |request| {
            let worker = lives.lock().unwrap().clone();
            worker.and_then(|worker| worker.handle(&request))
        });
        Slot { address, life }
    }
}
