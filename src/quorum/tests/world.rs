//! Simulation of a quorum with network, disk and clock, driven by one seed.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::quorum::core::{DurableChange, DurableState};
use crate::quorum::{Core, Entry, Limits, Log, MemberId, Membership, Message, Payload, Snapshot};

/// Returns the limits of a quorum that was founded with so many hosts.
fn limits(hosts: usize) -> Limits {
    Limits {
        election_ms: 700,
        heartbeat_ms: 120,
        remove_after_ms: 1_400,
        losses_max: (hosts - 1) / 2,
    }
}

/// Applied index from which a host may compact its log.
const COMPACT_FROM_INDEX: u64 = 60;

/// Time that a host gets to catch up after a restart or suspension.
pub(super) const CATCH_UP_MS: u64 = 4_000;

/// A message on the simulated network.
#[derive(Debug)]
struct InFlight {
    arrives_ms: u64,
    from: usize,
    to: usize,
    message: Message,
}

/// Changes that are not on disk yet, and the messages that wait for them.
#[derive(Debug)]
struct Unsynced {
    persist: Vec<DurableChange>,
    messages: Vec<Message>,
    log_end: (u64, u64),
}

#[derive(Debug)]
pub(super) struct Host {
    pub(super) id: MemberId,
    /// Absent while the host is down.
    pub(super) core: Option<Core>,
    /// Whether the host is gone for good, with its disk.
    retired: bool,
    disk: DurableState,
    unsynced: VecDeque<Unsynced>,
    /// Time until which the host is suspended.
    suspended_until_ms: u64,
    started_ms: u64,
    pub(super) applied: u64,
    /// Source addresses of received messages, by sender.
    addresses: BTreeMap<MemberId, String>,
}

#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
/// Probabilities of faults in thousandths: per message for loss and repetition, else per step.
#[derive(Debug, Clone, Copy)]
pub(super) struct Faults {
    pub(super) loss_permille: u32,
    pub(super) repeat_permille: u32,
    pub(super) crash_permille: u32,
    pub(super) cut_permille: u32,
    pub(super) suspend_permille: u32,
    pub(super) wipe_permille: u32,
    /// A host is gone for good, and one with an empty disk comes at another address.
    pub(super) replace_permille: u32,
}

impl Faults {
    pub(super) const NONE: Self = Self {
        loss_permille: 0,
        repeat_permille: 0,
        crash_permille: 0,
        cut_permille: 0,
        suspend_permille: 0,
        wipe_permille: 0,
        replace_permille: 0,
    };

    pub(super) const ALL: Self = Self {
        loss_permille: 30,
        repeat_permille: 20,
        crash_permille: 3,
        cut_permille: 4,
        suspend_permille: 2,
        wipe_permille: 1,
        replace_permille: 1,
    };

    /// Lost disks and replaced hosts, at any time that the tolerated losses allow.
    pub(super) const DISKS: Self =
        Self { loss_permille: 10, wipe_permille: 2, replace_permille: 2, ..Self::NONE };

    /// Returns whether hosts or links fail in other ways, which may delay a membership change.
    const fn disturb_hosts(&self) -> bool {
        self.crash_permille + self.cut_permille + self.suspend_permille > 0
    }
}

/// All hosts, and the history by which safety is checked.
#[derive(Debug)]
pub(super) struct World {
    pub(super) rng: StdRng,
    pub(super) now_ms: u64,
    pub(super) hosts: Vec<Host>,
    in_flight: Vec<InFlight>,
    /// End times of one-way partitions, by link.
    cuts: BTreeMap<(usize, usize), u64>,
    faults: Faults,
    limits: Limits,
    leaders: BTreeMap<u64, MemberId>,
    /// Every entry that any host has committed.
    committed: BTreeMap<u64, Entry>,
    /// Highest index that a leader has acknowledged to its caller.
    acknowledged: u64,
    /// Proposals that are not acknowledged yet: host, index and term.
    proposed: Vec<(usize, u64, u64)>,
    next_command: u64,
    /// Host that lost its disk last.
    last_wiped: Option<usize>,
    /// Number of entries sent.
    pub(super) sent_entries: u64,
}

