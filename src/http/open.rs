//! Open connections of a listener: permits for them, and eviction of idle ones.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

/// Time without a request after which a connection may be evicted. Callers that repeat a call every
/// second or two keep theirs.
const IDLE_MIN: Duration = Duration::from_secs(2);

/// Number of connections that are evicted at once, so that the search for idle ones is rare.
const EVICTED_AT_ONCE: usize = 16;

/// Counts an open connection until it is dropped.
type Permit = Box<dyn Send>;

/// Permits for the connections of a listener.
#[derive(Clone)]
pub struct AcceptPermits {
    acquire: Arc<dyn Fn() -> Option<Permit> + Send + Sync>,
    /// Permits beyond the limit, for connections that are closed after one response.
    reserve: Arc<Semaphore>,
    /// Notified when connections of this listener are needed for something else.
    reclaim: Arc<Notify>,
}

impl fmt::Debug for AcceptPermits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AcceptPermits").field("reserve", &self.reserve).finish_non_exhaustive()
    }
}

impl AcceptPermits {
    /// Takes permits from `acquire`. When it has none and no connection is idle, up to `reserve` further
    /// connections are served for one request each, so that no caller waits behind idle ones.
    pub fn new<P: Send + 'static>(
        acquire: impl Fn() -> Option<P> + Send + Sync + 'static,
        reserve: usize,
        reclaim: Arc<Notify>,
    ) -> Self {
        let acquire = move || acquire().map(|permit| Box::new(permit) as Permit);
        Self { acquire: Arc::new(acquire), reserve: Arc::new(Semaphore::new(reserve)), reclaim }
    }

    /// Returns permits for at most `limit` connections.
    pub(super) fn up_to(limit: usize) -> Self {
        let permits = Arc::new(Semaphore::new(limit));
        Self::new(move || Arc::clone(&permits).try_acquire_owned().ok(), 0, Arc::default())
    }

    /// Waits until connections are needed for something else.
    pub(super) async fn reclaimed(&self) {
        self.reclaim.notified().await;
    }

    /// Takes a permit, from the reserve if there is no other.
    pub(super) fn try_acquire(&self) -> Option<(Permit, Lifetime)> {
        if let Some(permit) = (self.acquire)() {
            return Some((permit, Lifetime::KeptAlive));
        }
        let reserved = Arc::clone(&self.reserve).try_acquire_owned().ok()?;
        Some((Box::new(reserved), Lifetime::OneRequest))
    }
}

/// How long a connection is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lifetime {
    KeptAlive,
    OneRequest,
}

/// All open connections of a listener.
#[derive(Debug, Clone)]
pub(super) struct OpenConnections {
    begun: Instant,
    open: Arc<Mutex<Registry>>,
}

#[derive(Debug, Default)]
struct Registry {
    next: u64,
    connections: HashMap<u64, Arc<Activity>>,
}

/// Whether a connection is in use.
#[derive(Debug)]
pub(super) struct Activity {
    is_busy: AtomicBool,
    /// When it was last used, in milliseconds since the listener was opened.
    used_ms: AtomicU64,
    begun: Instant,
    /// Notified to close the connection.
    pub(super) evicted: Notify,
}

impl Activity {
    /// Records that a request begins or has ended.
    pub(super) fn set_busy(&self, is_busy: bool) {
        self.used_ms.store(millis(self.begun.elapsed()), Ordering::Relaxed);
        self.is_busy.store(is_busy, Ordering::Relaxed);
    }

    pub(super) fn is_busy(&self) -> bool {
        self.is_busy.load(Ordering::Relaxed)
    }
}

/// Keeps a connection registered until it is dropped.
#[derive(Debug)]
pub(super) struct Registration {
    all: OpenConnections,
    number: u64,
    pub(super) activity: Arc<Activity>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.all.lock().connections.remove(&self.number);
    }
}

impl OpenConnections {
    pub(super) fn new() -> Self {
        Self { begun: Instant::now(), open: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open connections.
    pub(super) fn count(&self) -> usize {
        self.lock().connections.len()
    }

    pub(super) fn register(&self) -> Registration {
        let activity = Arc::new(Activity {
            is_busy: AtomicBool::new(false),
            used_ms: AtomicU64::new(millis(self.begun.elapsed())),
            begun: self.begun,
            evicted: Notify::new(),
        });
        let mut registry = self.lock();
        registry.next += 1;
        let number = registry.next;
        registry.connections.insert(number, Arc::clone(&activity));
        Registration { all: self.clone(), number, activity }
    }

    /// Closes some idle connections, those that have been idle for longest first.
    pub(super) fn evict_idle(&self) {
        let now_ms = millis(self.begun.elapsed());
        let mut registry = self.lock();
        let mut idle: Vec<(u64, u64)> = registry
            .connections
            .iter()
            .filter(|(_, activity)| !activity.is_busy())
            .map(|(number, activity)| (activity.used_ms.load(Ordering::Relaxed), *number))
            .filter(|(used_ms, _)| now_ms.saturating_sub(*used_ms) >= millis(IDLE_MIN))
            .collect();
        idle.sort_unstable();
        for (_, number) in idle.into_iter().take(EVICTED_AT_ONCE) {
            if let Some(activity) = registry.connections.remove(&number) {
                activity.evicted.notify_one();
            }
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
