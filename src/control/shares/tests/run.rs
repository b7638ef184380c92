//! Simulation of entry hosts and their network, against which the shares are tested.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::super::{Demand, Shares, UpstreamLimits};
use super::host;
use crate::names::UpstreamName;
use crate::rpc;

const LEASE_MS: u64 = 3000;
const HOSTS: usize = 3;
const UPSTREAMS: usize = 2;
const LIMITS: UpstreamLimits = UpstreamLimits { incarnation: 1, slots: 8, connections: 64 };

/// A message from a host to control.
struct Request {
    arrives_ms: u64,
    from: usize,
    session: u64,
    sequence: u64,
    epoch: u64,
    acknowledged: u64,
    held: Vec<rpc::Share>,
    demands: Vec<Demand>,
}

/// A message from control to a host.
struct Reply {
    arrives_ms: u64,
    to: usize,
    session: u64,
    sequence: u64,
    epoch: u64,
    revision: u64,
    shares: Vec<rpc::Share>,
}

/// A host that follows the protocol of the watch stream.
#[derive(Default, Clone)]
struct Host {
    session: u64,
    sequence: u64,
    sent_ms: Vec<u64>,
    epoch: u64,
    /// Epoch of the newest list of shares that the host has applied.
    listed_epoch: u64,
    revision: u64,
    shares: Vec<rpc::Share>,
    lease_until_ms: u64,
    /// Slots in use of each upstream.
    in_use: [u32; UPSTREAMS],
    /// Real time in which the host's clock advances by 1,000 ms.
    rate: u64,
    partitioned_until_ms: u64,
}

pub(super) struct Simulation {
    rng: StdRng,
    now_ms: u64,
    shares: Shares,
    lease_expiry_ms: u64,
    /// Incremented with each start of control.
    epoch: u64,
    /// Times at which upstreams announce themselves after a restart of control.
    unannounced: Vec<(u64, usize)>,
    /// Incarnation of each upstream.
    incarnations: Vec<u64>,
    hosts: Vec<Host>,
    requests: Vec<Request>,
    replies: Vec<Reply>,
    /// Newest session and sequence received from each host.
    newest: BTreeMap<usize, (u64, u64)>,
    pub(super) violations: u64,
    pub(super) max_lent: u32,
    /// Most slots beyond the base shares that were in force before control lent any after a start.
    pub(super) max_adopted: u32,
}

fn upstream(number: usize) -> UpstreamName {
    format!("worker-{number}").parse().expect("a name")
}

impl Host {
    /// Returns the shares to report to a new epoch, including slots still in use of larger shares.
    fn held(&self, incarnations: &[u64]) -> Vec<rpc::Share> {
        let mut held = self.shares.clone();
        for share in &mut held {
            let index = (0..UPSTREAMS).find(|index| share.upstream == upstream(*index).as_str());
            let current = index.filter(|index| incarnations[*index] == share.incarnation);
            share.slots = share.slots.max(current.map_or(0, |index| self.in_use[index]));
        }
        held
    }
}

impl Simulation {
    /// Creates a simulation in which control revokes the loans of hosts silent for this time.
    pub(super) fn new(seed: u64, lease_expiry_ms: u64) -> Self {
        let names: Vec<_> = (0..HOSTS).map(host).collect();
        let mut shares = Shares::new(&names, 1, lease_expiry_ms, 0);
        for number in 0..UPSTREAMS {
            shares.add(&upstream(number), LIMITS, 0);
        }
        let mut rng = StdRng::seed_from_u64(seed);
        // Clocks differ from control's by up to 2 %.
        let new = |rng: &mut StdRng| Host { rate: rng.random_range(980..=1020), ..Host::default() };
        let hosts = (0..HOSTS).map(|_| new(&mut rng)).collect();
        Self {
            rng,
            now_ms: 0,
            shares,
            lease_expiry_ms,
            epoch: 1,
            unannounced: Vec::new(),
            incarnations: vec![1; UPSTREAMS],
            hosts,
            requests: Vec::new(),
            replies: Vec::new(),
            newest: BTreeMap::new(),
            violations: 0,
            max_lent: 0,
            max_adopted: 0,
        }
    }

    pub(super) fn steps(&mut self, count: u32) {
        for _ in 0..count {
            self.now_ms += self.rng.random_range(1..40);
            self.end_leases();
            self.step();
            self.announce_upstreams();
            self.deliver();
            self.check();
        }
    }

