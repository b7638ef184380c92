//! Upstreams that die, restart, freeze or leave while they run members.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::site::{job, runs, submit_until, wait_for, wait_for_end, whole_runs};
use crate::support::{Installation, eventually};

const LIMIT: Duration = Duration::from_secs(15);

/// Time from the loss of an upstream to the stop of the other members: the upstream lease of 3 s
/// with 2% and 100 ms, one interval of announcements and one of the relay, and the stop itself.
const OTHERS_STOP: Duration = Duration::from_secs(5);

/// What befalls the upstream of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Killed,
    Restarted,
    Frozen,
}

/// Guards against members that go on working without the others, and against a job that is not
/// placed again once its old gang has certainly ended.
#[rstest]
#[case(Fault::Killed)]
#[case(Fault::Restarted)]
#[case(Fault::Frozen)]
fn the_other_members_stop_and_the_job_runs_again(#[case] fault: Fault) {
    let mut site = Installation::start(2, 2);
    submit_until(&site, &job("gang", 16, 7_000), 202);
    wait_for(&site, "gang", "running", LIMIT);
    let first = site.gang_log(0)[0]["gang"].clone();
    let lost = Instant::now();
    match fault {
        Fault::Killed => site.kill_standin(1),
        Fault::Restarted => {
            site.kill_standin(1);
            site.start_standin(1, 2);
        }
        Fault::Frozen => site.freeze_standin(1),
    }
    eventually("the other member stops", OTHERS_STOP, || {
        let log = site.gang_log(0);
        log.iter().any(|member| member["gang"] == first && !member["to_ms"].is_null())
    });
    println!("{fault:?}: the other member stopped within {:?}", lost.elapsed());
    match fault {
        // Without an answer the block is held until the lease has certainly ended.
        Fault::Killed => {
            wait_for(&site, "gang", "stopping", LIMIT);
            return;
        }
        Fault::Restarted => {}
        Fault::Frozen => site.thaw_standin(1),
    }
    let end = wait_for_end(&site, "gang", Duration::from_secs(20));
    assert_eq!(end["result"], "completed", "{end}");
    let gangs = runs(&site, &[0, 1], "gang");
    assert_eq!(whole_runs_of_survivors(&gangs, fault), 1, "{gangs:?}");
}

/// A restarted stand-in has lost the log of its earlier incarnation, so that the first gang shows
/// only the member that was stopped.
fn whole_runs_of_survivors(
    gangs: &std::collections::BTreeMap<String, Vec<serde_json::Value>>,
    fault: Fault,
) -> usize {
    let mut gangs = gangs.clone();
    if fault == Fault::Restarted {
        gangs.retain(|_, members| members.len() == 2);
    }
    whole_runs(&gangs, 2)
}

/// Guards against a leave that cuts off running members, and against new members on an upstream
/// that leaves.
#[test]
fn a_leaving_upstream_finishes_its_members_and_gets_no_new_ones() {
    let site = Installation::start(2, 3);
    submit_until(&site, &job("running", 16, 4_000), 202);
    let placed = wait_for(&site, "running", "running", LIMIT);
    let leaving = placed["upstreams"][0].as_str().expect("an upstream").to_owned();
    let path = format!("/v1/upstreams/{leaving}/leave");
    let left = site.client(0).send("POST", &path, &[], "{\"incarnation\":1}");
    assert!(left.is_ok_and(|reply| reply.status < 300));
    std::thread::sleep(Duration::from_secs(2));
    for id in ["after-1", "after-2"] {
        submit_until(&site, &job(id, 8, 200), 202);
        let end = wait_for_end(&site, id, LIMIT);
        assert_eq!(end["result"], "completed", "{end}");
    }
    let end = wait_for_end(&site, "running", LIMIT);
    assert_eq!(end["result"], "completed", "{end}");
    let number = leaving.trim_start_matches("worker-").parse().expect("a number");
    let log = site.gang_log(number);
    assert!(log.len() == 1 && log[0]["end"] == "completed", "{log:?}");
}
