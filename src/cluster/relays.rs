//! Shares the holding of upstreams among the control hosts, for the leader of one term.
//!
//! A leader that cannot have a long poll and a connection for orders to each upstream passes its hold
//! orders to the other control hosts. Each upstream has its holder by rendezvous hashing, so that the loss
//! of a host moves only the upstreams that it held. Orders of the leader that a holder did not answer
//! count as not sent: that says nothing about the upstream, and the next order goes to another holder.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use super::codec;
use super::leader_client::MESSAGE_LIMIT_BYTES;
use super::protocol::{RelayReply, RelayRequest, Reply, Request};
use super::replica::Replica;
use super::upstream_calls::{CallFault, CallFuture, HoldOrder, TaskLists, UpstreamCalls};
use crate::entry::control_client::channel;
use crate::rpc;
use crate::rpc::cluster_client::ClusterClient;

/// Time limit of an exchange. A holder that is lost is replaced after it, long before leases end.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause between attempts to reach a lost holder.
const LOST_PAUSE: Duration = Duration::from_millis(500);

/// Time beyond its wait after which an order counts as not sent.
const ORDER_MARGIN: Duration = Duration::from_secs(3);

type Answer = Result<TaskLists, CallFault>;

/// An order that a holder is to send.
#[derive(Debug)]
struct QueuedOrder {
    order: HoldOrder,
    answer: oneshot::Sender<Answer>,
}

/// Queue to one holder.
#[derive(Debug, Clone)]
struct HolderQueue {
    orders: mpsc::UnboundedSender<QueuedOrder>,
    reachable: Arc<AtomicBool>,
}

/// Holders of the upstreams in one term.
#[derive(Debug)]
pub(super) struct Relays {
    term: u64,
    replica: Weak<Replica>,
    own_address: SocketAddr,
    direct: UpstreamCalls,
    queues: Mutex<BTreeMap<SocketAddr, HolderQueue>>,
}

impl Relays {
    /// Returns functions whose hold orders are shared among the control hosts when there are too many
    /// upstreams for one.
    pub(super) fn share(
        calls: &UpstreamCalls,
        term: u64,
        replica: &Arc<Replica>,
        own_address: SocketAddr,
    ) -> UpstreamCalls {
        let relays = Arc::new(Self {
            term,
            replica: Arc::downgrade(replica),
            own_address,
            direct: calls.clone(),
            queues: Mutex::default(),
        });
        UpstreamCalls { hold: Arc::new(move |order| relays.hold(order)), ..calls.clone() }
    }

    fn hold(&self, order: HoldOrder) -> CallFuture<TaskLists> {
        let queue = self.holder_of(&order.upstream);
        if let Some(replica) = self.replica.upgrade() {
            replica.metrics.hold(if queue.is_some() { "other host" } else { "leader" });
        }
        let Some(queue) = queue else { return (self.direct.hold)(order) };
        let (answer, answered) = oneshot::channel();
        // If the queue is closed, the answer's sender is dropped with the order.
        _ = queue.orders.send(QueuedOrder { order, answer });
        Box::pin(async move { answered.await.unwrap_or(Err(CallFault::NoConnection)) })
    }

    /// Returns the queue to the holder of an upstream; `None` if this host holds it.
    fn holder_of(&self, upstream: &str) -> Option<HolderQueue> {
        let others = {
            let replica = self.replica.upgrade()?;
            let inner = replica.lock();
            if inner.state.upstreams.len() * 2 <= self.direct.budget.leases_max() {
                return None;
            }
            let members = &inner.core.membership().members;
            let addresses = members.iter().filter_map(|member| member.address.parse().ok());
            addresses.filter(|address| *address != self.own_address).collect::<Vec<SocketAddr>>()
        };
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.retain(|address, _| others.contains(address));
        let mut candidates = vec![(weight(upstream, self.own_address), None)];
        for address in others {
            let open = || open_queue(address, self.term);
            let queue = queues.entry(address).or_insert_with(open);
            if queue.reachable.load(Ordering::Relaxed) {
                candidates.push((weight(upstream, address), Some(queue.clone())));
            }
        }
        let chosen = candidates.into_iter().max_by_key(|(weight, _)| *weight);
        chosen.and_then(|(_, queue)| queue)
    }
}

/// Returns the weight of a host for an upstream; the host with the highest one is its holder.
fn weight(upstream: &str, host: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (upstream, host).hash(&mut hasher);
    hasher.finish()
}