    fn step(&mut self) {
        let number = self.rng.random_range(0..HOSTS);
        match self.rng.random_range(0..1000) {
            0..400 => {
                let slots = self.rng.random_range(0..12);
                self.send(number, slots);
            }
            400..600 => self.shares.tick(self.now_ms),
            600..605 => {
                let partition_ms = self.rng.random_range(100..10_000);
                self.hosts[number].partitioned_until_ms = self.now_ms + partition_ms;
            }
            605..607 => self.restart(number),
            607..610 => self.change_upstream(),
            610 => self.restart_control(),
            _ => self.start_or_end_work(number),
        }
    }

    /// Starts or ends work; work that began within a larger share may outlast it.
    fn start_or_end_work(&mut self, number: usize) {
        let index = self.rng.random_range(0..UPSTREAMS);
        let usable = self.usable(number, index);
        let starts = self.rng.random_bool(0.6);
        let in_use = &mut self.hosts[number].in_use[index];
        if starts && *in_use < usable {
            *in_use += 1;
        } else if !starts {
            *in_use = in_use.saturating_sub(1);
        }
    }

    fn restart(&mut self, number: usize) {
        let old = &self.hosts[number];
        let host = Host { session: old.session + 1, rate: old.rate, ..Host::default() };
        self.hosts[number] = host;
    }

    /// Restarts control without its state; messages that it has sent still arrive.
    fn restart_control(&mut self) {
        self.epoch += 1;
        let names: Vec<_> = (0..HOSTS).map(host).collect();
        self.shares =
            Shares::new(&names, (self.epoch << 32) + 1, self.lease_expiry_ms, self.now_ms);
        self.requests.clear();
        self.newest.clear();
        // Each host opens a new stream and keeps its shares until their lease expires.
        for host in &mut self.hosts {
            host.session += 1;
            host.listed_epoch = 0;
        }
        let announcement = |number| (self.now_ms + self.rng.random_range(0..4_000), number);
        self.unannounced = (0..UPSTREAMS).map(announcement).collect();
    }

    fn announce_upstreams(&mut self) {
        while let Some(index) = self.unannounced.iter().position(|(at_ms, _)| *at_ms <= self.now_ms)
        {
            let (_, number) = self.unannounced.swap_remove(index);
            let limits = UpstreamLimits { incarnation: self.incarnations[number], ..LIMITS };
            self.shares.add(&upstream(number), limits, self.now_ms);
        }
    }

    fn change_upstream(&mut self) {
        let number = self.rng.random_range(0..UPSTREAMS);
        let name = upstream(number);
        match self.rng.random_range(0..3) {
            0 => self.shares.suspend(&name, self.now_ms),
            1 => {
                self.shares.remove(&name);
                self.unannounced.retain(|(_, waiting)| *waiting != number);
            }
            _ => self.incarnations[number] += 1,
        }
        let incarnation = self.incarnations[number];
        if self.rng.random_bool(0.7) {
            // An incarnation that has left never returns.
            self.incarnations[number] += 1;
        }
        let limits = UpstreamLimits { incarnation: self.incarnations[number], ..LIMITS };
        if self.incarnations[number] > incarnation {
            self.hosts.iter_mut().for_each(|host| host.in_use[number] = 0);
            self.shares.add(&name, limits, self.now_ms);
        }
    }

    /// Sends a host's demand; the message may be lost, delayed or reordered.
    fn send(&mut self, number: usize, slots: u32) {
        let now_ms = self.now_ms;
        let delay_ms = self.delay_ms();
        let host = &mut self.hosts[number];
        host.sequence += 1;
        host.sent_ms.push(now_ms);
        let in_use = host.in_use;
        let demand = |index: usize| Demand {
            upstream: upstream(index),
            slots_in_use: in_use[index],
            slots_wanted: slots,
        };
        let holds = host.listed_epoch != host.epoch && host.lease_until_ms >= now_ms;
        let request = Request {
            arrives_ms: now_ms + delay_ms,
            from: number,
            session: host.session,
            sequence: host.sequence,
            epoch: host.epoch,
            acknowledged: host.revision,
            held: if holds { host.held(&self.incarnations) } else { Vec::new() },
            demands: (0..UPSTREAMS).map(demand).collect(),
        };
        if !self.is_lost(number) {
            self.requests.push(request);
        }
    }

    fn delay_ms(&mut self) -> u64 {
        if self.rng.random_bool(0.05) {
            self.rng.random_range(0..8000)
        } else {
            self.rng.random_range(0..20)
        }
    }

    fn is_lost(&mut self, number: usize) -> bool {
        self.hosts[number].partitioned_until_ms > self.now_ms || self.rng.random_bool(0.1)
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        while let Some(index) = self.requests.iter().position(|r| r.arrives_ms <= now_ms) {
            let request = self.requests.swap_remove(index);
            self.receive(&request);
        }
        while let Some(index) = self.replies.iter().position(|r| r.arrives_ms <= now_ms) {
            let reply = self.replies.swap_remove(index);
            self.apply(reply);
        }
    }

