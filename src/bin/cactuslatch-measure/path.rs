//! `path`: latency that the request path adds to a direct call.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::{OptionParser, Parser, construct, long};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;
use serde::Serialize;
use tokio::runtime::{Handle, Runtime};

use crate::disk;
use crate::load::{Connections, Tally, histogram, quantile_ms, run_open_loop};
use crate::process::{proc_status, processor_time};
use crate::site::{DATA_CENTRE, ORGANISATION, Site, SiteOptions};

const USAGE: &str = "Measures the time that the request path adds to a direct call to an upstream";

const FOOTER: &str = "Each route (direct, and through the entry hosts) gets the stated rate, in one \
    interleaved open-loop stream with exponential gaps. Latency counts from the intended send time. \
    An added quantile is the difference of the two routes' quantiles. Control and entry hosts are \
    processes of their own; load generator and stand-ins share this one, on separate threads.";

/// Most connections to one entry host; further calls wait in the load generator.
const ENTRY_CONNECTIONS: usize = 512;
/// Most direct connections to one stand-in, which accepts 64.
const DIRECT_CONNECTIONS: usize = 8;
/// Syncs of the bare disk before each measurement and again after it.
const DISK_SYNCS: u32 = 150;
/// Time limit of the last answers of a measurement.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);
/// Share of requests done within the measurement below which the path is saturated.
const SATURATION_SHARE: f64 = 0.95;
/// Rate per second and duration of the load that opens connections before the first measurement.
const WARM_UP: (f64, Duration) = (200.0, Duration::from_secs(1));

/// Arguments of `path`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    rates: Vec<u32>,
    duration_ms: u64,
    repeat: u32,
    seed: u64,
    entry_hosts: u8,
    upstreams: u8,
    kinds: Vec<Kind>,
    folder: PathBuf,
    json: bool,
}

/// Kind of request, by whether it may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
enum Kind {
    #[display("idempotent")]
    Idempotent,
    #[display("once")]
    Once,
}

impl std::str::FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "idempotent" => Ok(Self::Idempotent),
            "once" => Ok(Self::Once),
            other => Err(format!("{other:?} is no kind: use idempotent or once")),
        }
    }
}

pub(crate) fn options() -> OptionParser<Args> {
    let rates = long("rate")
        .help("Requests a second on each route; repeat it for more [200 1000 2000 5000 8000 12000]")
        .argument::<u32>("RATE")
        .many()
        .map(
            |rates| {
                if rates.is_empty() { vec![200, 1000, 2000, 5000, 8000, 12_000] } else { rates }
            },
        );
    let duration_ms =
        long("duration-ms").help("Time at each rate").argument::<u64>("MS").fallback(5_000);
    let repeat = long("repeat").help("Runs of the whole list").argument::<u32>("N").fallback(3);
    let seed = long("seed").help("Seed of the gaps").argument::<u64>("SEED").fallback(1);
    let entry_hosts = long("entry-hosts").argument::<u8>("N").fallback(2);
    let upstreams = long("upstreams").argument::<u8>("N").fallback(16);
    let kinds = long("kind")
        .help("idempotent or once; both if absent")
        .argument::<Kind>("KIND")
        .many()
        .map(|kinds| if kinds.is_empty() { vec![Kind::Idempotent, Kind::Once] } else { kinds });
    let folder = long("folder")
        .help("Folder on the disk to measure; the current one if absent")
        .argument::<PathBuf>("FOLDER")
        .fallback(PathBuf::from("."));
    let json = long("json").help("Print one JSON object as the last line").switch();
    construct!(Args {
        rates,
        duration_ms,
        repeat,
        seed,
        entry_hosts,
        upstreams,
        kinds,
        folder,
        json
    })
    .to_options()
    .descr(USAGE)
    .footer(FOOTER)
}

/// Results of one measurement.
#[derive(Debug, Serialize)]
struct Row {
    run: u32,
    kind: Kind,
    rate_per_s: u32,
    achieved_per_s: f64,
    saturated: bool,
    direct_p50_ms: f64,
    direct_p99_ms: f64,
    path_p50_ms: f64,
    path_p99_ms: f64,
    added_p50_ms: f64,
    added_p99_ms: f64,
    sync_p50_ms: Option<f64>,
    sync_p99_ms: Option<f64>,
    entry_cpu_us: f64,
    control_cpu_us: f64,
    entry_rss_bytes: u64,
    failed: u64,
}

impl Row {
    const HEAD: &str = "run kind        rate/s achieved  direct p50/p99 ms   path p50/p99 ms  \
        added p50/p99 ms   sync p50/p99 ms  CPU us entry/control  RSS MiB  failed";

