//! Calls and checks that the job tests share.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslatch::local::Reply;
use serde_json::{Value, json};

use crate::support::{Installation, eventually};

/// Longest partial run: the start lease of 2 s, with its allowance for drift and delivery.
const PARTIAL_MAX_MS: u64 = 2_140;

/// Difference that rounding and the reading of two logs may add to a time.
const LOG_MARGIN_MS: u64 = 50;

/// Returns a job name of today.
pub fn name(id: &str) -> String {
    format!("{}-{id}", cactuslatch::today_utc())
}

/// Builds a submission of the organisation that the test document knows.
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
pub fn submit(site: &Installation, entry: u8, job: &Value) -> Option<Reply> {
    site.client(entry).send("POST", "/v1/jobs", &[], &job.to_string()).ok()
}

/// Sends a submission until it is answered with this status.
pub fn submit_until(site: &Installation, job: &Value, status: u16) -> Reply {
    let mut last = None;
    eventually("the submission is answered as expected", Duration::from_secs(8), || {
        last = submit(site, 0, job);
        last.as_ref().is_some_and(|reply| reply.status == status)
    });
    last.expect("an answer")
}

/// Cancels a job through an entry host.
pub fn cancel(site: &Installation, entry: u8, id: &str) -> Option<Reply> {
    site.client(entry).send("DELETE", &format!("/v1/jobs/{}", name(id)), &[], "").ok()
}

/// Returns what `explain` says of a job, or null while control cannot be asked.
pub fn explain(site: &Installation, id: &str) -> Value {
    let reply = site.client(0).get(&format!("/v1/jobs/{}/explain", name(id)));
    reply.ok().filter(|reply| reply.status == 200).map_or(Value::Null, |reply| reply.body)
}

/// Waits until a job has this state, or this stage while it is placed.
pub fn wait_for(site: &Installation, id: &str, state: &str, limit: Duration) -> Value {
    let mut last = Value::Null;
    eventually(&format!("job {id} is {state}"), limit, || {
        last = explain(site, id);
        last["state"] == state || last["stage"] == state
    });
    last
}

/// Waits until a job has ended and returns how.
pub fn wait_for_end(site: &Installation, id: &str, limit: Duration) -> Value {
    wait_for(site, id, "ended", limit)["end"].clone()
}

/// Returns the members of a job that worked on these stand-ins, by gang.
pub fn runs(site: &Installation, standins: &[u8], id: &str) -> BTreeMap<String, Vec<Value>> {
    let mut gangs: BTreeMap<String, Vec<Value>> = BTreeMap::new();
    for member in standins.iter().flat_map(|number| site.gang_log(*number)) {
        if member["job"] == name(id) {
            gangs.entry(member["gang"].to_string()).or_default().push(member);
        }
    }
    gangs
}

/// Returns how many gangs of a job ran whole to their end.
///
/// # Panics
/// Panics if a gang worked partially beyond the bound or two gangs of the job overlap.
pub fn whole_runs(gangs: &BTreeMap<String, Vec<Value>>, members: usize) -> usize {
    let end_ms = |gang: &[Value]| gang.iter().filter_map(|m| m["to_ms"].as_u64()).max();
    let start_ms = |gang: &[Value]| gang.iter().filter_map(|m| m["from_ms"].as_u64()).min();
    let mut spans: Vec<_> = gangs.values().map(|gang| (start_ms(gang), end_ms(gang))).collect();
    spans.sort_unstable();
    for pair in spans.windows(2) {
        let (first_end, next_start) = (pair[0].1, pair[1].0);
        let apart = first_end.map(|at| at.saturating_sub(LOG_MARGIN_MS)) <= next_start;
        assert!(first_end.is_some() && apart, "two gangs of a job overlap: {gangs:?}");
    }
    for gang in gangs.values().filter(|gang| gang.len() < members) {
        for member in gang {
            let ran_ms = member["to_ms"].as_u64().zip(member["from_ms"].as_u64());
            let ran_ms = ran_ms.map(|(to, from)| to - from);
            let bounded = ran_ms.is_some_and(|ms| ms <= PARTIAL_MAX_MS + LOG_MARGIN_MS);
            assert!(bounded, "a gang worked with only some of its members: {gang:?}");
        }
    }
    let completed = |gang: &&Vec<Value>| {
        gang.len() == members && gang.iter().all(|member| member["end"] == "completed")
    };
    gangs.values().filter(completed).count()
}
