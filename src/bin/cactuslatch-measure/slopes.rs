//! `slopes`: what each additional upstream, entry host, record and document costs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::{OptionParser, Parser, construct, long};
use bytes::Bytes;
use cactuslatch::local::Client;
use http_body_util::Full;
use hyper::Request;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

use crate::load::{Connections, Tally, histogram, quantile_ms, run_open_loop};
use crate::process::{proc_status, processor_time};
use crate::proxy::Traffic;
use crate::site::{
    DATA_CENTRE, ORGANISATION, Site, SiteOptions, change_document, document, wait_until,
};

const USAGE: &str =
    "Measures bytes, processor time and memory against upstreams, entry hosts, records, documents";

const FOOTER: &str = "Bytes are payload at the sockets in both directions, counted by a proxy on \
    each link; headers of TCP and IP come on top. Processor time and memory are from /proc.";

/// Time after its start, or after a restart of control, until a site is idle.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Mean rate of the requests that create records.
const RECORDS_PER_S: f64 = 1_000.0;
/// Connections to each entry host for the requests that create records.
const CONNECTIONS_MAX: usize = 256;
/// Time limit for the answers that are outstanding after the last request.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);
/// Upstreams and entry hosts of the site for churn, records and documents.
const SMALL_SITE: (u8, u8) = (16, 2);
/// Upstreams that arrive and then leave.
const CHURN_UPSTREAMS: u32 = 20;
/// Length of the measurement without churn, and minimum length of the one with churn.
const CHURN_DURATION: Duration = Duration::from_secs(8);

/// Arguments of `slopes`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    /// Sizes of the idle sites; each is combined with each of `entry_hosts`.
    upstreams: Vec<u8>,
    entry_hosts: Vec<u8>,
    /// Records to add in each step.
    records: Vec<u32>,
    /// Total number of documents after each step.
    documents: Vec<u16>,
    /// Length of the measurement of each idle site.
    duration_ms: u64,
    seed: u64,
    folder: PathBuf,
    json: bool,
}

pub(crate) fn options() -> OptionParser<Args> {
    let upstreams = long("upstreams").help("Sizes to measure; repeat it [16 64 195]");
    let upstreams = upstreams.argument::<u8>("N").many().map(or_default(&[16, 64, 195]));
    let entry_hosts = long("entry-hosts").help("Entry hosts; repeat it [2 3]");
    let entry_hosts = entry_hosts.argument::<u8>("N").many().map(or_default(&[2, 3]));
    let records = long("records").help("Records to add in each step [2000 6000 16000]");
    let records = records.argument::<u32>("N").many().map(or_default(&[2_000, 6_000, 16_000]));
    let documents = long("documents").help("Documents in all after each step [20 80 170]");
    let documents = documents.argument::<u16>("N").many().map(or_default(&[20, 80, 170]));
    let duration_ms = long("duration-ms").help("Time at rest for each size");
    let duration_ms = duration_ms.argument::<u64>("MS").fallback(10_000);
    let seed = long("seed").argument::<u64>("SEED").fallback(1);
    let folder = long("folder").argument::<PathBuf>("FOLDER").fallback(PathBuf::from("."));
    let json = long("json").help("Print one JSON object as the last line").switch();
    construct!(Args { upstreams, entry_hosts, records, documents, duration_ms, seed, folder, json })
        .to_options()
        .descr(USAGE)
        .footer(FOOTER)
}

fn or_default<T: Clone>(default: &'static [T]) -> impl Fn(Vec<T>) -> Vec<T> {
    move |given| if given.is_empty() { default.to_vec() } else { given }
}

pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    let standin_runtime = Runtime::new()?;
    let mut idle = Vec::new();
    for entry_hosts in &args.entry_hosts {
        for upstreams in &args.upstreams {
            idle.push(measure_idle(args, &standin_runtime, *entry_hosts, *upstreams)?);
        }
    }
    let churn = churn(args, &standin_runtime)?;
    let records = records(args, &standin_runtime)?;
    let documents = documents(args, &standin_runtime)?;
    if args.json {
        let rows =
            json!({ "rest": idle, "churn": churn, "records": records, "documents": documents });
        println!("{}", json!({ "command": "slopes", "rows": rows }));
    }
    Ok(())
}

