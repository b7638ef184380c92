//! A loopback proxy that injects faults between two processes.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::time::sleep;

/// Size of the read buffer; each request and answer of the tests fits into one read.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Bytes that `Fault::NoContentLength` cuts off the end of an answer.
const CUT_BYTES: usize = 5;

/// Fault that is injected into a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Connections are accepted but not forwarded to the target.
    AcceptOnly,
    /// Data is dropped in both directions, and the connection stays open.
    DropAll,
    /// Requests are forwarded, answers are dropped.
    DropAnswers,
    /// The connection closes after this many bytes of an answer.
    TruncateAnswer(usize),
    /// The connection closes after a request was forwarded.
    CloseAfterRequest,
    /// The connection closes before any byte of a request is forwarded.
    CloseBeforeRequest,
    /// Answers are delayed by this time.
    DelayAnswers(Duration),
    /// Answers carry the key of another request.
    WrongKey,
    /// Answers lack the `content-length` header and their last bytes.
    NoContentLength,
    /// Each answer is delivered twice.
    DuplicateAnswers,
    /// Every second answer is replaced by the one before it, from another connection.
    MisdirectAnswers,
    /// Answers are replaced by bytes that are not HTTP.
    Garbage,
}

/// A fault-injecting proxy in front of one address.
pub struct Link {
    address: SocketAddr,
    shared: Arc<Shared>,
    runtime: Option<Runtime>,
}

struct Shared {
    target: SocketAddr,
    state: Mutex<State>,
    /// Incremented to close all connections.
    cuts: watch::Sender<u64>,
}

struct State {
    established_fault: Fault,
    new_fault: Fault,
    refuse_new: bool,
    /// Number of the first connection that counts as new.
    first_new: u64,
    accepted: u64,
    /// Answer held back to replace the next one, and the number of its connection.
    held_answer: Option<(u64, Vec<u8>)>,
}

impl Link {
    /// Starts a proxy on a free port in front of `target`.
    pub fn start(target: SocketAddr) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let state = State {
            established_fault: Fault::None,
            new_fault: Fault::None,
            refuse_new: false,
            first_new: 0,
            accepted: 0,
            held_answer: None,
        };
        let shared =
            Arc::new(Shared { target, state: Mutex::new(state), cuts: watch::channel(0).0 });
        let _guard = runtime.enter();
        let listener = TcpListener::from_std(listener).expect("a listener");
        runtime.spawn(accept(listener, Arc::clone(&shared)));
        Self { address, shared, runtime: Some(runtime) }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects a fault into the connections that are open now; later ones work.
    pub fn fault_established(&self, fault: Fault) {
        let mut state = self.shared.lock();
        state.first_new = state.accepted;
        state.established_fault = fault;
        state.new_fault = Fault::None;
    }

    /// Injects a fault into connections opened from now on; open ones work.
    pub fn fault_new(&self, fault: Fault) {
        let mut state = self.shared.lock();
        state.first_new = state.accepted;
        state.established_fault = Fault::None;
        state.new_fault = fault;
    }

    /// Injects a fault into all connections.
    pub fn fault_all(&self, fault: Fault) {
        let mut state = self.shared.lock();
        (state.established_fault, state.new_fault) = (fault, fault);
    }

    /// Closes all connections and refuses new ones.
    pub fn cut(&self) {
        self.shared.lock().refuse_new = true;
        self.shared.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Refuses new connections; open ones stay open.
    pub fn refuse_new(&self) {
        self.shared.lock().refuse_new = true;
    }

    /// Removes all faults and accepts connections again.
    pub fn restore(&self) {
        self.shared.lock().refuse_new = false;
        self.fault_all(Fault::None);
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.lock().accepted
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while the link is locked")
    }

    /// Returns the fault of the connection with this number.
    fn fault(&self, number: u64) -> Fault {
        let state = self.lock();
        if number < state.first_new { state.established_fault } else { state.new_fault }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((client, _)) = listener.accept().await {
        let number = {
            let mut state = shared.lock();
            if state.refuse_new {
                continue;
            }
            state.accepted += 1;
            state.accepted - 1
        };
        tokio::spawn(proxy(client, number, Arc::clone(&shared)));
    }
}

async fn proxy(client: TcpStream, number: u64, shared: Arc<Shared>) {
    if shared.fault(number) == Fault::AcceptOnly {
        std::future::pending::<()>().await;
    }
    let Ok(server) = TcpStream::connect(shared.target).await else { return };
    _ = client.set_nodelay(true);
    _ = server.set_nodelay(true);
    let mut cuts = shared.cuts.subscribe();
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    tokio::select! {
        () = forward_requests(client_in, server_out, number, &shared) => {}
        () = forward_answers(server_in, client_out, number, &shared) => {}
        _ = cuts.changed() => {}
    }
}

async fn forward_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    shared: &Shared,
) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        match shared.fault(number) {
            Fault::AcceptOnly | Fault::DropAll => {}
            Fault::CloseBeforeRequest => return,
            fault => {
                if to.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
                if fault == Fault::CloseAfterRequest {
                    // The target has to receive the request before the connection closes.
                    sleep(Duration::from_millis(50)).await;
                    return;
                }
            }
        }
    }
}

async fn forward_answers(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    shared: &Shared,
) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let answer = buffer[..length].to_vec();
        let (answer, close) = match shared.fault(number) {
            Fault::AcceptOnly | Fault::DropAll | Fault::DropAnswers => continue,
            Fault::TruncateAnswer(bytes) => (answer[..bytes.min(length)].to_vec(), true),
            Fault::DelayAnswers(delay) => {
                sleep(delay).await;
                (answer, false)
            }
            Fault::WrongKey => (with_other_key(&answer), false),
            Fault::NoContentLength => {
                let truncated = &answer[..length.saturating_sub(CUT_BYTES)];
                (replace(truncated, "content-length", "content-width"), true)
            }
            Fault::DuplicateAnswers => (answer.repeat(2), false),
            Fault::MisdirectAnswers => match misdirect(shared, number, answer) {
                Some(other) => (other, false),
                None => continue,
            },
            Fault::Garbage => (b"\x16\x03\x01 this is no answer\r\n\r\n".to_vec(), true),
            Fault::None | Fault::CloseAfterRequest | Fault::CloseBeforeRequest => (answer, false),
        };
        if to.write_all(&answer).await.is_err() || close {
            return;
        }
    }
}

/// Holds back the first of two answers, and returns it in place of the second.
fn misdirect(shared: &Shared, number: u64, answer: Vec<u8>) -> Option<Vec<u8>> {
    let mut state = shared.lock();
    match state.held_answer.take() {
        Some((other, held)) if other != number => Some(held),
        _ => {
            state.held_answer = Some((number, answer));
            None
        }
    }
}

/// Replaces the key in the head and body of an answer by another one of the same length.
fn with_other_key(answer: &[u8]) -> Vec<u8> {
    let answer = replace(answer, "cactuslatch-key: north", "cactuslatch-key: other");
    replace(&answer, "\"key\":\"north", "\"key\":\"other")
}

fn replace(answer: &[u8], from: &str, to: &str) -> Vec<u8> {
    String::from_utf8_lossy(answer).replacen(from, to, 1).into_bytes()
}
