//! Callers that disconnect, never read, send partial requests or stay idle.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use cactuslatch::config::Limits;
use rstest::rstest;

use crate::support::path::{ClusterOptions, Request, TestCluster};
use crate::support::{Installation, eventually};

/// Limit of the resident memory of an entry host.
const MEMORY_LIMIT_KB: u64 = 128 * 1024;

fn http_request(work_ms: u64) -> String {
    let body = format!("{{\"work_ms\":{work_ms}}}");
    format!(
        "POST /v1/services/plan/requests HTTP/1.1\r\nHost: x\r\nCactuslatch-Organisation: plovdiv\r\n\
         Cactuslatch-Idempotent: true\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(text.as_bytes()).expect("sent");
    stream
}

/// Sends until the host stops reading or closes the connection.
fn send_until_blocked(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_write_timeout(Some(Duration::from_millis(200))).expect("a socket");
    _ = stream.write_all(text.as_bytes());
    stream
}

/// A parked request of a caller that has disconnected must not count against `park_max`, and must
/// not run later.
#[rstest]
fn a_caller_that_disconnects_no_longer_waits() {
    let limits = Limits { park_max: 8, ..Limits::default() };
    let cluster = TestCluster::start(ClusterOptions {
        entry_hosts: 1,
        standins: 1,
        limits,
        ..ClusterOptions::default()
    });
    cluster.wait_for_lending();
    let running: Vec<_> =
        (0..8).map(|_| Request::idempotent().work_ms(2_400).spawn(&cluster.client(0))).collect();
    eventually("all slots are taken", Duration::from_secs(2), || cluster.started() == 8);
    let waiting: Vec<_> =
        (0..8).map(|_| send(cluster.caller_address(0), &http_request(0))).collect();
    let parked = || cluster.metric(0, "cactuslatch_entry_parked ");
    eventually("the requests are parked", Duration::from_secs(1), || parked() > 7.0);
    drop(waiting);
    eventually("no request is parked", Duration::from_secs(1), || parked() < 1.0);
    for thread in running {
        assert_eq!(thread.join().expect("no panic").expect("an answer").outcome(), "done");
    }
    assert_eq!(cluster.started(), 8, "requests of disconnected callers did not run");
}

/// Callers can send any organisation name; memory must not grow by a metric label for each.
#[rstest]
fn unknown_organisations_get_no_metric_labels() {
    let cluster = TestCluster::start(ClusterOptions::default());
    for number in 0..50 {
        let request = Request::from_organisation(&format!("made-up-{number}"))
            .header("Cactuslatch-Idempotent", "true");
        assert_eq!(request.send(&cluster.client(0)).reply.status, 403);
    }
    assert!(!cluster.metrics(0).contains("made-up"), "no label for an unknown organisation");
    assert!(cluster.metric(0, "cactuslatch_entry_requests_total") > 49.0, "they are counted");
}

/// Callers that never read their answers must not take slots or queue positions from others.
#[rstest]
fn a_caller_that_never_reads_holds_only_its_connection() {
    let cluster = TestCluster::start(ClusterOptions::default());
    let open: Vec<_> =
        (0..40).map(|_| send(cluster.caller_address(0), &http_request(5).repeat(3))).collect();
    eventually("the requests ran", Duration::from_secs(8), || cluster.started() >= 120);
    for _ in 0..10 {
        let response = Request::idempotent().send(&cluster.client(0));
        assert_eq!(response.outcome(), "done", "{response:?}");
        assert!(response.elapsed < Duration::from_secs(1), "{response:?}");
    }
    drop(open);
}

/// Memory must stay bounded when many callers send partial requests or nothing.
#[rstest]
#[case::of_a_few_bytes(1)]
#[case::of_400_kb(400_000)]
fn partial_requests_and_idle_connections_stay_within_the_memory_limit(#[case] sent_bytes: usize) {
    let installation = Installation::start(1, 1);
    let address = installation.entry_address(0);
    let head = "POST /v1/services/plan/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 900000";
    let partial = format!("{head}\r\n\r\n{}", "x".repeat(sent_bytes));
    let mut open: Vec<_> = (0..400).map(|_| send_until_blocked(address, &partial)).collect();
    open.extend((0..1_000).map(|_| send(address, "")));
    eventually("others are served", Duration::from_secs(12), || {
        Request::idempotent().send(&installation.client(0)).outcome() == "done"
    });
    let resident_kb = resident_kb(installation.entry_pid(0));
    println!("{resident_kb} KB resident, {} connections, {sent_bytes} bytes each", open.len());
    assert!(resident_kb < MEMORY_LIMIT_KB, "{resident_kb} KB");
}

fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}
