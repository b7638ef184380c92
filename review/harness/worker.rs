//! A worker as the users' pages describe it. Tasks take as long as their `spec` says: a number of
//! milliseconds, or `lasting`.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request, Server};
use crate::json::{Json, object};
use crate::record::Record;
use crate::site::SERVICE;

/// Longest lease.
const HOLD_MAX_MS: u64 = 10_000;

/// Largest number of ends in one answer.
const ENDS_MAX: usize = 500;

const HEARTBEAT: Duration = Duration::from_millis(1500);

/// One run in the history of all workers, for the check.
#[derive(Debug, Clone)]
pub struct RunSpan {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub begun: Instant,
    pub ended: Option<(Instant, &'static str)>,
    /// When the end was taken note of.
    pub noted: Option<Instant>,
}

/// The history of all runs, shared by all workers.
pub type History = Arc<Mutex<Vec<RunSpan>>>;

/// What a worker does with a start order, besides carrying it out.
pub type Delay = Box<dyn Fn(&Json) -> Option<Duration> + Send + Sync>;

struct Running {
    begun: Instant,
    /// `None` for a task that lasts.
    duration: Option<Duration>,
    cpu: u64,
    gpu: u64,
    span: usize,
}

/// State of one life of a worker.
struct Life {
    born_ms: u64,
    began: Instant,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<(String, u64), Running>,
    /// Highest run that was stopped or has ended, by task.
    last_ended: HashMap<String, u64>,
    /// Number, task, run, how, and place in the history.
    ended: Vec<(u64, String, u64, &'static str, usize)>,
    ends: u64,
    is_over: bool,
}

pub struct Worker {
    pub id: String,
    address: SocketAddr,
    machine: Option<String>,
    capacity: (u64, u64, u64),
    life: Mutex<Option<(Arc<Mutex<Life>>, Server)>>,
    controls: Vec<SocketAddr>,
    record: Record,
    history: History,
    delay: Option<Delay>,
}

impl Worker {
    /// Starts a worker; `capacity` is cpu, memory and accelerators.
    pub fn start(
        id: &str,
        address: SocketAddr,
        capacity: (u64, u64, u64),
        controls: Vec<SocketAddr>,
        record: &Record,
        history: &History,
        machine: Option<String>,
        delay: Option<Delay>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address,
            machine,
            capacity,
            life: Mutex::new(None),
            controls,
            record: record.clone(),
            history: Arc::clone(history),
            delay,
        });
        worker.begin();
        worker
    }

