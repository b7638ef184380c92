//! A loopback proxy that puts faults on the way between two processes.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::time::sleep;

/// Largest piece that is read at once; requests and answers of the tests are smaller.
const PIECE_BYTES: usize = 64 * 1024;

/// Bytes that an answer without length loses.
const LOST_BYTES: usize = 5;

/// What happens to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Connections are accepted and never answered; the target is not asked.
    Mute,
    /// Nothing arrives in either direction, and nothing is closed.
    Silent,
    /// Requests arrive, their answers do not.
    SwallowAnswers,
    /// The connection closes after this many bytes of an answer.
    CutAnswer(usize),
    /// The connection closes once a request was delivered.
    CloseAfterRequest,
    /// The connection closes before a byte of a request is delivered.
    CloseBeforeRequest,
    /// Answers arrive this late.
    DelayAnswers(Duration),
    /// Answers carry the identity of another request.
    OtherIdentity,
    /// Answers lose the header that states their length, and their last bytes.
    NoLength,
    /// Each answer arrives twice.
    RepeatAnswers,
    /// Two answers in a row change places.
    SwapAnswers,
    /// Answers are replaced by bytes that are no HTTP.
    Garbage,
}

/// A proxy in front of one address.
pub struct Link {
    address: SocketAddr,
    shared: Arc<Shared>,
    runtime: Option<Runtime>,
}

struct Shared {
    target: SocketAddr,
    state: Mutex<State>,
    /// Goes up when every connection is cut.
    cuts: watch::Sender<u64>,
}

struct State {
    established: Fault,
    fresh: Fault,
    refuses: bool,
    /// Connections accepted before this number are established.
    boundary: u64,
    accepted: u64,
    /// Answer held back until it can change places with the next one.
    held: Option<(u64, Vec<u8>)>,
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
            established: Fault::None,
            fresh: Fault::None,
            refuses: false,
            boundary: 0,
            accepted: 0,
            held: None,
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

    /// Puts a fault on the connections that are open now; later ones work.
    pub fn fault_established(&self, fault: Fault) {
        let mut state = self.shared.lock();
        state.boundary = state.accepted;
        state.established = fault;
        state.fresh = Fault::None;
    }

    /// Puts a fault on connections opened from now on; open ones work.
    pub fn fault_fresh(&self, fault: Fault) {
        let mut state = self.shared.lock();
        state.boundary = state.accepted;
        state.established = Fault::None;
        state.fresh = fault;
    }

    /// Puts a fault on all connections.
    pub fn fault_all(&self, fault: Fault) {
        let mut state = self.shared.lock();
        (state.established, state.fresh) = (fault, fault);
    }

    /// Closes every connection and refuses new ones.
    pub fn cut(&self) {
        self.shared.lock().refuses = true;
        self.shared.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Refuses new connections and leaves open ones as they are.
    pub fn refuse_new(&self) {
        self.shared.lock().refuses = true;
    }

    /// Ends every fault.
    pub fn restore(&self) {
        self.shared.lock().refuses = false;
        self.fault_all(Fault::None);
    }

    /// Returns how many connections have been accepted.
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

    fn fault(&self, number: u64) -> Fault {
        let state = self.lock();
        if number < state.boundary { state.established } else { state.fresh }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((client, _)) = listener.accept().await {
        let number = {
            let mut state = shared.lock();
            if state.refuses {
                continue;
            }
            state.accepted += 1;
            state.accepted - 1
        };
        tokio::spawn(carry(client, number, Arc::clone(&shared)));
    }
}

async fn carry(client: TcpStream, number: u64, shared: Arc<Shared>) {
    if shared.fault(number) == Fault::Mute {
        std::future::pending::<()>().await;
    }
    let Ok(server) = TcpStream::connect(shared.target).await else { return };
    _ = client.set_nodelay(true);
    _ = server.set_nodelay(true);
    let mut cuts = shared.cuts.subscribe();
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    tokio::select! {
        () = requests(client_in, server_out, number, &shared) => {}
        () = answers(server_in, client_out, number, &shared) => {}
        _ = cuts.changed() => {}
    }
}

async fn requests(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, number: u64, shared: &Shared) {
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(length @ 1..) = from.read(&mut piece).await {
        match shared.fault(number) {
            Fault::Mute | Fault::Silent => {}
            Fault::CloseBeforeRequest => return,
            fault => {
                if to.write_all(&piece[..length]).await.is_err() {
                    return;
                }
                if fault == Fault::CloseAfterRequest {
                    // The request has to reach the peer before the connection closes.
                    sleep(Duration::from_millis(50)).await;
                    return;
                }
            }
        }
    }
}

async fn answers(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, number: u64, shared: &Shared) {
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(length @ 1..) = from.read(&mut piece).await {
        let answer = piece[..length].to_vec();
        let (answer, closes) = match shared.fault(number) {
            Fault::Mute | Fault::Silent | Fault::SwallowAnswers => continue,
            Fault::CutAnswer(bytes) => (answer[..bytes.min(length)].to_vec(), true),
            Fault::DelayAnswers(delay) => {
                sleep(delay).await;
                (answer, false)
            }
            Fault::OtherIdentity => (of_another(&answer), false),
            Fault::NoLength => {
                let cut = &answer[..length.saturating_sub(LOST_BYTES)];
                (replace(cut, "content-length", "content-width"), true)
            }
            Fault::RepeatAnswers => (answer.repeat(2), false),
            Fault::SwapAnswers => match swap(shared, number, answer) {
                Some(other) => (other, false),
                None => continue,
            },
            Fault::Garbage => (b"\x16\x03\x01 this is no answer\r\n\r\n".to_vec(), true),
            Fault::None | Fault::CloseAfterRequest | Fault::CloseBeforeRequest => (answer, false),
        };
        if to.write_all(&answer).await.is_err() || closes {
            return;
        }
    }
}

/// Holds the first of two answers back and gives it to the connection of the second.
fn swap(shared: &Shared, number: u64, answer: Vec<u8>) -> Option<Vec<u8>> {
    let mut state = shared.lock();
    match state.held.take() {
        Some((other, held)) if other != number => Some(held),
        _ => {
            state.held = Some((number, answer));
            None
        }
    }
}

/// Gives an answer the key of another request, in its head and its body, of the same length.
fn of_another(answer: &[u8]) -> Vec<u8> {
    let answer = replace(answer, "cactuslatch-key: north", "cactuslatch-key: other");
    replace(&answer, "\"key\":\"north", "\"key\":\"other")
}

fn replace(answer: &[u8], word: &str, by: &str) -> Vec<u8> {
    String::from_utf8_lossy(answer).replacen(word, by, 1).into_bytes()
}
