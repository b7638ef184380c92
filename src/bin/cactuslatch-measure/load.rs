//! Open-loop load over keep-alive connections, with latency counted from the intended send time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::eyre;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Longest latency that a histogram holds; longer ones are recorded as this one.
const LATENCY_MAX_NS: u64 = 120_000_000_000;

/// Returns an empty histogram of nanoseconds with three significant digits.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_MAX_NS, 3).expect("the bounds are valid")
}

/// Returns a quantile of a histogram of nanoseconds, in milliseconds.
pub(crate) fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e6
}

/// Keep-alive connections to one server.
#[derive(Debug)]
pub(crate) struct Connections {
    address: SocketAddr,
    /// Open connections that no call uses.
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    /// One permit for each call that may run at the same time.
    permits: Semaphore,
}

impl Connections {
    /// Allows at most `limit` connections; further calls wait, which counts towards their latency.
    pub(crate) fn new(address: SocketAddr, limit: usize) -> Self {
        Self { address, idle: Mutex::default(), permits: Semaphore::new(limit) }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns the status and body of the answer.
    pub(crate) async fn call(&self, request: Request<Full<Bytes>>) -> eyre::Result<(u16, Bytes)> {
        let _permit = self.permits.acquire().await?;
        let idle = lock(&self.idle).pop();
        let mut sender = match idle.filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => self.open().await?,
        };
        sender.ready().await?;
        let response = sender.send_request(request).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        lock(&self.idle).push(sender);
        Ok((status, body))
    }

    async fn open(&self) -> eyre::Result<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) = handshake(TokioIo::new(stream)).await?;
        // The result of the driver is ignored: a request on the connection gets its errors too.
        tokio::spawn(driver);
        Ok(sender)
    }
}

/// Latency and status counts of a group of requests.
#[derive(Debug)]
pub(crate) struct Tally {
    /// Nanoseconds from the intended send time to the end of the answer, of successes only.
    latency: Mutex<Histogram<u64>>,
    /// Number of answers by status; 0 stands for no answer.
    statuses: Mutex<BTreeMap<u16, u64>>,
    sent: AtomicU64,
    /// Requests that were answered or failed.
    ended: AtomicU64,
}

impl Tally {
    pub(crate) fn new() -> Self {
        Self {
            latency: Mutex::new(histogram()),
            statuses: Mutex::default(),
            sent: AtomicU64::new(0),
            ended: AtomicU64::new(0),
        }
    }

    /// Counts a request before it is handed to the runtime.
    pub(crate) fn record_sent(&self) {
        self.sent.fetch_add(1, Ordering::AcqRel);
    }

    /// Records the end of a request that was intended to be sent at `intended`.
    ///
    /// Only status 200 counts towards the latency; status 0 stands for no answer.
    pub(crate) fn record_answer(&self, intended: Instant, status: u16) {
        if status == 200 {
            let nanos = u64::try_from(intended.elapsed().as_nanos()).unwrap_or(LATENCY_MAX_NS);
            lock(&self.latency).saturating_record(nanos);
        }
        *lock(&self.statuses).entry(status).or_default() += 1;
        self.ended.fetch_add(1, Ordering::AcqRel);
    }

    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Ordering::Acquire)
    }

    pub(crate) fn outstanding(&self) -> u64 {
        self.sent().saturating_sub(self.ended.load(Ordering::Acquire))
    }

    /// Returns the number of answers with status 200.
    pub(crate) fn succeeded(&self) -> u64 {
        lock(&self.statuses).get(&200).copied().unwrap_or(0)
    }

    pub(crate) fn statuses(&self) -> BTreeMap<u16, u64> {
        lock(&self.statuses).clone()
    }

    pub(crate) fn latency(&self) -> Histogram<u64> {
        lock(&self.latency).clone()
    }

    /// Waits until every request that was sent has ended.
    ///
    /// # Errors
    /// Returns an error if requests are still outstanding after `timeout`.
    pub(crate) fn wait(&self, timeout: Duration) -> eyre::Result<()> {
        let started = Instant::now();
        while self.outstanding() > 0 {
            if started.elapsed() > timeout {
                let outstanding = self.outstanding();
                return Err(eyre!("{outstanding} requests have not ended within {timeout:?}"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}

/// Makes calls at a mean rate with exponential gaps, without waiting for their answers.
///
/// Blocks until the last call that falls into `duration`. `call` gets the number of the call and the
/// intended time. A late call keeps its intended time, so that a stall of the sender counts towards
/// the latency.
pub(crate) fn run_open_loop(
    rate_per_s: f64,
    duration: Duration,
    seed: u64,
    mut call: impl FnMut(u64, Instant),
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut intended = started;
    for number in 0.. {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate_per_s;
        intended += Duration::from_secs_f64(gap);
        if intended.duration_since(started) >= duration {
            return;
        }
        std::thread::sleep(intended.saturating_duration_since(Instant::now()));
        call(number, intended);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while results are locked")
}