/// Traffic and processor time of a site since its start.
#[derive(Debug, Clone, Copy)]
struct Usage {
    taken_at: Instant,
    /// Traffic of all links between entry hosts and control.
    control: Traffic,
    /// Traffic of all links between upstreams and entry hosts.
    announce: Traffic,
    /// Processor time of the first entry host.
    entry_cpu: Duration,
    control_cpu: Duration,
}

impl Usage {
    fn of(site: &Site) -> eyre::Result<Self> {
        Ok(Self {
            taken_at: Instant::now(),
            control: site.control_traffic(),
            announce: site.announce_traffic(),
            // All entry hosts do the same work, so the first represents the others.
            entry_cpu: processor_time(site.entries()[0].id())?,
            control_cpu: processor_time(site.control().id())?,
        })
    }

    fn since(&self, before: &Self) -> UsageDelta {
        UsageDelta {
            seconds: self.taken_at.duration_since(before.taken_at).as_secs_f64(),
            control: self.control.since(before.control),
            announce: self.announce.since(before.announce),
            entry_cpu_ms: self.entry_cpu.saturating_sub(before.entry_cpu).as_secs_f64() * 1e3,
            control_cpu_ms: self.control_cpu.saturating_sub(before.control_cpu).as_secs_f64() * 1e3,
        }
    }
}

/// Traffic and processor time of a site between two readings, with the fields of [`Usage`].
#[derive(Debug, Serialize)]
struct UsageDelta {
    seconds: f64,
    control: Traffic,
    announce: Traffic,
    entry_cpu_ms: f64,
    control_cpu_ms: f64,
}

/// Measures an idle site of the given size.
fn measure_idle(
    args: &Args,
    standin_runtime: &Runtime,
    entry_hosts: u8,
    upstreams: u8,
) -> eyre::Result<Value> {
    let options = SiteOptions {
        count_traffic: true,
        ..SiteOptions::new(&args.folder, entry_hosts, upstreams)
    };
    let site = standin_runtime.block_on(Site::start(options))?;
    std::thread::sleep(SETTLE_TIME);
    let before = Usage::of(&site)?;
    std::thread::sleep(Duration::from_millis(args.duration_ms));
    let used = Usage::of(&site)?.since(&before);
    let hosts = f64::from(entry_hosts);
    let (announce_per_s, control_per_s) =
        (used.announce.bytes() as f64 / used.seconds, used.control.bytes() as f64 / used.seconds);
    println!(
        "rest: {entry_hosts} entry hosts, {upstreams:>3} upstreams: announcements {:.0} B/s an \
         upstream and host; control link {:.0} B/s a host; CPU entry {:.2} ms/s control {:.2} ms/s; \
         RSS entry {} KiB control {} KiB",
        announce_per_s / hosts / f64::from(upstreams),
        control_per_s / hosts,
        used.entry_cpu_ms / used.seconds,
        used.control_cpu_ms / used.seconds,
        proc_status(site.entries()[0].id(), "VmRSS")? / 1024,
        proc_status(site.control().id(), "VmRSS")? / 1024,
    );
    Ok(json!({
        "entry_hosts": entry_hosts,
        "upstreams": upstreams,
        "used": used,
        "entry_rss_bytes": proc_status(site.entries()[0].id(), "VmRSS")?,
        "control_rss_bytes": proc_status(site.control().id(), "VmRSS")?,
    }))
}

