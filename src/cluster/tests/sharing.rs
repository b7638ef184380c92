//! Three control hosts that share the holding of 30 upstreams, each with a budget of 40 connections.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::runtime::{Builder, Runtime};

use super::control_host::{BOUNDS, free_address, wait_until};
use super::fake_worker::FakeUpstreams;
use crate::cluster::holder::Holder;
use crate::cluster::protocol::{RelayReply, RelayRequest};
use crate::cluster::{
    ClusterSettings, ConnectionBudget, Control, HoldOrder, Request, TaskBounds, UpstreamCalls,
};
use crate::tasks::tests::sample::heartbeat;

const HOSTS: usize = 3;

const UPSTREAMS: u32 = 30;

/// Connections of each host: too few for a long poll and a connection for orders to each upstream.
const CONNECTIONS: usize = 40;

const LEASE_MS: u64 = 4_000;

/// Most upstreams that one host holds. Shares follow from hashes of random addresses, so they differ.
const HELD_MAX: usize = 24;

/// Holds as the upstreams see them.
#[derive(Debug, Default)]
struct Holds {
    by_host: [usize; HOSTS],
    /// Upstreams that each host has held since this was last cleared.
    upstreams: [BTreeSet<Arc<str>>; HOSTS],
    /// When the lease of each upstream was last extended, and its longest time without that.
    extended: BTreeMap<Arc<str>, (Instant, Duration)>,
}

impl Holds {
    fn record(&mut self, host: usize, order: &HoldOrder) {
        self.by_host[host] += 1;
        self.upstreams[host].insert(Arc::clone(&order.upstream));
        if order.lease_until_ms.is_some() {
            let now = Instant::now();
            let new = (now, Duration::ZERO);
            let (at, longest) = self.extended.entry(Arc::clone(&order.upstream)).or_insert(new);
            *longest = (*longest).max(at.elapsed());
            *at = now;
        }
    }
}

fn counted(calls: UpstreamCalls, host: usize, holds: &Arc<Mutex<Holds>>) -> UpstreamCalls {
    let (hold, holds) = (Arc::clone(&calls.hold), Arc::clone(holds));
    let budget = ConnectionBudget::new(CONNECTIONS);
    let hold = move |order: HoldOrder| {
        holds.lock().unwrap().record(host, &order);
        hold(order)
    };
    UpstreamCalls { hold: Arc::new(hold), budget, ..calls }
}

/// A control host with a runtime of its own, so that it can be killed.
struct Host {
    control: Arc<Control>,
    runtime: Runtime,
    _folder: tempfile::TempDir,
}

async fn start(seeds: &[SocketAddr], host: usize, calls: UpstreamCalls) -> Host {
    let folder = tempfile::tempdir().unwrap();
    let settings = ClusterSettings {
        host: format!("control-{host}"),
        internal_address: seeds[host],
        seeds: seeds.to_vec(),
        founding: true,
        data_dir: folder.path().to_owned(),
        losses_max: 1,
        data_centres: BTreeSet::new(),
        learned_run_times: false,
        learned_places: true,
        weighs_stops: true,
        bounds: TaskBounds { lease_max_ms: LEASE_MS, ..BOUNDS },
    };
    let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let control = runtime.spawn(Control::start(settings, calls)).await.unwrap().unwrap();
    Host { control, runtime, _folder: folder }
}

async fn register_all(control: &Control) {
    for upstream in 0..UPSTREAMS {
        let request = Request::Heartbeat(heartbeat(upstream));
        let begun = Instant::now();
        while control.call(request.clone(), Duration::from_secs(2)).await.is_err() {
            assert!(begun.elapsed() < Duration::from_secs(20), "no leader");
        }
    }
}

/// Guards against a leader that holds all upstreams alone although its connections do not suffice, and
/// against leases that end when a holder is lost: its upstreams are held by others before.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_of_a_lost_holder_keep_their_leases() {
    let holds = Arc::new(Mutex::new(Holds::default()));
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let mut seeds = Vec::new();
    for _ in 0..HOSTS {
        seeds.push(free_address().await);
    }
    let mut hosts = Vec::new();
    for host in 0..HOSTS {
        hosts.push(start(&seeds, host, counted(fake.calls(), host, &holds)).await);
    }
    register_all(&hosts[0].control).await;
    let share = |host: usize| holds.lock().unwrap().by_host[host];
    wait_until("all hosts hold upstreams", || (0..HOSTS).all(|host| share(host) > 50)).await;
    holds.lock().unwrap().upstreams = Default::default();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let held: Vec<_> = holds.lock().unwrap().upstreams.iter().map(BTreeSet::len).collect();
    for (host, held) in held.into_iter().enumerate() {
        assert!((1..=HELD_MAX).contains(&held), "host {host} holds {held} of {UPSTREAMS}");
    }
    let lost = hosts.iter().position(|host| !host.control.is_leading()).unwrap();
    let killed = hosts.remove(lost);
    drop(killed.control);
    killed.runtime.shutdown_background();
    holds.lock().unwrap().extended.clear();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let extended = holds.lock().unwrap().extended.clone();
    assert_eq!(extended.len(), UPSTREAMS as usize, "an upstream is no longer held");
    for (upstream, (at, longest)) in extended {
        let gap = longest.max(at.elapsed());
        assert!(gap < Duration::from_millis(LEASE_MS / 2), "{upstream}: {gap:?}");
    }
    for host in hosts {
        drop(host.control);
        host.runtime.shutdown_background();
    }
}

/// Guards against orders of a former leader that a holder sends, or answers of which it tells the new
/// one.
#[tokio::test]
async fn a_holder_takes_no_orders_of_a_former_leader() {
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let holder = Holder::new(fake.calls());
    let order = |number, term| {
        let upstream = heartbeat(u32::try_from(number).unwrap());
        let order = HoldOrder {
            address: upstream.address,
            upstream: upstream.id,
            fencing_token: term,
            ends_seen: 0,
            lease_until_ms: None,
            wait_ms: 0,
        };
        (number, order)
    };
    let request = |term, number| RelayRequest {
        term,
        orders: vec![order(number, term)],
        dropped: Vec::new(),
    };
    let numbers = |reply: RelayReply| -> Vec<u64> {
        reply.answers.iter().map(|relayed| relayed.number).collect()
    };
    assert_eq!(numbers(holder.exchange(request(5, 1)).await), [1]);
    let refused = holder.exchange(request(4, 2)).await;
    assert!(refused.refused && refused.answers.is_empty());
    assert_eq!(numbers(holder.exchange(request(6, 3)).await), [3]);
    assert_eq!(fake.upstreams_held(), 2, "an order of the former leader was sent");
}
