//! Guaranteed work that finds its block lent to borrowers.

use std::time::{Duration, SystemTime};

use rstest::rstest;
use serde_json::{Value, json};

use crate::site::{cancel, job, name, submit_until, wait_for, wait_for_end};
use crate::support::{Installation, eventually};

const LIMIT: Duration = Duration::from_secs(15);

/// Time within which guaranteed work starts, as the design states it.
const START_LIMIT_MS: u64 = 1_700;

/// Longest hold of a block by a member that does not answer: 30 s, 2% and 100 ms; and the time to
/// stage and commit after it.
const HELD_LIMIT_MS: u64 = 30_700 + 700;

const REPETITIONS: u32 = 20;

fn document(block: u32) -> String {
    format!(
        "kind: service\nservice: plan\norganisations:\n  - name: plovdiv\n    \
         concurrency_max: 500\n    requests_per_s: 5000\n    guaranteed_blocks: []\n  \
         - name: varna\n    concurrency_max: 500\n    requests_per_s: 5000\n    \
         guaranteed_blocks: [{block}]\nbatch_queue_max: 100\ncompletion_weight: 1.0\n\
         fragmentation_weight: 0.2\n"
    )
}

fn borrower(id: &str, accelerators: u32, stops_by: &str) -> Value {
    let mut borrower = job(id, accelerators, 600_000);
    borrower["can_stop"] = json!(false);
    borrower[stops_by] = json!(true);
    borrower
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::UNIX_EPOCH.elapsed().expect("a clock after 1970");
    u64::try_from(elapsed.as_millis()).expect("a time in this era")
}

/// Submits a guaranteed job and returns the time until its last member started.
fn start_ms(site: &Installation, standins: &[u8], id: &str, accelerators: u32) -> u64 {
    let mut urgent = job(id, accelerators, 60_000);
    urgent["organisation"] = json!("varna");
    urgent["guaranteed"] = json!(true);
    let sent_ms = unix_ms();
    submit_until(site, &urgent, 202);
    let mut starts = Vec::new();
    eventually("the guaranteed job starts", Duration::from_secs(35), || {
        let log = standins.iter().flat_map(|number| site.gang_log(*number));
        let own = log.filter(|member| member["job"] == name(id));
        starts = own.filter_map(|member| member["from_ms"].as_u64()).collect();
        starts.len() == accelerators.div_ceil(8) as usize
    });
    starts.into_iter().max().expect("a member").saturating_sub(sent_ms)
}

/// Guards against guaranteed work that waits for its block longer than the stated time.
#[rstest]
#[case("can_checkpoint")]
#[case("can_stop")]
fn guaranteed_work_starts_in_time_with_borrowers_in_the_way(#[case] stops_by: &str) {
    let site = Installation::start_with(2, 2, &document(16));
    let borrowers = ["b0", "b1", "b2", "b3"];
    for id in borrowers {
        submit_until(&site, &borrower(id, 4, stops_by), 202);
    }
    let mut times_ms = Vec::new();
    for repetition in 0..REPETITIONS {
        for id in borrowers {
            wait_for(&site, id, "running", LIMIT);
        }
        let id = format!("urgent-{repetition}");
        times_ms.push(start_ms(&site, &[0, 1], &id, 16));
        assert!(cancel(&site, 0, &id).is_some_and(|reply| reply.status == 200));
        wait_for_end(&site, &id, LIMIT);
    }
    times_ms.sort_unstable();
    let (p50, max) = (times_ms[times_ms.len() / 2], times_ms[times_ms.len() - 1]);
    println!("{stops_by}: {REPETITIONS} starts, p50 {p50} ms, max {max} ms: {times_ms:?}");
    assert!(max <= START_LIMIT_MS, "{times_ms:?}");
}

/// Guards against a block that is given away while a frozen member of its borrower may work, and
/// against one that is held longer than the lease.
#[test]
fn a_frozen_member_of_a_borrower_holds_the_block_no_longer_than_its_lease() {
    let site = Installation::start_with(2, 2, &document(8));
    // The guaranteed block is where the job goes while nothing else runs.
    submit_until(&site, &guaranteed_probe(), 202);
    let home = wait_for(&site, "home", "running", LIMIT)["upstreams"][0].clone();
    cancel(&site, 0, "home");
    wait_for_end(&site, "home", LIMIT);
    submit_until(&site, &borrower("wide", 16, "can_stop"), 202);
    wait_for(&site, "wide", "running", LIMIT);
    let (own, frozen) = if home == "worker-0" { (0, 1) } else { (1, 0) };
    site.freeze_standin(frozen);
    let took_ms = start_ms(&site, &[own], "urgent", 8);
    println!("one member of the borrower frozen: started after {took_ms} ms");
    assert!(took_ms <= HELD_LIMIT_MS, "{took_ms} ms");
    site.thaw_standin(frozen);
}

fn guaranteed_probe() -> Value {
    let mut probe = job("home", 8, 60_000);
    probe["organisation"] = json!("varna");
    probe["guaranteed"] = json!(true);
    probe
}
