//! Compares `rouille` with this project's `hyper` server: memory, threads and slow callers.
//!
//! Run with `cargo run --release --example rouille_trial -- rouille` and `... -- hyper`. Each server
//! runs in a separate process, so that threads and memory are those of one server.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use cactuslatch::local::AddressBlock;
use cactuslatch::standin::{RunningStandin, StandinSettings};
use rouille::{Response, Server};
use tokio::runtime::Runtime;

/// Connections that send half a head, and as many that send half a body.
const HALF_SENT_OF_EACH_KIND: usize = 200;
/// Callers that send a whole request and wait for the answer.
const WAITING_CALLERS: usize = 1_024;
/// Work time of the request of a waiting caller.
const WORK_MS: u64 = 4_000;
/// Time for new requests to reach the server.
const ARRIVAL_TIME: Duration = Duration::from_secs(2);
/// Time limit of heads and bodies of the `hyper` server.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// A server under trial.
enum Trial {
    Rouille { server: Server<fn(&rouille::Request) -> Response> },
    Hyper { runtime: Runtime, standin: RunningStandin },
}

/// Requests that the `rouille` server has completed.
static COMPLETED: AtomicU32 = AtomicU32::new(0);

fn main() -> ExitCode {
    let kind = std::env::args().nth(1).unwrap_or_default();
    let block = AddressBlock::take().expect("a free block of loopback addresses");
    let address = block.work(1);
    let trial = match kind.as_str() {
        "rouille" => start_rouille(address),
        "hyper" => start_hyper(address),
        _ => {
            eprintln!("name the server: rouille or hyper");
            return ExitCode::FAILURE;
        }
    };
    report("idle", &kind);
    let half_sent = open_half_sent(address);
    trial.run_for(ARRIVAL_TIME);
    report("400 half-sent", &kind);
    let waiting = open_waiting(address);
    trial.run_for(ARRIVAL_TIME);
    report("400 half-sent, 1,024 waiting", &kind);
    println!("{kind}: {} of {WAITING_CALLERS} waiting callers connected", waiting.len());
    let answered = hang_up_and_read(&trial, waiting);
    println!("{kind}: {answered} of {} that stayed got whole answers", WAITING_CALLERS / 2);
    trial.run_for(RECEIVE_TIMEOUT);
    println!(
        "{kind}: {} of 400 half-sent are still open after the time limit",
        count_open(&half_sent)
    );
    report("after the time limit", &kind);
    trial.stop(&kind, address);
    ExitCode::SUCCESS
}

fn start_rouille(address: SocketAddr) -> Trial {
    let handler: fn(&rouille::Request) -> Response = |request| {
        let mut body = Vec::new();
        if let Some(mut data) = request.data() {
            _ = data.read_to_end(&mut body);
        }
        std::thread::sleep(Duration::from_millis(work_ms(&body)));
        COMPLETED.fetch_add(1, Ordering::AcqRel);
        Response::text("done")
    };
    Trial::Rouille { server: Server::new(address, handler).expect("the port is free") }
}

fn work_ms(body: &[u8]) -> u64 {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    value["work_ms"].as_u64().unwrap_or(0)
}

/// Starts a stand-in, which uses the project's server, with more slots and connections than callers.
fn start_hyper(address: SocketAddr) -> Trial {
    let runtime = Runtime::new().expect("a runtime");
    let settings = StandinSettings {
        name: "worker".parse().expect("a valid name"),
        incarnation: 1,
        address,
        advertised: None,
        services: vec!["plan".parse().expect("a valid name")],
        rack: "rack".parse().expect("a valid name"),
        rack_position: 0,
        accelerators: 8,
        slots: 4_096,
        connections: 2_048,
        entry_hosts: Vec::new(),
    };
    let standin =
        runtime.block_on(cactuslatch::standin::start(settings)).expect("the port is free");
    Trial::Hyper { runtime, standin }
}

