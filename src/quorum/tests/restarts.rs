//! Time to a leader after all hosts have restarted, with delays and syncs of several regions.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::quorum::core::DurableState;
use crate::quorum::{Core, Limits, Log, Membership, Message, Snapshot};

const LIMITS: Limits =
    Limits { election_ms: 500, heartbeat_ms: 100, remove_after_ms: 1_000, losses_max: 2 };

/// Number of hosts, two in each region.
const HOSTS: u64 = 6;

/// Interval of each host's timer, and the time of a sync.
const TICK_MS: u64 = 25;
const SYNC_MS: u64 = 9;

/// When the hosts start: a quorum is there with the fourth one.
const STARTS_MS: [u64; 4] = [0, 33, 364, 395];

/// Something that happens at a host.
enum Event {
    Tick,
    Arrival(Message),
    /// The log's end and the messages that wait for the sync.
    Synced((u64, u64), Vec<Message>),
}

struct Restart {
    cores: BTreeMap<u64, Core>,
    events: BTreeMap<(u64, u64), (u64, Event)>,
    next_event: u64,
    rng: StdRng,
}

impl Restart {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let membership = Membership::of_voters((1..=HOSTS).map(|id| (id, id.to_string())));
        let mut restart = Self {
            cores: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            rng: StdRng::seed_from_u64(seed + 1_000),
        };
        for (id, start_ms) in (1..).zip(STARTS_MS) {
            let snapshot = Snapshot { membership: membership.clone(), ..Snapshot::default() };
            let disk = DurableState { log: Log::new(snapshot), ..DurableState::default() };
            restart.cores.insert(id, Core::new(id, disk, LIMITS, rng.random(), start_ms));
            restart.add(start_ms + TICK_MS, id, Event::Tick);
        }
        restart
    }

    fn add(&mut self, at_ms: u64, host: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_ms, self.next_event), (host, event));
    }

    fn send(&mut self, messages: Vec<Message>, now_ms: u64) {
        for message in messages {
            let starts_ms = usize::try_from(message.to - 1).ok().and_then(|to| STARTS_MS.get(to));
            if starts_ms.is_none_or(|start_ms| now_ms < *start_ms) {
                continue;
            }
            // Hosts 1 and 2, 3 and 4, 5 and 6 share a region.
            let delay_ms = if (message.from - 1) / 2 == (message.to - 1) / 2 { 4 } else { 20 };
            let at_ms = now_ms + delay_ms + self.rng.random_range(0..4);
            self.add(at_ms, message.to, Event::Arrival(message));
        }
    }

    /// Returns the time from the start of the last host until one leads.
    fn run(mut self) -> u64 {
        while let Some(((now_ms, _), (host, event))) = self.events.pop_first() {
            let core = self.cores.get_mut(&host).expect("only running hosts get events");
            match event {
                Event::Tick => {
                    core.tick(now_ms);
                    self.add(now_ms + TICK_MS, host, Event::Tick);
                }
                Event::Arrival(message) => core.receive(message, now_ms),
                Event::Synced((index, term), messages) => {
                    core.mark_synced(index, term, now_ms);
                    self.send(messages, now_ms);
                }
            }
            let core = self.cores.get_mut(&host).expect("only running hosts get events");
            let output = core.take_output();
            if core.is_confirmed_leader(now_ms) {
                return now_ms - STARTS_MS[STARTS_MS.len() - 1];
            }
            let log_end = (core.log().last_index(), core.log().last_term());
            self.send(output.send, now_ms);
            if !output.persist.is_empty() || !output.send_after_sync.is_empty() {
                let synced = Event::Synced(log_end, output.send_after_sync);
                self.add(now_ms + SYNC_MS, host, synced);
            }
        }
        unreachable!("the timers never end");
    }
}

/// Guards against an outage that is prolonged by divided votes, and by rare attempts: the first hosts ask
/// before the last ones may vote, and have to ask again soon after these may. Without either rule the mean
/// of these restarts was 936 ms, the ninth decile 1,432 ms and the longest 3,297 ms.
#[test]
fn a_leader_is_elected_soon_after_all_hosts_have_restarted() {
    let mut times_ms: Vec<u64> = (1..=200).map(|seed| Restart::new(seed).run()).collect();
    times_ms.sort_unstable();
    assert!(times_ms[100] < 800, "median {} ms", times_ms[100]);
    assert!(times_ms[180] < 900, "ninth decile {} ms", times_ms[180]);
    assert!(times_ms[199] < 1_500, "longest {} ms", times_ms[199]);
}
