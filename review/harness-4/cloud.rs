//! The platform's interface for machines: `machine-upkeep` with fencing, as PROTOCOL.md tells it.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use crate::http::{self, Answer, Request};
use crate::json::Json;
use crate::record::Record;

#[derive(Default)]
struct State {
    /// Whether all calls get 429.
    busy: bool,
    tokens: BTreeMap<String, u64>,
    /// Machines of each wave.
    waves: BTreeMap<u64, Vec<String>>,
    /// Machines whose upkeep has begun, in order.
    begun: Vec<(u64, String)>,
    /// The latest machine for which an order got 429.
    refused: Option<String>,
}

type Upkeep = Arc<dyn Fn(&str) + Send + Sync>;

#[derive(Clone)]
pub struct Cloud {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
    /// Called when the upkeep of a machine begins.
    upkeep: Arc<Mutex<Option<Upkeep>>>,
}

impl Cloud {
    pub fn open(record: &Record) -> Cloud {
        let ip = IpAddr::from([127, 0, 0, 1]);
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let cloud = Cloud {
            address,
            state: Arc::default(),
            record: record.clone(),
            upkeep: Arc::default(),
        };
        let serving = cloud.clone();
        http::serve(listener, move |request| serving.handle(&request));
        cloud
    }

    pub fn on_upkeep(&self, upkeep: impl Fn(&str) + Send + Sync + 'static) {
        *self.upkeep.lock().unwrap() = Some(Arc::new(upkeep));
    }

    pub fn set_wave(&self, wave: u64, machines: &[&str]) {
        let machines = machines.iter().map(|machine| (*machine).to_owned()).collect();
        self.state.lock().unwrap().waves.insert(wave, machines);
    }

    pub fn set_busy(&self, busy: bool) {
        self.record.line(if busy { "platform answers 429" } else { "platform answers again" });
        self.state.lock().unwrap().busy = busy;
    }

    /// The latest machine for which an order got 429.
    pub fn refused(&self) -> Option<String> {
        self.state.lock().unwrap().refused.clone()
    }

    pub fn begun(&self) -> Vec<String> {
        self.state.lock().unwrap().begun.iter().map(|(_, machine)| machine.clone()).collect()
    }

    fn handle(&self, request: &Request) -> Answer {
        if request.path != "/cactuslatch/machine-upkeep" {
            return Some((404, "{}".into()));
        }
        let body = Json::parse(&request.body)?;
        let machine = body.get("machine").text()?.to_owned();
        let wave = body.get("wave").u64()?;
        let token: u64 = request.header("fencing-token").parse().unwrap_or(0);
        let holder = request.header("lease-holder").to_owned();
        let answer = self.decide(&machine, wave, token);
        let status = answer.as_ref().map_or(0, |(status, _)| *status);
        self.record.line(&format!(
            "platform: upkeep of {machine} in wave {wave} by {holder} with token {token}: {status}"
        ));
        answer
    }

    fn decide(&self, machine: &str, wave: u64, token: u64) -> Answer {
        let mut state = self.state.lock().unwrap();
        if state.busy {
            state.refused = Some(machine.to_owned());
            return Some((429, "{}".into()));
        }
        let known = state.tokens.entry(machine.to_owned()).or_default();
        if token < *known {
            return Some((409, "{\"reason\":\"fence\"}".into()));
        }
        *known = token;
        match state.waves.get(&wave) {
            Some(machines) if machines.iter().any(|known| known == machine) => {}
            _ => return Some((409, "{\"reason\":\"wave\"}".into())),
        }
        let upkeep = (wave, machine.to_owned());
        if !state.begun.contains(&upkeep) {
            state.begun.push(upkeep);
            drop(state);
            if let Some(upkeep) = self.upkeep.lock().unwrap().clone() {
                upkeep(machine);
            }
        }
        Some((200, "{}".into()))
    }
}
