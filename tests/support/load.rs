//! Callers that put load on a host, and a caller that keeps its connection open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use cactuslatch::local::Client;

use super::path::{Request, Response};

/// Callers that send one request after the other until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Response>>>,
}

impl Load {
    /// Starts `callers` threads that send `request` to one host.
    pub fn start(client: &Client, callers: usize, request: &Request) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let caller = |_| {
            let (client, request, stop) = (client.clone(), request.clone(), Arc::clone(&stop));
            std::thread::spawn(move || {
                let mut responses = Vec::new();
                while !stop.load(Ordering::Acquire) {
                    responses.extend(request.try_send(&client));
                }
                responses
            })
        };
        let callers = (0..callers).map(caller).collect();
        Self { stop, callers }
    }

    /// Tells the callers to stop after their current request.
    pub fn request_stop(&self) {
        self.stop.store(true, Ordering::Release);
    }

    /// Stops the callers and returns the responses that they received.
    pub fn stop(self) -> Vec<Response> {
        self.request_stop();
        self.callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect()
    }
}

/// Outcome of a call on a connection that is kept open.
enum CallOutcome {
    Answered,
    /// The connection was refused, or closed before the request was sent.
    Closed,
    /// The connection closed after the request was sent and before the answer was complete.
    CutOff,
}

/// A caller that reuses its connection until the host closes it.
pub struct KeepAliveCaller {
    address: SocketAddr,
    /// Whether the load balancer still opens connections to this host.
    may_connect: Arc<AtomicBool>,
    stream: Option<TcpStream>,
}

impl KeepAliveCaller {
    pub fn new(address: SocketAddr, may_connect: Arc<AtomicBool>) -> Self {
        Self { address, may_connect, stream: None }
    }

    /// Calls until the connection is closed and no other may be opened.
    ///
    /// Returns the number of calls that were answered and that were cut off.
    pub fn call_until_closed(mut self, work_ms: u64) -> (usize, usize) {
        let (mut answered, mut cut_off) = (0, 0);
        loop {
            match self.call(work_ms) {
                CallOutcome::Answered => answered += 1,
                CallOutcome::CutOff => cut_off += 1,
                CallOutcome::Closed if self.may_connect.load(Ordering::Acquire) => {}
                CallOutcome::Closed => return (answered, cut_off),
            }
        }
    }

    /// Sends one request, on a new connection if the host closed the last one.
    fn call(&mut self, work_ms: u64) -> CallOutcome {
        let Some(mut stream) = self.stream.take().or_else(|| self.connect()) else {
            return CallOutcome::Closed;
        };
        if is_closed(&stream) {
            return CallOutcome::Closed;
        }
        let body = format!("{{\"work_ms\":{work_ms}}}");
        let request = format!(
            "POST /v1/services/plan/requests HTTP/1.1\r\nHost: x\r\n\
             Cactuslatch-Organisation: plovdiv\r\nCactuslatch-Idempotent: true\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return CallOutcome::CutOff;
        }
        match read_answer(&mut stream) {
            Some(close) => {
                self.stream = (!close).then_some(stream);
                CallOutcome::Answered
            }
            None => CallOutcome::CutOff,
        }
    }

    fn connect(&self) -> Option<TcpStream> {
        if !self.may_connect.load(Ordering::Acquire) {
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

/// Reads a complete answer; returns whether it has the header `connection: close`.
fn read_answer(stream: &mut TcpStream) -> Option<bool> {
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let length = stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
        received.extend_from_slice(&buffer[..length]);
        let text = String::from_utf8_lossy(&received).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
        if body.len() >= length.parse().ok()? {
            return Some(head.contains("connection: close"));
        }
    }
}