/// Measures the cost of an upstream that arrives and leaves.
///
/// What the idle site uses in the same time is subtracted.
fn churn(args: &Args, standin_runtime: &Runtime) -> eyre::Result<Value> {
    let (upstreams, entry_hosts) = SMALL_SITE;
    let options = SiteOptions {
        count_traffic: true,
        ..SiteOptions::new(&args.folder, entry_hosts, upstreams)
    };
    let mut site = standin_runtime.block_on(Site::start(options))?;
    std::thread::sleep(SETTLE_TIME);
    let before = Usage::of(&site)?;
    std::thread::sleep(CHURN_DURATION);
    let idle = Usage::of(&site)?.since(&before);
    let before = Usage::of(&site)?;
    let started = Instant::now();
    for _ in 0..CHURN_UPSTREAMS {
        standin_runtime.block_on(site.add_standin())?;
    }
    for _ in 0..CHURN_UPSTREAMS {
        standin_runtime.block_on(site.remove_standin());
    }
    std::thread::sleep(CHURN_DURATION.saturating_sub(started.elapsed()));
    let busy = Usage::of(&site)?.since(&before);
    let extra_per_upstream = |quantity: fn(&UsageDelta) -> f64| {
        (quantity(&busy) - quantity(&idle) * busy.seconds / idle.seconds)
            / f64::from(CHURN_UPSTREAMS)
    };
    let control_bytes = extra_per_upstream(|used| used.control.bytes() as f64);
    let announce_bytes = extra_per_upstream(|used| used.announce.bytes() as f64);
    let control_cpu_ms = extra_per_upstream(|used| used.control_cpu_ms);
    println!(
        "churn: an arrival and a leave: control links {control_bytes:.0} B, announcements \
         {announce_bytes:.0} B, CPU control {control_cpu_ms:.2} ms"
    );
    Ok(json!({
        "control_bytes": control_bytes,
        "announce_bytes": announce_bytes,
        "control_cpu_ms": control_cpu_ms,
    }))
}

/// Adds records in steps; measures each step and the restart of control that follows it.
fn records(args: &Args, standin_runtime: &Runtime) -> eyre::Result<Vec<Value>> {
    let (upstreams, entry_hosts) = SMALL_SITE;
    let options = SiteOptions {
        count_traffic: true,
        ..SiteOptions::new(&args.folder, entry_hosts, upstreams)
    };
    let mut site = standin_runtime.block_on(Site::start(options))?;
    let load_runtime = Runtime::new()?;
    let (mut total, mut rows) = (0, Vec::new());
    for step in &args.records {
        let before = Usage::of(&site)?;
        make_records(&site, &load_runtime, total, *step, args.seed)?;
        total += step;
        let used = Usage::of(&site)?.since(&before);
        let rss_bytes = proc_status(site.control().id(), "VmRSS")?;
        let log_bytes = folder_size_bytes(&site.folder.path().join("data"))?;
        let recovery = site.restart_control()?;
        let recovered_rss_bytes = proc_status(site.control().id(), "VmRSS")?;
        println!(
            "records: {total} in all: control link {:.0} B each; CPU entry {:.3} ms control {:.3} ms \
             each; log {log_bytes} B; control RSS {} KiB; recovered in {} ms, RSS {} KiB",
            used.control.bytes() as f64 / f64::from(*step),
            used.entry_cpu_ms * f64::from(entry_hosts) / f64::from(*step),
            used.control_cpu_ms / f64::from(*step),
            rss_bytes / 1024,
            recovery.as_millis(),
            recovered_rss_bytes / 1024,
        );
        rows.push(json!({
            "records": total,
            "step": step,
            "used": used,
            "log_bytes": log_bytes,
            "control_rss_bytes": rss_bytes,
            "recovery_ms": recovery.as_secs_f64() * 1e3,
            "recovered_rss_bytes": recovered_rss_bytes,
        }));
        std::thread::sleep(SETTLE_TIME);
    }
    Ok(rows)
}

/// Creates about `count` records with requests that run at most once.
///
/// The gaps between requests are random, so the number of records varies with the seed.
fn make_records(
    site: &Site,
    load_runtime: &Runtime,
    records_before: u32,
    count: u32,
    seed: u64,
) -> eyre::Result<()> {
    let entry_connections =
        [0, 1].map(|n| Arc::new(Connections::new(site.caller_address(n), CONNECTIONS_MAX)));
    let tally = Arc::new(Tally::new());
    let today = cactuslatch::today_utc();
    let duration = Duration::from_secs_f64(f64::from(count) / RECORDS_PER_S);
    run_open_loop(RECORDS_PER_S, duration, seed, |number, intended| {
        let connections = Arc::clone(&entry_connections[usize::from(number % 2 == 1)]);
        let key = format!("{DATA_CENTRE}/{today}-record-{records_before}-{number}");
        let request = Request::post("/v1/services/plan/requests")
            .header("host", connections.address().to_string())
            .header("cactuslatch-organisation", ORGANISATION)
            .header("idempotency-key", key)
            .body(Full::new(Bytes::from_static(b"{}")))
            .expect("names and numbers are valid headers");
        let tally = Arc::clone(&tally);
        tally.record_sent();
        load_runtime.spawn(async move {
            let status = connections.call(request).await.map_or(0, |(status, _)| status);
            tally.record_answer(intended, status);
        });
    });
    tally.wait(ANSWER_TIMEOUT)?;
    println!("records: answers by status {:?}", tally.statuses());
    // Entry hosts report outcomes to control in the background.
    std::thread::sleep(Duration::from_secs(1));
    Ok(())
}

