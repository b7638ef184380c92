//! Upstreams that are killed, restarted, suspended or leave while they run members.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::site::{
    count_complete_gangs, job, members_by_gang, submit_until, wait_for, wait_for_end,
};
use crate::support::{Installation, eventually};

const TIMEOUT: Duration = Duration::from_secs(15);

/// Time from the loss of an upstream until the other members stop: the upstream lease of 3 s with
/// 2% and 100 ms, one interval each of announcements and of their relay, and the stop itself.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Fault of the upstream that runs a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Killed,
    Restarted,
    Suspended,
}

/// If the upstream of one member fails, the other member must stop, and the job must be placed
/// again once no member of the old gang can still run.
#[rstest]
#[case(Fault::Killed)]
#[case(Fault::Restarted)]
#[case(Fault::Suspended)]
fn other_members_stop_and_the_job_runs_again(#[case] fault: Fault) {
    let mut installation = Installation::start(2, 2);
    submit_until(&installation, &job("gang", 16, 7_000), 202);
    wait_for(&installation, "gang", "running", TIMEOUT);
    let first = installation.gang_log(0)[0]["gang"].clone();
    let lost = Instant::now();
    match fault {
        Fault::Killed => installation.kill_standin(1),
        Fault::Restarted => {
            installation.kill_standin(1);
            installation.start_standin(1, 2);
        }
        Fault::Suspended => installation.suspend_standin(1),
    }
    eventually("the other member stops", STOP_LIMIT, || {
        let log = installation.gang_log(0);
        log.iter().any(|member| member["gang"] == first && !member["to_ms"].is_null())
    });
    println!("{fault:?}: the other member stopped within {:?}", lost.elapsed());
    match fault {
        // The killed upstream does not answer, so its block is held until its lease has ended.
        Fault::Killed => {
            wait_for(&installation, "gang", "stopping", TIMEOUT);
            return;
        }
        Fault::Restarted => {}
        Fault::Suspended => installation.resume_standin(1),
    }
    let end = wait_for_end(&installation, "gang", Duration::from_secs(20));
    assert_eq!(end["result"], "completed", "{end}");
    let gangs = members_by_gang(&installation, &[0, 1], "gang");
    assert_eq!(count_complete_gangs_after_fault(&gangs, fault), 1, "{gangs:?}");
}

/// Counts complete gangs; ignores the first gang if its log is incomplete due to a restart.
///
/// A restarted stand-in has lost the log of its earlier incarnation, so the first gang contains
/// only the member on the other stand-in.
fn count_complete_gangs_after_fault(
    gangs: &std::collections::BTreeMap<String, Vec<serde_json::Value>>,
    fault: Fault,
) -> usize {
    let mut gangs = gangs.clone();
    if fault == Fault::Restarted {
        gangs.retain(|_, members| members.len() == 2);
    }
    count_complete_gangs(&gangs, 2)
}

/// A leaving upstream must finish its running members and get no new ones.
#[test]
fn a_leaving_upstream_finishes_its_members_and_gets_no_new_ones() {
    let installation = Installation::start(2, 3);
    submit_until(&installation, &job("running", 16, 4_000), 202);
    let placed = wait_for(&installation, "running", "running", TIMEOUT);
    let leaving = placed["upstreams"][0].as_str().expect("an upstream").to_owned();
    let path = format!("/v1/upstreams/{leaving}/leave");
    let left = installation.client(0).send("POST", &path, &[], "{\"incarnation\":1}");
    assert!(left.is_ok_and(|reply| reply.status < 300));
    std::thread::sleep(Duration::from_secs(2));
    for id in ["after-1", "after-2"] {
        submit_until(&installation, &job(id, 8, 200), 202);
        let end = wait_for_end(&installation, id, TIMEOUT);
        assert_eq!(end["result"], "completed", "{end}");
    }
    let end = wait_for_end(&installation, "running", TIMEOUT);
    assert_eq!(end["result"], "completed", "{end}");
    let number = leaving.trim_start_matches("worker-").parse().expect("a number");
    let log = installation.gang_log(number);
    assert!(log.len() == 1 && log[0]["end"] == "completed", "{log:?}");
}
