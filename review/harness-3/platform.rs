//! A stand-in of the platform's interface for orders about machines.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::net::{Json, Message, read_message, write_response};
use crate::world::{Record, Worker, lock, sleep_ms};

/// Time that an upkeep takes (`maintenance-s`).
const UPKEEP_MS: u64 = 2_000;

#[derive(Default)]
struct Machine {
    worker: Option<Arc<Worker>>,
    token: u64,
    is_in_upkeep: bool,
    /// Waves for which its upkeep has begun.
    waves: Vec<u64>,
}

#[derive(Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    most_down: usize,
}

/// The platform; clones share its state.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    /// Time until it carries out an order, unless its caller has gone by then.
    pub slow_ms: Arc<AtomicU64>,
    pub calls: Arc<AtomicU64>,
    pub last_holder: Arc<Mutex<String>>,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Platform {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let platform = Self {
            address,
            slow_ms: Arc::default(),
            calls: Arc::default(),
            last_holder: Arc::default(),
            state: Arc::default(),
            record: record.clone(),
        };
        let served = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = served.clone();
                thread::spawn(move || platform.serve(stream));
            }
        });
        platform
    }

    pub fn add(&self, workers: &[Arc<Worker>]) {
        let mut state = lock(&self.state);
        for worker in workers {
            let machine = Machine { worker: Some(Arc::clone(worker)), ..Machine::default() };
            state.machines.insert(worker.machine.clone(), machine);
        }
    }

    /// Returns for how many waves the upkeep of a machine has begun.
    pub fn upkeeps(&self, machine: &str) -> usize {
        lock(&self.state).machines.get(machine).map_or(0, |machine| machine.waves.len())
    }

    /// Returns how many machines at most were down for their upkeep at once.
    pub fn most_down(&self) -> usize {
        lock(&self.state).most_down
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            self.calls.fetch_add(1, Ordering::SeqCst);
            *lock(&self.last_holder) =
                request.headers.get("lease-holder").cloned().unwrap_or_default();
            self.record.note(format!("platform: {} {} arrives", request.path, request.body));
            sleep_ms(self.slow_ms.load(Ordering::SeqCst));
            if has_gone(&stream) {
                self.record.note("platform: its caller has gone, nothing is carried out");
                return;
            }
            let (status, body) = self.handle(&request);
            self.record
                .note(format!("platform: {} {} -> {status} {body}", request.path, request.body));
            if !write_response(&mut stream, status, &body) {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let body: Json = request.json();
        let refuse = |reason: &str| (409, format!("{{\"reason\":\"{reason}\"}}"));
        if request.path != "/cactuslatch/machine-upkeep" {
            return (404, "{}".to_owned());
        }
        let name = body.get("machine").text().unwrap_or_default().to_owned();
        let wave = body.get("wave").u64().unwrap_or(0);
        let token: u64 =
            request.headers.get("fencing-token").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = lock(&self.state);
        let Some(machine) = state.machines.get_mut(&name) else {
            return (400, "{}".to_owned());
        };
        if token < machine.token {
            return refuse("fence");
        }
        machine.token = token;
        if machine.waves.contains(&wave) {
            return (200, "{}".to_owned());
        }
        let Some(worker) = machine.worker.clone().filter(|worker| worker.is_up()) else {
            return refuse("busy");
        };
        machine.waves.push(wave);
        machine.is_in_upkeep = true;
        worker.end_life("ends for the upkeep of its machine");
        let down = state.machines.values().filter(|machine| machine.is_in_upkeep).count();
        state.most_down = state.most_down.max(down);
        drop(state);
        let platform = self.clone();
        thread::spawn(move || {
            sleep_ms(UPKEEP_MS);
            if let Some(machine) = lock(&platform.state).machines.get_mut(&name) {
                machine.is_in_upkeep = false;
            }
            platform.record.note(format!("platform: the upkeep of {name} is over"));
            worker.begin(&format!("{}-after-upkeep", worker.machine), false);
        });
        (200, "{}".to_owned())
    }
}

/// Returns whether the other side has closed the connection.
fn has_gone(stream: &TcpStream) -> bool {
    _ = stream.set_nonblocking(true);
    let has_gone = !matches!(
        stream.peek(&mut [0]),
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
    );
    _ = stream.set_nonblocking(false);
    has_gone
}
