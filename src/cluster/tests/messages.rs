//! Damaged messages between the system's own processes.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::cluster::codec;
use crate::cluster::{Reply, Request};
use crate::quorum::core::{DurableChange, DurableState};
use crate::quorum::{Batch, Core, Entry, Limits, Log, Membership, Payload, Snapshot};
use crate::tasks::tests::sample::heartbeat;

/// Number of damaged copies of each message.
const COPIES: usize = 20_000;

fn batch() -> Batch {
    let entry = |index| Entry { index, term: 3, payload: Payload::Command("command".into()) };
    let mut durable = DurableState { term: 3, ..DurableState::default() };
    durable.apply(DurableChange::Entries(vec![entry(1), entry(2)]));
    let snapshot = Snapshot {
        membership: Membership::of_voters([(1, "a".to_owned()), (2, "b".to_owned())]),
        ..durable.log.snapshot().clone()
    };
    durable.log = Log::new(snapshot);
    let limits =
        Limits { election_ms: 100, heartbeat_ms: 20, remove_after_ms: 1_000, losses_max: 1 };
    let mut core = Core::new(1, durable, limits, 1, 0);
    core.tick(1_000);
    Batch { from_address: "10.0.0.1:7000".to_owned(), messages: core.take_output().send }
}

/// Changes, removes, adds or repeats some bytes.
fn damage(bytes: &[u8], rng: &mut StdRng) -> Vec<u8> {
    let mut damaged = bytes.to_vec();
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..damaged.len().max(1)).min(damaged.len());
        match rng.random_range(0..4) {
            0 if at < damaged.len() => damaged[at] ^= 1 << rng.random_range(0..8),
            1 => damaged.truncate(at),
            2 => damaged.insert(at, rng.random_range(0..=255)),
            _ => damaged.extend_from_within(at..),
        }
    }
    damaged
}

/// Guards against a damaged message that is taken for another one: a changed term or index could end
/// the process or split the log. Every damaged message is refused, and none ends the process.
#[test]
fn damaged_messages_are_refused() {
    let messages = [
        codec::encode_message(&batch()),
        codec::encode_message(&Request::Heartbeat(heartbeat(1))),
        codec::encode_message(&Reply::Unknown),
    ];
    let mut rng = StdRng::seed_from_u64(1);
    for message in &messages {
        for _ in 0..COPIES {
            let damaged = damage(message, &mut rng);
            if damaged != message[..] {
                assert!(codec::decode_message::<Batch>(&damaged).is_err());
                assert!(codec::decode_message::<Request>(&damaged).is_err());
                assert!(codec::decode_message::<Reply>(&damaged).is_err());
            }
        }
    }
    assert_eq!(codec::decode_message::<Batch>(&messages[0]).ok(), Some(batch()));
}

/// Guards against a message of another version that is read with this version's layout.
#[test]
fn messages_of_another_version_are_refused_by_name() {
    let mut message = codec::encode_message(&Request::Status).to_vec();
    message[0] += 1;
    let fault = codec::decode_message::<Request>(&message).expect_err("another version");
    assert_eq!(fault.to_string(), "the message has version 2, and this process reads version 1");
}