impl World {
    pub(super) fn new(hosts: usize, seed: u64, faults: Faults) -> Self {
        let ids = (0..hosts).map(|host| (host as u64 + 1, address(host)));
        let membership = Membership::of_voters(ids);
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 10_000,
            hosts: Vec::new(),
            in_flight: Vec::new(),
            cuts: BTreeMap::new(),
            faults,
            limits: limits(hosts),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            acknowledged: 0,
            proposed: Vec::new(),
            next_command: 1,
            last_wiped: None,
            sent_entries: 0,
        };
        for host in 0..hosts {
            let snapshot = Snapshot { membership: membership.clone(), ..Snapshot::default() };
            let disk = DurableState { log: Log::new(snapshot), ..DurableState::default() };
            world.push_host(host as u64 + 1, disk);
        }
        world
    }

    /// Adds and starts a host at an address of its own; returns its number.
    fn push_host(&mut self, id: MemberId, disk: DurableState) -> usize {
        self.hosts.push(Host {
            id,
            core: None,
            retired: false,
            disk,
            unsynced: VecDeque::new(),
            suspended_until_ms: 0,
            started_ms: 0,
            applied: 0,
            addresses: BTreeMap::new(),
        });
        let host = self.hosts.len() - 1;
        self.start(host);
        host
    }

    /// Starts another host with an empty disk; returns its number.
    pub(super) fn add_host(&mut self) -> usize {
        let id = self.rng.random();
        self.push_host(id, DurableState::default())
    }

    /// Stops a host for good; its disk is lost.
    pub(super) fn retire(&mut self, host: usize) {
        self.crash(host);
        self.hosts[host].retired = true;
    }

    fn start(&mut self, host: usize) {
        let seed = self.rng.random();
        let node = &mut self.hosts[host];
        node.started_ms = self.now_ms;
        node.applied = node.disk.log.snapshot().index;
        node.core = Some(Core::new(node.id, node.disk.clone(), self.limits, seed, self.now_ms));
    }

    /// Stops a host and loses a random tail of its unsynced changes.
    pub(super) fn crash(&mut self, host: usize) {
        if self.hosts[host].core.take().is_none() {
            return;
        }
        let kept = self.rng.random_range(0..=self.hosts[host].unsynced.len());
        let node = &mut self.hosts[host];
        for unsynced in node.unsynced.drain(..).take(kept) {
            unsynced.persist.into_iter().for_each(|persist| node.disk.apply(persist));
        }
        node.unsynced.clear();
        self.proposed.retain(|(proposer, ..)| *proposer != host);
    }

    /// Stops a host and empties its disk; it restarts with a new identity.
    pub(super) fn wipe(&mut self, host: usize) {
        self.crash(host);
        self.hosts[host].id = self.rng.random();
        self.hosts[host].disk = DurableState::default();
        self.last_wiped = Some(host);
    }

    pub(super) fn restart(&mut self, host: usize) {
        if self.hosts[host].core.is_none() && !self.hosts[host].retired {
            self.start(host);
        }
    }

    /// Drops all messages from one host to another for some time.
    pub(super) fn cut(&mut self, from: usize, to: usize, for_ms: u64) {
        self.cuts.insert((from, to), self.now_ms + for_ms);
    }

    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| {
            host.core.as_ref().is_some_and(|core| core.is_confirmed_leader(self.now_ms))
        };
        self.hosts.iter().position(leads)
    }

    pub(super) fn propose(&mut self, host: usize) -> Option<u64> {
        let now_ms = self.now_ms;
        let command = Bytes::from(self.next_command.to_le_bytes().to_vec());
        let core = self.hosts[host].core.as_mut()?;
        let (index, term) = core.propose(command, now_ms)?;
        self.next_command += 1;
        self.proposed.push((host, index, term));
        self.process_output(host);
        Some(index)
    }

    /// Advances the time by some milliseconds and runs one random action on one host.
    pub(super) fn step(&mut self) {
        self.step_with(Self::propose);
    }

    /// Does the same, but proposes nothing.
    pub(super) fn step_without_proposal(&mut self) {
        self.step_with(|_, _| None);
    }

    fn step_with(&mut self, propose: impl FnOnce(&mut Self, usize) -> Option<u64>) {
        self.now_ms += self.rng.random_range(1..12);
        self.inject_faults();
        let host = self.random_host();
        if self.is_running(host) {
            match self.rng.random_range(0..10) {
                0..4 => self.sync(host),
                4..8 => self.tick(host),
                8 => drop(propose(self, host)),
                _ => self.ask_to_join(host),
            }
        }
        self.deliver();
        self.check_reads();
    }

    /// Ends all faults, runs on and checks that all hosts converge.
    pub(super) fn heal(&mut self) {
        self.faults = Faults::NONE;
        self.cuts.clear();
        for host in 0..self.hosts.len() {
            self.hosts[host].suspended_until_ms = 0;
            self.restart(host);
        }
        for _ in 0..6_000 {
            self.step();
        }
        let newest = self.committed.keys().next_back().copied().unwrap_or(0);
        assert!(newest >= self.acknowledged, "an acknowledged entry is gone");
        for host in self.hosts.iter().filter(|host| !host.retired) {
            let core = host.core.as_ref().expect("all hosts run");
            assert!(core.membership().is_voter(host.id), "host {} did not come back", host.id);
            assert!(
                core.commit_index() + 200 > newest,
                "host {} stays behind at {} of {newest}: {core:?}, {:?}",
                host.id,
                core.commit_index(),
                self.leader().map(|leader| self.hosts[leader].core.as_ref().map(Core::role))
            );
        }
        let leaders =
            self.hosts.iter().filter(|host| host.core.as_ref().is_some_and(Core::is_leader));
        assert_eq!(leaders.count(), 1, "one host leads after the faults have ended");
    }

    fn is_running(&self, host: usize) -> bool {
        let node = &self.hosts[host];
        node.core.is_some() && node.suspended_until_ms <= self.now_ms
    }

    /// Returns one of the hosts that are not gone for good.
    fn random_host(&mut self) -> usize {
        let present = |(number, node): (usize, &Host)| (!node.retired).then_some(number);
        let numbers: Vec<_> = self.hosts.iter().enumerate().filter_map(present).collect();
        numbers[self.rng.random_range(0..numbers.len())]
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    fn inject_faults(&mut self) {
        let (host, other) = (self.random_host(), self.random_host());
        if self.chance(self.faults.crash_permille) {
            self.crash(host);
        }
        if self.chance(8) {
            self.restart(host);
        }
        if self.chance(self.faults.cut_permille) && host != other {
            let for_ms = self.rng.random_range(50..4_000);
            self.cut(host, other, for_ms);
        }
        if self.chance(self.faults.suspend_permille) {
            self.hosts[host].suspended_until_ms = self.now_ms + self.rng.random_range(100..4_000);
        }
        if self.chance(self.faults.wipe_permille) && self.may_wipe(host) {
            self.wipe(host);
        }
        if self.chance(self.faults.replace_permille) && self.may_wipe(host) {
            self.retire(host);
            self.last_wiped = Some(self.add_host());
        }
    }

    /// Returns whether another disk may be lost, which is one at a time.
    ///
    /// The host that lost its disk last, or the successor of one that is gone, must have had time to
    /// catch up, and the membership with its new identity must be committed. A host that is gone no
    /// longer counts once its successor has had that time, so that it may still be a member, unless
    /// other faults have delayed its removal.
    fn may_wipe(&self, host: usize) -> bool {
        let settled = self.last_wiped.is_none_or(|wiped| self.has_caught_up(wiped));
        let Some(leader) = self.leader() else { return false };
        let Some(core) = self.hosts[leader].core.as_ref() else { return false };
        let members: Vec<_> = core.membership().voters().collect();
        let committed = core.log().membership_index() <= core.commit_index();
        let present = || self.hosts.iter().enumerate().filter(|(_, node)| !node.retired);
        let all_are_members = present().all(|(_, node)| members.contains(&node.id));
        // A host that is down may hold entries that the others lack.
        let others_up = present().all(|(other, _)| other == host || self.is_running(other));
        let caught_up = present().all(|(other, node)| {
            let held = node.core.as_ref().map_or(0, Core::commit_index);
            other == host || held >= self.acknowledged
        });
        let is_present = !self.hosts[host].retired;
        let gone_is_member =
            self.hosts.iter().any(|node| node.retired && core.membership().get(node.id).is_some());
        let removal_is_due = !gone_is_member || !self.faults.disturb_hosts();
        is_present
            && removal_is_due
            && settled
            && committed
            && all_are_members
            && others_up
            && caught_up
    }

    /// Returns whether a host has run long enough since it was last down or suspended.
    fn has_caught_up(&self, host: usize) -> bool {
        let node = &self.hosts[host];
        let back_ms = node.started_ms.max(node.suspended_until_ms);
        self.is_running(host) && self.now_ms > back_ms + CATCH_UP_MS
    }

    fn tick(&mut self, host: usize) {
        let now_ms = self.now_ms;
        if let Some(core) = self.hosts[host].core.as_mut() {
            core.tick(now_ms);
            if self.hosts[host].applied > COMPACT_FROM_INDEX && self.chance(20) {
                let node = &mut self.hosts[host];
                let applied = node.applied;
                if let Some(core) = node.core.as_mut() {
                    core.compact(applied, Bytes::from_static(b"state"));
                }
            }
        }
        self.process_output(host);
    }

    /// Syncs some of the waiting changes, as group commit does.
    fn sync(&mut self, host: usize) {
        let waiting = self.hosts[host].unsynced.len();
        if waiting == 0 {
            return;
        }
        for _ in 0..self.rng.random_range(1..=waiting) {
            self.sync_one(host);
        }
        self.process_output(host);
    }

    fn sync_one(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let Some(unsynced) = self.hosts[host].unsynced.pop_front() else { return };
        let node = &mut self.hosts[host];
        unsynced.persist.into_iter().for_each(|persist| node.disk.apply(persist));
        if let Some(core) = node.core.as_mut() {
            core.mark_synced(unsynced.log_end.0, unsynced.log_end.1, now_ms);
        }
        self.send(host, unsynced.messages);
    }

    /// Lets a host that is no voter or knows no leader ask to join, as the control process does.
    fn ask_to_join(&mut self, host: usize) {
        let id = self.hosts[host].id;
        let Some(leader) = self.leader() else { return };
        let settled = self.hosts[host]
            .core
            .as_ref()
            .is_some_and(|core| core.membership().is_voter(id) && core.leader().is_some());
        let cut = |link: &(usize, usize)| self.cuts.get(link).is_some_and(|end| *end > self.now_ms);
        let reachable = !cut(&(host, leader)) && !cut(&(leader, host));
        if !settled && reachable && self.is_running(leader) {
            let now_ms = self.now_ms;
            if let Some(core) = self.hosts[leader].core.as_mut() {
                core.join(id, address(host), now_ms);
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|f| f.arrives_ms <= now_ms);
        self.in_flight = later;
        for flight in due {
            let cut = self.cuts.get(&(flight.from, flight.to)).is_some_and(|end| *end > now_ms);
            if cut || self.hosts[flight.to].core.is_none() {
                continue;
            }
            if !self.is_running(flight.to) {
                let arrives_ms = self.hosts[flight.to].suspended_until_ms + 1;
                self.in_flight.push(InFlight { arrives_ms, ..flight });
                continue;
            }
            let to = &mut self.hosts[flight.to];
            to.addresses.insert(flight.message.from, address(flight.from));
            if let Some(core) = to.core.as_mut() {
                core.receive(flight.message, now_ms);
            }
            self.process_output(flight.to);
        }
    }

    fn send(&mut self, from: usize, messages: Vec<Message>) {
        for message in messages {
            if let crate::quorum::message::Body::Append { entries, .. } = &message.body {
                self.sent_entries += entries.len() as u64;
            }
            // The host at the address receives the message, whatever identity its disk has.
            let Some(core) = self.hosts[from].core.as_ref() else { return };
            let member = core.membership().get(message.to).map(|member| &member.address);
            let known = member.or_else(|| self.hosts[from].addresses.get(&message.to));
            let Some(to) = known.and_then(|address| address.parse().ok()) else { continue };
            let copies = 1 + u32::from(self.chance(self.faults.repeat_permille));
            for _ in 0..copies {
                if !self.chance(self.faults.loss_permille) {
                    let arrives_ms = self.now_ms + self.rng.random_range(5..70);
                    let message = message.clone();
                    self.in_flight.push(InFlight { arrives_ms, from, to, message });
                }
            }
        }
    }

    fn process_output(&mut self, host: usize) {
        let Some(core) = self.hosts[host].core.as_mut() else { return };
        let output = core.take_output();
        let log_end = (core.log().last_index(), core.log().last_term());
        let role = (core.is_leader(), core.term(), core.id);
        if role.0 {
            let leader = self.leaders.entry(role.1).or_insert(role.2);
            assert_eq!(*leader, role.2, "two leaders in term {}", role.1);
        }
        if !output.persist.is_empty() || !output.send_after_sync.is_empty() {
            let (persist, messages) = (output.persist, output.send_after_sync);
            self.hosts[host].unsynced.push_back(Unsynced { persist, messages, log_end });
        }
        if let Some(snapshot) = &output.installed {
            assert!(snapshot.index >= self.hosts[host].applied, "a state never goes back");
            self.hosts[host].applied = snapshot.index;
        }
        for entry in output.committed {
            assert_eq!(entry.index, self.hosts[host].applied + 1, "entries are applied in order");
            self.hosts[host].applied = entry.index;
            let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            assert_eq!(*known, entry, "two hosts committed different entries");
        }
        self.acknowledge(host);
        self.send(host, output.send);
    }

    /// Acknowledges the proposals whose entries the host has applied.
    fn acknowledge(&mut self, host: usize) {
        let applied = self.hosts[host].applied;
        let committed = &self.committed;
        let mut acknowledged = self.acknowledged;
        self.proposed.retain(|(proposer, index, term)| {
            if *proposer != host || *index > applied {
                return true;
            }
            if committed.get(index).is_some_and(|entry| entry.term == *term) {
                acknowledged = acknowledged.max(*index);
            }
            false
        });
        self.acknowledged = acknowledged;
    }

    /// Checks that a confirmed leader has applied every acknowledged entry.
    fn check_reads(&self) {
        for (number, host) in self.hosts.iter().enumerate() {
            let confirmed =
                host.core.as_ref().is_some_and(|core| core.is_confirmed_leader(self.now_ms));
            if confirmed && self.is_running(number) {
                assert!(
                    host.applied >= self.acknowledged,
                    "host {} at {} would answer an old state of {}",
                    host.id,
                    host.applied,
                    self.acknowledged
                );
            }
        }
    }

    /// Returns the smallest number of voters of any committed membership.
    pub(super) fn smallest_membership(&self) -> usize {
        let voters = |entry: &Entry| match &entry.payload {
            Payload::Membership(membership) => Some(membership.voters().count()),
            _ => None,
        };
        self.committed.values().filter_map(voters).min().unwrap_or(usize::MAX)
    }

    /// Returns the number of committed commands.
    pub(super) fn commands(&self) -> usize {
        let is_command = |entry: &&Entry| matches!(entry.payload, Payload::Command(_));
        self.committed.values().filter(is_command).count()
    }
}

pub(super) fn address(host: usize) -> String {
    host.to_string()
}