    /// Begins a life: under the same identity, knowing nothing of before.
    pub fn begin(self: &Arc<Self>) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let life = Arc::new(Mutex::new(Life {
            born_ms: u64::try_from(born.as_millis()).unwrap(),
            began: Instant::now(),
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            last_ended: HashMap::new(),
            ended: Vec::new(),
            ends: 0,
            is_over: false,
        }));
        let (worker, served) = (Arc::clone(self), Arc::clone(&life));
        let handler = move |request: Request| worker.handle(&served, &request);
        let server = Server::start(self.address, handler).expect("serve the worker's address");
        self.record.note(format!("{} begins at {}", self.id, self.address));
        *self.life.lock().unwrap() = Some((Arc::clone(&life), server));
        let worker = Arc::clone(self);
        let beating = Arc::clone(&life);
        thread::spawn(move || worker.send_heartbeats(&beating));
        let worker = Arc::clone(self);
        thread::spawn(move || {
            while !life.lock().unwrap().is_over {
                worker.end_due(&mut life.lock().unwrap());
                thread::sleep(Duration::from_millis(5));
            }
        });
    }

    /// Ends the life like a crash: everything that runs ends, and nothing is said.
    pub fn crash(&self) {
        let Some((life, server)) = self.life.lock().unwrap().take() else { return };
        server.close();
        let mut life = life.lock().unwrap();
        life.is_over = true;
        let mut history = self.history.lock().unwrap();
        for running in life.running.values() {
            history[running.span].ended = Some((Instant::now(), "crashed"));
        }
        self.record.note(format!("{} crashes with {} runs", self.id, life.running.len()));
    }

    /// Returns the worker's kind: `b` if its identity begins with `b-`, otherwise `a`.
    fn kind(&self) -> &'static str {
        if self.id.starts_with("b-") { "b" } else { "a" }
    }

    fn send_heartbeats(&self, life: &Mutex<Life>) {
        for sequence in 1_u64.. {
            let (born_ms, clock_ms) = {
                let life = life.lock().unwrap();
                if life.is_over {
                    return;
                }
                (life.born_ms, clock_ms(&life))
            };
            let (cpu, memory, gpu) = self.capacity;
            let capacity = object([
                ("cpu", cpu.into()),
                ("mem-mb", memory.into()),
                ("gpu", gpu.into()),
            ]);
            let mut body = object([
                ("service", SERVICE.into()),
                ("address", self.address.to_string().into()),
                ("zone", "z1".into()),
                ("version", "v1".into()),
                ("slots", 8_u64.into()),
                ("state", "ready".into()),
                ("cold-remaining-ms", 0_u64.into()),
                ("capacity", capacity),
                ("labels", vec![Json::from(self.kind()), Json::from("r1-1")].into()),
                ("clock-ms", clock_ms.into()),
                ("sequence", sequence.into()),
                ("born", born_ms.into()),
            ]);
            if let (Json::Object(fields), Some(machine)) = (&mut body, &self.machine) {
                fields.insert("machine".to_owned(), machine.as_str().into());
            }
            let path = format!("/cactuslatch/Instances.Heartbeat/{}", self.id);
            let body = body.to_string();
            self.controls.iter().find(|control| {
                let limit = Duration::from_secs(1);
                matches!(http::call(**control, "POST", &path, &[], &body, limit), Ok((200, _)))
            });
            thread::sleep(HEARTBEAT);
        }
    }

    fn handle(self: &Arc<Self>, life: &Arc<Mutex<Life>>, request: &Request) -> Option<Answer> {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        if request.headers.get("expect-instance").is_some_and(|id| *id != self.id) {
            return Some((421, b"{}".to_vec()));
        }
        if request.path == "/cactuslatch/run-start"
            && let Some(delay) = self.delay.as_ref().and_then(|delay| delay(&body))
        {
            // The order gets no answer and is carried out late, by whoever then lives here.
            let task = body.get("task").text().unwrap_or_default();
            let run = body.get("run-id").number().unwrap_or(0);
            self.record.note(format!("{}: start of {task} run {run} is held up", self.id));
            let worker = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(delay);
                let current = worker.life.lock().unwrap().as_ref().map(|(life, _)| Arc::clone(life));
                if let Some(life) = current {
                    worker.carry_out(&life, "/cactuslatch/run-start", &body);
                }
            });
            return None;
        }
        self.carry_out(life, &request.path, &body)
    }

    fn carry_out(&self, life: &Mutex<Life>, path: &str, body: &Json) -> Option<Answer> {
        {
            let mut life = life.lock().unwrap();
            let token = body.get("fencing-token").number().unwrap_or(0);
            if token < life.token {
                return refuse(&life, "fence");
            }
            life.token = token;
            if path != "/cactuslatch/run-stop" {
                let longest = clock_ms(&life) + HOLD_MAX_MS;
                let until = body.get("until-ms").number().unwrap_or(0).min(longest);
                life.lease_until_ms = life.lease_until_ms.max(until);
            }
        }
        match path {
            "/cactuslatch/run-start" => self.run_start(&mut life.lock().unwrap(), body),
            "/cactuslatch/run-stop" => self.run_stop(&mut life.lock().unwrap(), body),
            "/cactuslatch/hold" => self.hold(life, body),
            _ => Some((404, b"{}".to_vec())),
        }
    }

    fn run_start(&self, life: &mut Life, body: &Json) -> Option<Answer> {
        let task = body.get("task").text()?.to_owned();
        let run = body.get("run-id").number()?;
        if body.get("until-ms").number().unwrap_or(0) <= clock_ms(life) {
            return refuse(life, "late");
        }
        if life.running.contains_key(&(task.clone(), run)) {
            return done(life);
        }
        if life.last_ended.get(&task).is_some_and(|last| run <= *last) {
            return refuse(life, "old");
        }
        // The stand-in's spec: duration, processors and accelerators of the task.
        let spec = body.get("spec").text()?;
        let mut words = spec.split(' ');
        let duration = words.next()?.parse().ok().map(Duration::from_millis);
        let cpu: u64 = words.next()?.parse().ok()?;
        let gpu: u64 = words.next()?.parse().ok()?;
        let used_cpu: u64 = life.running.values().map(|running| running.cpu).sum();
        let used_gpu: u64 = life.running.values().map(|running| running.gpu).sum();
        if used_cpu + cpu > self.capacity.0 || used_gpu + gpu > self.capacity.2 {
            return refuse(life, "room");
        }
        self.record.note(format!("{} starts {task} run {run}", self.id));
        let begun = Instant::now();
        let span = {
            let mut history = self.history.lock().unwrap();
            history.push(RunSpan {
                worker: self.id.clone(),
                task: task.clone(),
                run,
                begun,
                ended: None,
                noted: None,
            });
            history.len() - 1
        };
        life.running.insert((task, run), Running { begun, duration, cpu, gpu, span });
        done(life)
    }

    fn run_stop(&self, life: &mut Life, body: &Json) -> Option<Answer> {
        let task = body.get("task").text()?.to_owned();
        let run = body.get("run-id").number()?;
        if life.running.contains_key(&(task.clone(), run)) {
            self.end(life, &(task.clone(), run), "stopped");
        }
        let last = life.last_ended.entry(task).or_default();
        *last = run.max(*last);
        done(life)
    }

    fn hold(&self, life: &Mutex<Life>, body: &Json) -> Option<Answer> {
        let seen = body.get("last-seen").number().unwrap_or(0);
        let wait = Duration::from_millis(body.get("wait-ms").number().unwrap_or(0).min(2000));
        let begun = Instant::now();
        loop {
            {
                let mut life = life.lock().unwrap();
                self.forget(&mut life, seen);
                self.end_due(&mut life);
                if life.is_over {
                    return None;
                }
                if !life.ended.is_empty() || begun.elapsed() >= wait {
                    return Some((200, lists(&life).to_string().into_bytes()));
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Takes note that ends up to a number are known.
    fn forget(&self, life: &mut Life, seen: u64) {
        let mut history = self.history.lock().unwrap();
        for (.., span) in life.ended.iter().filter(|(number, ..)| *number <= seen) {
            history[*span].noted.get_or_insert(Instant::now());
        }
        life.ended.retain(|(number, ..)| *number > seen);
    }

    /// Ends the runs whose work is done, and all if the lease has ended.
    fn end_due(&self, life: &mut Life) {
        let lapsed = life.lease_until_ms <= clock_ms(life);
        let is_due = |running: &Running| {
            running.duration.is_some_and(|duration| running.begun.elapsed() >= duration)
        };
        let due: Vec<_> = life
            .running
            .iter()
            .filter(|(_, running)| lapsed || is_due(running))
            .map(|(key, running)| (key.clone(), if is_due(running) { "done" } else { "lapsed" }))
            .collect();
        for (key, how) in due {
            self.end(life, &key, how);
        }
    }

    fn end(&self, life: &mut Life, key: &(String, u64), how: &'static str) {
        let Some(running) = life.running.remove(key) else { return };
        let (task, run) = key.clone();
        self.record.note(format!("{}: {task} run {run} ends {how}", self.id));
        self.history.lock().unwrap()[running.span].ended = Some((Instant::now(), how));
        life.ends += 1;
        life.ended.push((life.ends, task.clone(), run, how, running.span));
        let last = life.last_ended.entry(task).or_default();
        *last = run.max(*last);
    }
}

fn clock_ms(life: &Life) -> u64 {
    // A clock that began some time before the life does.
    100_000 + u64::try_from(life.began.elapsed().as_millis()).unwrap()
}

fn done(life: &Life) -> Option<Answer> {
    Some((200, object([("clock-ms", clock_ms(life).into())]).to_string().into_bytes()))
}

fn refuse(life: &Life, reason: &str) -> Option<Answer> {
    let body = object([("clock-ms", clock_ms(life).into()), ("reason", reason.into())]);
    Some((409, body.to_string().into_bytes()))
}

fn lists(life: &Life) -> Json {
    let running = life.running.iter().map(|((task, run), running)| {
        let percent = running.duration.map_or(100, |duration| {
            let share = running.begun.elapsed().as_millis() * 100 / duration.as_millis().max(1);
            u64::try_from(share).unwrap().min(99)
        });
        let row = vec![
            Json::from(task.as_str()),
            (*run).into(),
            "".into(),
            percent.into(),
            running.cpu.into(),
        ];
        Json::from(row)
    });
    let ended = life.ended.iter().take(ENDS_MAX).map(|(number, task, run, how, _)| {
        let row = vec![
            (*number).into(),
            Json::from(task.as_str()),
            (*run).into(),
            (*how).into(),
            "".into(),
        ];
        Json::from(row)
    });
    object([
        ("clock-ms", clock_ms(life).into()),
        ("born", life.born_ms.into()),
        ("running", running.collect::<Vec<_>>().into()),
        ("ended-runs", ended.collect::<Vec<_>>().into()),
    ])
}
