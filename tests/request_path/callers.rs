//! Callers that hang up, read nothing, send half or stay idle.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use cactuslatch::config::Limits;
use rstest::rstest;

use crate::support::path::{Ask, Path, Shape};
use crate::support::{Installation, eventually};

/// Largest resident memory of an entry host.
const MEMORY_LIMIT_KB: u64 = 128 * 1024;

fn request(work_ms: u64) -> String {
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

/// Sends as much as the host takes; it may refuse the rest and close.
fn send_what_is_taken(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_write_timeout(Some(Duration::from_millis(200))).expect("a socket");
    _ = stream.write_all(text.as_bytes());
    stream
}

/// Guards against callers that are gone and still hold places, and whose requests run later.
#[rstest]
fn a_caller_that_hangs_up_frees_its_place() {
    let limits = Limits { park_max: 8, ..Limits::default() };
    let path = Path::start(Shape { entry_hosts: 1, standins: 1, limits, ..Shape::default() });
    path.wait_for_lending();
    let running: Vec<_> =
        (0..8).map(|_| Ask::idempotent().work_ms(2_400).spawn(&path.client(0))).collect();
    eventually("all slots are taken", Duration::from_secs(2), || path.started() == 8);
    let waiting: Vec<_> = (0..8).map(|_| send(path.caller_address(0), &request(0))).collect();
    let parked = || path.metric(0, "cactuslatch_entry_parked ");
    eventually("they wait", Duration::from_secs(1), || parked() > 7.0);
    drop(waiting);
    eventually("their places are free", Duration::from_secs(1), || parked() < 1.0);
    for asked in running {
        assert_eq!(asked.join().expect("no panic").expect("an answer").outcome(), "done");
    }
    assert_eq!(path.started(), 8, "nobody waits for a ninth");
}

/// Guards against memory that grows with the organisations that callers make up.
#[rstest]
fn made_up_organisations_leave_no_metrics() {
    let path = Path::start(Shape::default());
    for number in 0..50 {
        let ask = Ask::of(&format!("made-up-{number}")).with("Cactuslatch-Idempotent", "true");
        assert_eq!(ask.send(&path.client(0)).reply.status, 403);
    }
    assert!(!path.metrics(0).contains("made-up"), "no label for an organisation without a part");
    assert!(path.metric(0, "cactuslatch_entry_requests_total") > 49.0, "they are counted");
}

/// Guards against callers that never read and hold slots or places of others.
#[rstest]
fn a_caller_that_never_reads_holds_only_its_connection() {
    let path = Path::start(Shape::default());
    let deaf: Vec<_> =
        (0..40).map(|_| send(path.caller_address(0), &request(5).repeat(3))).collect();
    eventually("their requests ran", Duration::from_secs(8), || path.started() >= 120);
    for _ in 0..10 {
        let told = Ask::idempotent().send(&path.client(0));
        assert_eq!(told.outcome(), "done", "{told:?}");
        assert!(told.took < Duration::from_secs(1), "{told:?}");
    }
    drop(deaf);
}

/// Guards against memory that grows with callers who send half a request or nothing.
#[rstest]
#[case::of_a_few_bytes(1)]
#[case::of_400_kb(400_000)]
fn half_sent_requests_and_idle_connections_fit_the_memory(#[case] sent_bytes: usize) {
    let installation = Installation::start(1, 1);
    let address = installation.entry_address(0);
    let head = "POST /v1/services/plan/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 900000";
    let half = format!("{head}\r\n\r\n{}", "x".repeat(sent_bytes));
    let mut open: Vec<_> = (0..400).map(|_| send_what_is_taken(address, &half)).collect();
    open.extend((0..1_000).map(|_| send(address, "")));
    eventually("others are served", Duration::from_secs(12), || {
        Ask::idempotent().send(&installation.client(0)).outcome() == "done"
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