    /// Handles a message as the watch stream of control does, and replies to it.
    fn receive(&mut self, request: &Request) {
        let newest = self.newest.entry(request.from).or_default();
        if request.session < newest.0 {
            return;
        }
        let last_sequence = if newest.0 == request.session { newest.1 } else { 0 };
        *newest = (request.session, request.sequence.max(last_sequence));
        let sequence = newest.1;
        let name = host(request.from);
        let is_current = request.epoch == self.epoch;
        if is_current || request.held.is_empty() {
            self.shares.handle_report(&name, &request.held, self.now_ms);
        }
        let acknowledged = if is_current { request.acknowledged } else { 0 };
        self.shares.handle_demand(&name, acknowledged, &request.demands, self.now_ms);
        let awaits_report = self.shares.awaits_report(&name, self.now_ms);
        let reply = Reply {
            arrives_ms: self.now_ms + self.delay_ms(),
            to: request.from,
            session: request.session,
            sequence,
            epoch: self.epoch,
            revision: if awaits_report { 0 } else { self.shares.revision(&name) },
            shares: self.shares.list(&name),
        };
        if !self.is_lost(request.from) {
            self.replies.push(reply);
        }
    }

    fn apply(&mut self, reply: Reply) {
        let host = &mut self.hosts[reply.to];
        if reply.session != host.session || reply.epoch < host.epoch {
            return;
        }
        host.epoch = reply.epoch;
        if reply.revision < host.revision {
            return;
        }
        let index = usize::try_from(reply.sequence).expect("a small number") - 1;
        let lease_ms = LEASE_MS * 1000 / host.rate;
        host.listed_epoch = reply.epoch;
        host.revision = reply.revision;
        host.shares = reply.shares;
        host.lease_until_ms = host.lease_until_ms.max(host.sent_ms[index] + lease_ms);
    }

    /// Returns the slots of an upstream that a host may use now.
    fn usable(&self, number: usize, index: usize) -> u32 {
        let host = &self.hosts[number];
        let incarnation = self.incarnations[index];
        let name = upstream(index);
        let share = host
            .shares
            .iter()
            .find(|share| share.upstream == name.as_str() && share.incarnation == incarnation);
        let is_valid = host.lease_until_ms >= self.now_ms;
        share.filter(|_| is_valid).map_or(1, |share| share.slots)
    }

    /// Returns the slots that a host uses or may use.
    fn busy_or_usable(&self, number: usize, index: usize) -> u32 {
        self.hosts[number].in_use[index].max(self.usable(number, index))
    }

    /// Ends the work on lent slots of hosts whose lease has ended.
    fn end_leases(&mut self) {
        let now_ms = self.now_ms;
        for host in self.hosts.iter_mut().filter(|host| host.lease_until_ms < now_ms) {
            host.in_use = host.in_use.map(|slots| slots.min(1));
        }
    }

    fn check(&mut self) {
        for index in 0..UPSTREAMS {
            let sum: u32 = (0..HOSTS).map(|number| self.busy_or_usable(number, index)).sum();
            self.violations += u64::from(sum > LIMITS.slots);
            self.max_lent = self.max_lent.max(sum.saturating_sub(3));
        }
        if self.shares.is_lending_paused(self.now_ms) {
            self.max_adopted = self.max_adopted.max(self.shares.lent_slots());
        }
    }

    /// Ends all faults and checks that the loans follow a constant demand and then stay unchanged.
    pub(super) fn heal(&mut self) {
        self.unannounced.iter_mut().for_each(|(at_ms, _)| *at_ms = 0);
        self.announce_upstreams();
        self.now_ms += self.lease_expiry_ms;
        self.requests.clear();
        self.replies.clear();
        let mut revision = 0;
        for round in 0..200 {
            self.now_ms += 100;
            self.shares.tick(self.now_ms);
            for number in 0..HOSTS {
                let name = host(number);
                let acknowledged = self.shares.revision(&name);
                let demand =
                    |index| Demand { upstream: upstream(index), slots_in_use: 1, slots_wanted: 8 };
                let demands: Vec<_> = (0..UPSTREAMS).map(demand).collect();
                self.shares.handle_demand(&name, acknowledged, &demands, self.now_ms);
            }
            if round == 100 {
                revision = self.shares.total_revision();
            }
        }
        assert_eq!(self.shares.total_revision(), revision, "the shares stay unchanged");
        for number in 0..HOSTS {
            for share in self.shares.list(&host(number)) {
                assert!((2..=3).contains(&share.slots), "{share:?}");
            }
        }
    }
}
