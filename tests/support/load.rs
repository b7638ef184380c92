//! Callers that keep a host busy, and a caller that keeps its connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use cactuslatch::local::Client;

use super::path::{Ask, Told};

/// Callers that send one request after the other until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Told>>>,
}

impl Load {
    /// Starts `callers` threads that send `ask` to one host.
    pub fn start(client: &Client, callers: usize, ask: &Ask) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let caller = |_| {
            let (client, ask, stop) = (client.clone(), ask.clone(), Arc::clone(&stop));
            std::thread::spawn(move || {
                let mut told = Vec::new();
                while !stop.load(Ordering::Acquire) {
                    told.extend(ask.try_send(&client));
                }
                told
            })
        };
        let callers = (0..callers).map(caller).collect();
        Self { stop, callers }
    }

    /// Lets the callers end after the request that each has under way.
    pub fn end(&self) {
        self.stop.store(true, Ordering::Release);
    }

    /// Stops the callers and returns what they were told.
    pub fn stop(self) -> Vec<Told> {
        self.end();
        self.callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect()
    }
}

/// How a call on a kept connection ended.
enum Kept {
    Answered,
    /// The connection was refused, or closed before the request was sent.
    Closed,
    /// The connection closed after the request was sent and before its answer was whole.
    CutOff,
}

/// A caller that uses its connection for as long as the host lets it.
pub struct KeepAlive {
    address: SocketAddr,
    /// Whether the balancer still opens connections to this host.
    connects: Arc<AtomicBool>,
    stream: Option<TcpStream>,
}

impl KeepAlive {
    pub fn new(address: SocketAddr, connects: Arc<AtomicBool>) -> Self {
        Self { address, connects, stream: None }
    }

    /// Calls until the host has closed the connection and the balancer opens no other; returns
    /// how many calls were answered and how many cut off.
    pub fn call_to_the_end(mut self, work_ms: u64) -> (usize, usize) {
        let (mut answered, mut cut_off) = (0, 0);
        loop {
            match self.call(work_ms) {
                Kept::Answered => answered += 1,
                Kept::CutOff => cut_off += 1,
                Kept::Closed if self.connects.load(Ordering::Acquire) => {}
                Kept::Closed => return (answered, cut_off),
            }
        }
    }

    /// Sends one request, on a new connection if the host has announced the end of the last.
    fn call(&mut self, work_ms: u64) -> Kept {
        let Some(mut stream) = self.stream.take().or_else(|| self.connect()) else {
            return Kept::Closed;
        };
        if is_closed(&stream) {
            return Kept::Closed;
        }
        let body = format!("{{\"work_ms\":{work_ms}}}");
        let request = format!(
            "POST /v1/services/plan/requests HTTP/1.1\r\nHost: x\r\n\
             Cactuslatch-Organisation: plovdiv\r\nCactuslatch-Idempotent: true\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return Kept::CutOff;
        }
        match read_answer(&mut stream) {
            Some(closes) => {
                self.stream = (!closes).then_some(stream);
                Kept::Answered
            }
            None => Kept::CutOff,
        }
    }

    fn connect(&self) -> Option<TcpStream> {
        if !self.connects.load(Ordering::Acquire) {
            return None;
        }
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("a socket");
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Reads a whole answer; returns whether it announces the end of the connection.
fn read_answer(stream: &mut TcpStream) -> Option<bool> {
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let mut received = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let length = stream.read(&mut piece).ok().filter(|length| *length > 0)?;
        received.extend_from_slice(&piece[..length]);
        let text = String::from_utf8_lossy(&received).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
        if body.len() >= length.parse().ok()? {
            return Some(head.contains("connection: close"));
        }
    }
}