    fn print(&self) {
        let sync = match (self.sync_p50_ms, self.sync_p99_ms) {
            (Some(p50), Some(p99)) => format!("{p50:.3}/{p99:.3}"),
            _ => "-".to_owned(),
        };
        println!(
            "{:>3} {:<10} {:>7} {:>8.0} {:>17} {:>17} {:>17} {:>17} {:>21} {:>8} {:>7}",
            self.run,
            self.kind.to_string(),
            self.rate_per_s,
            self.achieved_per_s,
            format!("{:.3}/{:.3}", self.direct_p50_ms, self.direct_p99_ms),
            format!("{:.3}/{:.3}", self.path_p50_ms, self.path_p99_ms),
            format!("{:.3}/{:.3}", self.added_p50_ms, self.added_p99_ms),
            sync,
            format!("{:.0}/{:.0}", self.entry_cpu_us, self.control_cpu_us),
            self.entry_rss_bytes >> 20,
            self.failed,
        );
    }
}

/// A site under test and the connections to it.
struct Bench {
    site: Site,
    /// Runtime of the load generator.
    load: Handle,
    /// Connections to the stand-ins.
    direct: Vec<Arc<Connections>>,
    /// Connections to the entry hosts.
    entries: Vec<Arc<Connections>>,
    /// Number of the current measurement, which makes its keys unique.
    measurement: u32,
}

pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    // Stand-ins and load generator have separate threads, so that neither delays the other.
    let standins = runtime("standin", 3)?;
    let load = runtime("load", 3)?;
    let site = standins.block_on(Site::start(SiteOptions::new(
        &args.folder,
        args.entry_hosts,
        args.upstreams,
    )))?;
    let mut bench = Bench::new(site, &load);
    bench.warm_up(args)?;
    println!("{}", Row::HEAD);
    let mut rows = Vec::new();
    for run in 1..=args.repeat {
        for kind in &args.kinds {
            for rate in &args.rates {
                let row = bench.measure(args, run, *kind, *rate)?;
                row.print();
                let saturated = row.saturated;
                rows.push(row);
                if saturated {
                    break;
                }
            }
        }
    }
    if args.json {
        println!("{}", serde_json::json!({ "command": "path", "rows": rows }));
    }
    Ok(())
}

fn runtime(name: &str, threads: usize) -> eyre::Result<Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    Ok(builder.thread_name(name).worker_threads(threads).enable_all().build()?)
}

impl Bench {
    fn new(site: Site, load: &Runtime) -> Self {
        let connect = |address, limit| Arc::new(Connections::new(address, limit));
        let direct = site.standins().iter().map(|s| connect(s.address(), DIRECT_CONNECTIONS));
        let entries = (0..site.entries().len()).filter_map(|number| u8::try_from(number).ok());
        let entries = entries.map(|n| connect(site.caller_address(n), ENTRY_CONNECTIONS));
        let (direct, entries) = (direct.collect(), entries.collect());
        Self { site, load: load.handle().clone(), direct, entries, measurement: 0 }
    }

    fn warm_up(&mut self, args: &Args) -> eyre::Result<()> {
        let (rate, duration) = WARM_UP;
        for kind in &args.kinds {
            self.offer_load(*kind, rate, duration, args.seed)?;
        }
        Ok(())
    }

    fn measure(&mut self, args: &Args, run: u32, kind: Kind, rate: u32) -> eyre::Result<Row> {
        let duration = Duration::from_millis(args.duration_ms);
        let mut syncs = histogram();
        self.measure_disk_syncs(kind, &mut syncs)?;
        let before = self.processor_times()?;
        let seed = args.seed + u64::from(run) * 1_000_000 + u64::from(rate);
        let [direct, path] = self.offer_load(kind, f64::from(rate), duration, seed)?;
        let after = self.processor_times()?;
        self.measure_disk_syncs(kind, &mut syncs)?;
        let cpu_us_per_request = |before: Duration, after: Duration| {
            after.saturating_sub(before).as_secs_f64() * 1e6 / path.sent.max(1) as f64
        };
        let sync_ms = |quantile| (kind == Kind::Once).then(|| quantile_ms(&syncs, quantile));
        let latency_ms = |route: &RouteResult, quantile| quantile_ms(&route.latency, quantile);
        Ok(Row {
            run,
            kind,
            rate_per_s: rate,
            achieved_per_s: path.done_in_time as f64 / duration.as_secs_f64(),
            saturated: (path.done_in_time as f64) < path.sent as f64 * SATURATION_SHARE,
            direct_p50_ms: latency_ms(&direct, 0.5),
            direct_p99_ms: latency_ms(&direct, 0.99),
            path_p50_ms: latency_ms(&path, 0.5),
            path_p99_ms: latency_ms(&path, 0.99),
            added_p50_ms: latency_ms(&path, 0.5) - latency_ms(&direct, 0.5),
            added_p99_ms: latency_ms(&path, 0.99) - latency_ms(&direct, 0.99),
            sync_p50_ms: sync_ms(0.5),
            sync_p99_ms: sync_ms(0.99),
            entry_cpu_us: cpu_us_per_request(before.0, after.0),
            control_cpu_us: cpu_us_per_request(before.1, after.1),
            entry_rss_bytes: proc_status(self.site.entries()[0].id(), "VmRSS")?,
            failed: direct.failed + path.failed,
        })
    }

