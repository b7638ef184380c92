//! Attained service of organisations.

use std::sync::Arc;

use super::sample::{Sample, configuration, gang, incarnation, step};
use crate::cluster::codec;
use crate::tasks::{ATTAINED_DECAY_MS, Change, EndKind, Organisation, State, Usage};

/// Returns what an organisation uses and its average of the last seconds, in accelerators.
fn accelerators(state: &State, organisation: &str) -> Option<(u64, u64)> {
    let key = (organisation.into(), "pool".into(), false);
    let attained = state.attained.get(&key)?;
    let history = attained.history_at(state.now_ms);
    Some((attained.in_use.accelerators, history.accelerators / ATTAINED_DECAY_MS))
}

/// Guards against service that is counted twice, never, or for ever: it rises with the runs, and decays
/// once they have ended.
#[test]
fn attained_service_follows_the_runs_and_decays() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![gang(2, 8)]);
    sample.start(&job, 0, 1, &[0, 1]);
    sample.start(&job, 0, 1, &[0, 1]);
    assert_eq!(accelerators(&sample.state, "north"), Some((16, 0)));
    sample.at(ATTAINED_DECAY_MS);
    let (_, average) = accelerators(&sample.state, "north").unwrap();
    assert!((9..=11).contains(&average), "{average}");
    sample.end(&job, 0, 1, 0, EndKind::Stopped);
    sample.end(&job, 0, 1, 0, EndKind::Stopped);
    assert_eq!(accelerators(&sample.state, "north"), Some((8, average)));
    sample.apply(Change::RemoveUpstream { incarnation: incarnation(1) });
    assert_eq!(accelerators(&sample.state, "north"), Some((0, average)));
    sample.at(10 * ATTAINED_DECAY_MS);
    assert_eq!(accelerators(&sample.state, "north"), Some((0, 0)));
}

/// Guards against a new leader that forgets who was served, and against hosts whose states differ: one
/// that installed a snapshot goes on exactly as the one that made it.
#[test]
fn attained_service_survives_a_snapshot() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(3, 4)]);
    sample.start(&job, 0, 1, &[0]);
    sample.at(3_700);
    sample.start(&job, 1, 1, &[1]);
    sample.at(7_300);
    let mut copy = Sample { state: codec::decode(&codec::encode(&sample.state)).unwrap() };
    copy.state.rebuild();
    assert_eq!(copy.state.attained, sample.state.attained);
    for both in [&mut sample, &mut copy] {
        both.at(9_100);
        both.end(&job, 0, 1, 0, EndKind::Done);
        both.at(11_000);
        both.apply(Change::SetConfiguration {
            configuration: Arc::new(configuration(9)),
            raw: bytes::Bytes::new(),
        });
    }
    assert_eq!(copy.state.attained, sample.state.attained);
    assert_eq!(codec::encode(&copy.state), codec::encode(&sample.state));
}

/// Guards against accounts that pile up, and against an organisation with waiting work that loses its
/// history: only what is neither configured nor in use nor waited for is dropped.
#[test]
fn accounts_of_dropped_organisations_are_dropped_with_their_last_job() {
    let mut sample = Sample::with_hosts(1);
    let done = sample.accept_for(1, "normal", "north", vec![step(1, 4)]);
    let open = sample.accept_for(2, "normal", "south", vec![step(2, 4)]);
    for job in [&done, &open] {
        sample.start(job, 0, 1, &[0]);
        sample.at(sample.state.now_ms + 2_000);
        sample.end(job, 0, 1, 0, EndKind::Done);
    }
    let organisations: Vec<Organisation> = Vec::new();
    sample.apply(Change::SetConfiguration {
        configuration: Arc::new(crate::tasks::Configuration { organisations, ..configuration(9) }),
        raw: bytes::Bytes::new(),
    });
    assert_eq!(accelerators(&sample.state, "north"), None);
    assert!(accelerators(&sample.state, "south").is_some());
    let in_use = |state: &State| state.attained.values().all(|a| a.in_use == Usage::default());
    assert!(in_use(&sample.state));
}
