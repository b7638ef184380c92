//! Calls and checks shared by the job tests.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslatch::local::Reply;
use serde_json::{Value, json};

use crate::support::{Installation, eventually};

/// Longest run of a gang without all members: the start lease of 2 s, and 140 ms for drift and
/// delivery.
const PARTIAL_RUN_MAX_MS: u64 = 2_140;

/// Inaccuracy of times due to rounding and to reading the logs of two stand-ins.
const LOG_MARGIN_MS: u64 = 50;

/// Returns a job name with today's date.
pub fn name(id: &str) -> String {
    format!("{}-{id}", cactuslatch::today_utc())
}

/// Builds a submission of an organisation that is in the test document.
pub fn job(id: &str, accelerators: u32, run_ms: u64) -> Value {
    json!({
        "name": name(id),
        "organisation": "plovdiv",
        "service": "plan",
        "accelerators": accelerators,
        "run_ms": run_ms,
        "can_stop": true,
    })
}

/// Sends a submission through an entry host.
pub fn submit(installation: &Installation, entry: u8, job: &Value) -> Option<Reply> {
    installation.client(entry).send("POST", "/v1/jobs", &[], &job.to_string()).ok()
}

/// Repeats a submission until it is answered with `status`.
pub fn submit_until(installation: &Installation, job: &Value, status: u16) -> Reply {
    let mut last = None;
    eventually("the submission is answered as expected", Duration::from_secs(8), || {
        last = submit(installation, 0, job);
        last.as_ref().is_some_and(|reply| reply.status == status)
    });
    last.expect("an answer")
}

/// Cancels a job through an entry host.
pub fn cancel(installation: &Installation, entry: u8, id: &str) -> Option<Reply> {
    installation.client(entry).send("DELETE", &format!("/v1/jobs/{}", name(id)), &[], "").ok()
}

/// Returns the answer of `explain` for a job, or null while control is unreachable.
pub fn explain(installation: &Installation, id: &str) -> Value {
    let reply = installation.client(0).get(&format!("/v1/jobs/{}/explain", name(id)));
    reply.ok().filter(|reply| reply.status == 200).map_or(Value::Null, |reply| reply.body)
}

/// Waits until a job has the given state or, once it is placed, the given stage.
pub fn wait_for(installation: &Installation, id: &str, state: &str, limit: Duration) -> Value {
    let mut last = Value::Null;
    eventually(&format!("job {id} is {state}"), limit, || {
        last = explain(installation, id);
        last["state"] == state || last["stage"] == state
    });
    last
}

/// Waits until a job has ended, and returns its end.
pub fn wait_for_end(installation: &Installation, id: &str, limit: Duration) -> Value {
    wait_for(installation, id, "ended", limit)["end"].clone()
}

/// Returns the members of a job that ran on the given stand-ins, by gang.
pub fn members_by_gang(
    installation: &Installation,
    standins: &[u8],
    id: &str,
) -> BTreeMap<String, Vec<Value>> {
    let mut gangs: BTreeMap<String, Vec<Value>> = BTreeMap::new();
    for member in standins.iter().flat_map(|number| installation.gang_log(*number)) {
        if member["job"] == name(id) {
            gangs.entry(member["gang"].to_string()).or_default().push(member);
        }
    }
    gangs
}

/// Returns the number of gangs of a job whose members all completed.
///
/// # Panics
/// Panics if a gang without all members ran longer than allowed, or if two gangs overlap.
pub fn count_complete_gangs(gangs: &BTreeMap<String, Vec<Value>>, members: usize) -> usize {
    let end_ms = |gang: &[Value]| gang.iter().filter_map(|m| m["to_ms"].as_u64()).max();
    let start_ms = |gang: &[Value]| gang.iter().filter_map(|m| m["from_ms"].as_u64()).min();
    let mut spans: Vec<_> = gangs.values().map(|gang| (start_ms(gang), end_ms(gang))).collect();
    spans.sort_unstable();
    for pair in spans.windows(2) {
        let (first_end, next_start) = (pair[0].1, pair[1].0);
        let disjoint = first_end.map(|end_ms| end_ms.saturating_sub(LOG_MARGIN_MS)) <= next_start;
        assert!(first_end.is_some() && disjoint, "two gangs of a job overlap: {gangs:?}");
    }
    for gang in gangs.values().filter(|gang| gang.len() < members) {
        for member in gang {
            let ran_ms = member["to_ms"].as_u64().zip(member["from_ms"].as_u64());
            let ran_ms = ran_ms.map(|(end_ms, start_ms)| end_ms - start_ms);
            let within_limit = ran_ms.is_some_and(|ms| ms <= PARTIAL_RUN_MAX_MS + LOG_MARGIN_MS);
            assert!(within_limit, "a gang ran too long with only some of its members: {gang:?}");
        }
    }
    let completed = |gang: &&Vec<Value>| {
        gang.len() == members && gang.iter().all(|member| member["end"] == "completed")
    };
    gangs.values().filter(completed).count()
}