fn open_queue(address: SocketAddr, term: u64) -> HolderQueue {
    let (orders, queue) = mpsc::unbounded_channel();
    // Orders go there once the first exchange shows that the host takes them.
    let reachable = Arc::new(AtomicBool::new(false));
    let exchanges = Exchanges {
        address,
        term,
        client: ClusterClient::new(channel(address)).max_decoding_message_size(MESSAGE_LIMIT_BYTES),
        reachable: Arc::clone(&reachable),
        waiting: HashMap::new(),
        dropped: Vec::new(),
        next_number: 0,
    };
    tokio::spawn(exchanges.run(queue));
    HolderQueue { orders, reachable }
}

/// An order that a holder has, or that is on its way there.
#[derive(Debug)]
struct WaitingOrder {
    answer: oneshot::Sender<Answer>,
    due: Instant,
}

/// Exchanges with one holder, one after the other.
struct Exchanges {
    address: SocketAddr,
    term: u64,
    client: ClusterClient<tonic::transport::Channel>,
    reachable: Arc<AtomicBool>,
    waiting: HashMap<u64, WaitingOrder>,
    /// Numbers of orders whose answer is no longer wanted.
    dropped: Vec<u64>,
    next_number: u64,
}

impl Exchanges {
    /// Runs until the queue is closed at the end of the term.
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<QueuedOrder>) {
        let mut batch = Vec::new();
        loop {
            if self.waiting.is_empty() && self.is_reachable() {
                if queue.recv_many(&mut batch, usize::MAX).await == 0 {
                    return;
                }
            } else {
                while let Ok(order) = queue.try_recv() {
                    batch.push(order);
                }
                if queue.is_closed() {
                    return;
                }
            }
            let orders = batch.drain(..).map(|queued| self.number(queued)).collect();
            self.drop_unwanted();
            let request = RelayRequest {
                term: self.term,
                orders,
                dropped: std::mem::take(&mut self.dropped),
            };
            if let Some(reply) = self.exchange(request).await {
                self.deliver(reply);
            } else {
                self.fail_all();
                sleep(LOST_PAUSE).await;
            }
        }
    }

    fn is_reachable(&self) -> bool {
        self.reachable.load(Ordering::Relaxed)
    }

    fn number(&mut self, QueuedOrder { order, answer }: QueuedOrder) -> (u64, HoldOrder) {
        self.next_number += 1;
        let due = Instant::now() + Duration::from_millis(order.wait_ms) + ORDER_MARGIN;
        self.waiting.insert(self.next_number, WaitingOrder { answer, due });
        (self.next_number, order)
    }

    /// Forgets orders whose sender no longer waits, and those that the holder seems to have lost.
    fn drop_unwanted(&mut self) {
        let now = Instant::now();
        let dropped = &mut self.dropped;
        self.waiting.retain(|number, order| {
            let is_wanted = !order.answer.is_closed() && now < order.due;
            if !is_wanted {
                dropped.push(*number);
            }
            is_wanted
        });
    }

    async fn exchange(&mut self, request: RelayRequest) -> Option<RelayReply> {
        let payload = codec::encode_message(&Request::Relay(request));
        let call = self.client.call(rpc::Frame { payload });
        let reply = timeout(EXCHANGE_TIMEOUT, call).await;
        let reply = match &reply {
            Ok(Ok(reply)) => codec::decode_message(&reply.get_ref().payload).ok(),
            _ => None,
        };
        let relayed = match reply {
            Some(Reply::Relayed(reply)) if !reply.refused => Some(reply),
            _ => None,
        };
        let is_reachable = relayed.is_some();
        if self.reachable.swap(is_reachable, Ordering::Relaxed) != is_reachable {
            let (holder, waiting) = (self.address, self.waiting.len());
            if is_reachable {
                info!(%holder, term = self.term, "control host holds upstreams");
            } else {
                warn!(%holder, waiting, "control host no longer holds upstreams");
            }
        }
        relayed
    }

    fn deliver(&mut self, reply: RelayReply) {
        for relayed in reply.answers {
            if let Some(order) = self.waiting.remove(&relayed.number) {
                // The sender may have stopped waiting.
                _ = order.answer.send(relayed.answer);
            }
        }
    }

    /// Fails all orders; the holder gives up those that it has when it is reachable again.
    fn fail_all(&mut self) {
        for (number, order) in self.waiting.drain() {
            self.dropped.push(number);
            _ = order.answer.send(Err(CallFault::NoConnection));
        }
    }
}