    /// Measures syncs of the bare disk if requests of this kind wait for one.
    fn measure_disk_syncs(&self, kind: Kind, syncs: &mut Histogram<u64>) -> eyre::Result<()> {
        match kind {
            Kind::Once => disk::sync_times(self.site.folder.path(), DISK_SYNCS, syncs),
            Kind::Idempotent => Ok(()),
        }
    }

    /// Returns the processor time of all entry hosts together and that of control.
    fn processor_times(&self) -> eyre::Result<(Duration, Duration)> {
        let mut entries = Duration::ZERO;
        for entry in self.site.entries() {
            entries += processor_time(entry.id())?;
        }
        Ok((entries, processor_time(self.site.control().id())?))
    }

    /// Sends requests at `rate` on each route and returns the results, direct ones first.
    fn offer_load(
        &mut self,
        kind: Kind,
        rate: f64,
        duration: Duration,
        seed: u64,
    ) -> eyre::Result<[RouteResult; 2]> {
        self.measurement += 1;
        let tallies = [Arc::new(Tally::new()), Arc::new(Tally::new())];
        let started = Instant::now();
        run_open_loop(rate * 2.0, duration, seed, |number, intended| {
            let (is_path, number) = (number % 2 == 1, number / 2);
            let (connections, request) =
                if is_path { self.path_call(kind, number) } else { self.direct_call(number) };
            let tally = Arc::clone(&tallies[usize::from(is_path)]);
            tally.record_sent();
            self.load.spawn(async move {
                let status = connections.call(request).await.map_or(0, |(status, _)| status);
                tally.record_answer(intended, status);
            });
        });
        std::thread::sleep(duration.saturating_sub(started.elapsed()));
        let done_in_time = tallies.each_ref().map(|tally| tally.succeeded());
        for tally in &tallies {
            tally.wait(ANSWER_TIMEOUT)?;
        }
        Ok([
            RouteResult::new(&tallies[0], done_in_time[0]),
            RouteResult::new(&tallies[1], done_in_time[1]),
        ])
    }

    fn direct_call(&self, number: u64) -> (Arc<Connections>, Request<Full<Bytes>>) {
        let target = Arc::clone(round_robin(&self.direct, number));
        let request = Request::post("/v1/run")
            .header("host", target.address().to_string())
            .header("content-type", "application/json")
            .header("cactuslatch-key", self.key("direct", number))
            .header("cactuslatch-attempt", 1)
            .header("cactuslatch-deadline-ms", 10_000);
        (target, body(request))
    }

    fn path_call(&self, kind: Kind, number: u64) -> (Arc<Connections>, Request<Full<Bytes>>) {
        let target = Arc::clone(round_robin(&self.entries, number));
        let request = Request::post("/v1/services/plan/requests")
            .header("host", target.address().to_string())
            .header("content-type", "application/json")
            .header("cactuslatch-organisation", ORGANISATION);
        let request = match kind {
            Kind::Idempotent => request.header("cactuslatch-idempotent", "true"),
            Kind::Once => request.header("idempotency-key", self.key("once", number)),
        };
        (target, body(request))
    }

    fn key(&self, route: &str, number: u64) -> String {
        let today = cactuslatch::today_utc();
        format!("{DATA_CENTRE}/{today}-{route}-{}-{number}", self.measurement)
    }
}

/// Selects targets in turn.
fn round_robin(targets: &[Arc<Connections>], number: u64) -> &Arc<Connections> {
    let count = targets.len() as u64;
    &targets[usize::try_from(number % count).expect("below the number of targets")]
}

fn body(request: hyper::http::request::Builder) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from_static(b"{\"work_ms\":0}"));
    request.body(body).expect("names and numbers are valid headers")
}

/// Results of the requests on one route.
struct RouteResult {
    latency: Histogram<u64>,
    sent: u64,
    done_in_time: u64,
    failed: u64,
}

impl RouteResult {
    fn new(tally: &Tally, done_in_time: u64) -> Self {
        let statuses = tally.statuses();
        let failed = statuses.iter().filter(|(status, _)| **status != 200).map(|(_, n)| n).sum();
        Self { latency: tally.latency(), sent: tally.sent(), done_in_time, failed }
    }
}