fn folder_size_bytes(folder: &std::path::Path) -> eyre::Result<u64> {
    let mut bytes = 0;
    for file in std::fs::read_dir(folder)? {
        bytes += file?.metadata()?.len();
    }
    Ok(bytes)
}

/// Adds documents in steps and measures the cost of each step.
fn documents(args: &Args, standin_runtime: &Runtime) -> eyre::Result<Vec<Value>> {
    let (upstreams, entry_hosts) = SMALL_SITE;
    let documents_max = args.documents.iter().copied().max().unwrap_or(0);
    let options = SiteOptions {
        count_traffic: true,
        extra_services: documents_max,
        ..SiteOptions::new(&args.folder, entry_hosts, upstreams)
    };
    let site = standin_runtime.block_on(Site::start(options))?;
    let (mut total, mut rows) = (0, Vec::new());
    for total_after in &args.documents {
        let before = Usage::of(&site)?;
        let mut in_force = histogram();
        for number in total..*total_after {
            let took = add_document(&site, entry_hosts, number)?;
            in_force.saturating_record(u64::try_from(took.as_nanos())?);
        }
        let added = f64::from(total_after.saturating_sub(total).max(1));
        total = *total_after;
        let used = Usage::of(&site)?.since(&before);
        let (p50, p99) = (quantile_ms(&in_force, 0.5), quantile_ms(&in_force, 0.99));
        let entry_rss_bytes = proc_status(site.entries()[0].id(), "VmRSS")?;
        let control_rss_bytes = proc_status(site.control().id(), "VmRSS")?;
        println!(
            "documents: {total} in all: control links {:.0} B each; CPU control {:.2} ms each; in \
             force everywhere after p50 {p50:.1} p99 {p99:.1} ms; RSS entry {} KiB control {} KiB",
            used.control.bytes() as f64 / added,
            used.control_cpu_ms / added,
            entry_rss_bytes / 1024,
            control_rss_bytes / 1024,
        );
        rows.push(json!({
            "documents": total,
            "added": added,
            "used": used,
            "in_force_p50_ms": p50,
            "in_force_p99_ms": p99,
            "entry_rss_bytes": entry_rss_bytes,
            "control_rss_bytes": control_rss_bytes,
        }));
    }
    Ok(rows)
}

/// Adds a document and returns the time until it is in force on every entry host.
fn add_document(site: &Site, entry_hosts: u8, number: u16) -> eyre::Result<Duration> {
    let service = format!("service-{number}");
    let text = document(&service, ORGANISATION, 100);
    let clients: Vec<Client> = (0..entry_hosts).map(|n| site.client(n)).collect();
    let started = Instant::now();
    let status = change_document(&clients[0], &service, 0, &text)?;
    eyre::ensure!(status == 200, "the document of {service} was answered with status {status}");
    for client in &clients {
        wait_until("put the document in force", || has_document(client, &service))?;
    }
    Ok(started.elapsed())
}

/// Returns whether an entry host has the document of a service.
///
/// No upstream runs the service, so a host with the document answers that there is no capacity.
fn has_document(client: &Client, service: &str) -> bool {
    let headers = [
        ("Cactuslatch-Organisation", ORGANISATION),
        ("Cactuslatch-Idempotent", "true"),
        ("Cactuslatch-Timeout-Ms", "1"),
    ];
    let path = format!("/v1/services/{service}/requests");
    let reply = client.send("POST", &path, &headers, "{}");
    reply.is_ok_and(|reply| reply.status == 503)
}