impl Trial {
    /// Lets the server run; `rouille` accepts only while it is polled.
    fn run_for(&self, time: Duration) {
        let started = Instant::now();
        while started.elapsed() < time {
            match self {
                Self::Rouille { server } => server.poll_timeout(Duration::from_millis(50)),
                Self::Hyper { .. } => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    /// Returns the requests completed by `rouille`, or those started by the stand-in.
    fn requests_run(&self) -> u32 {
        match self {
            Self::Rouille { .. } => COMPLETED.load(Ordering::Acquire),
            Self::Hyper { standin, .. } => standin.started(),
        }
    }

    /// Stops the server with one request in flight and prints whether it was answered.
    fn stop(self, kind: &str, address: SocketAddr) {
        let mut caller = send(address, 0, 1_000).expect("a connection");
        self.run_for(Duration::from_millis(200));
        let reader = std::thread::spawn(move || is_answered(&mut caller));
        let started = Instant::now();
        match self {
            Self::Rouille { server } => server.join(),
            Self::Hyper { runtime, standin } => runtime.block_on(standin.leave()),
        }
        let took = started.elapsed().as_millis();
        let answered = reader.join().unwrap_or(false);
        println!("{kind}: stopped after {took} ms; the request in flight was answered: {answered}");
    }
}

fn open_half_sent(address: SocketAddr) -> Vec<TcpStream> {
    let connect = |text: &str| {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.write_all(text.as_bytes()).expect("half a request is sent");
        stream
    };
    let head = "POST /v1/run HTTP/1.1\r\nHost: a\r\nCact";
    let body = "POST /v1/run HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"work";
    let heads = (0..HALF_SENT_OF_EACH_KIND).map(|_| connect(head));
    heads.chain((0..HALF_SENT_OF_EACH_KIND).map(|_| connect(body))).collect()
}

fn send(address: SocketAddr, number: usize, work_ms: u64) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    let body = format!("{{\"work_ms\":{work_ms}}}");
    write!(
        stream,
        "POST /v1/run HTTP/1.1\r\nHost: a\r\nCactuslatch-Key: north/20260101-{work_ms}-{number}\r\n\
         Cactuslatch-Attempt: 1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    Ok(stream)
}

fn open_waiting(address: SocketAddr) -> Vec<TcpStream> {
    (0..WAITING_CALLERS).filter_map(|number| send(address, number, WORK_MS).ok()).collect()
}

/// Closes every second connection and returns the number of the others that were answered.
fn hang_up_and_read(trial: &Trial, waiting: Vec<TcpStream>) -> usize {
    let (staying, leaving): (Vec<_>, Vec<_>) =
        waiting.into_iter().enumerate().partition(|(number, _)| number % 2 == 0);
    drop(leaving);
    trial.run_for(Duration::from_millis(WORK_MS) + ARRIVAL_TIME);
    println!("work ran to its end for {} callers, half of which had left", trial.requests_run());
    staying.into_iter().filter_map(|(_, mut stream)| is_answered(&mut stream).then_some(())).count()
}

fn is_answered(stream: &mut TcpStream) -> bool {
    _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut answer = [0_u8; 1024];
    matches!(stream.read(&mut answer), Ok(size) if answer[..size].starts_with(b"HTTP/1.1 200"))
}

fn count_open(streams: &[TcpStream]) -> usize {
    let is_open = |mut stream: &TcpStream| {
        _ = stream.set_nonblocking(true);
        let mut answer = [0_u8; 1024];
        // The time limit shows as an error answer or as the end of the stream.
        matches!(stream.read(&mut answer), Err(error) if error.kind() == ErrorKind::WouldBlock)
    };
    streams.iter().filter(|stream| is_open(stream)).count()
}

fn report(step: &str, kind: &str) {
    let status = std::fs::read_to_string(Path::new("/proc/self/status")).unwrap_or_default();
    let figure = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.unwrap_or("-").trim().to_owned()
    };
    println!("{kind}: {step}: {} threads, {} resident", figure("Threads:"), figure("VmRSS:"));
}
