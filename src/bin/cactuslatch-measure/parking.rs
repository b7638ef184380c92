//! `parking`: a burst that exceeds the free slots, under several wait policies.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bpaf::{OptionParser, Parser, construct, long};
use bytes::Bytes;
use cactuslatch::Class;
use http_body_util::Full;
use hyper::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::runtime::{Handle, Runtime};
use tokio::time::timeout;

use crate::burst_report::{Row, Sample};
use crate::load::{Connections, run_open_loop};
use crate::site::{ORGANISATION, Site, SiteOptions};

const USAGE: &str = "Compares failing fast, brief waits, unbounded queueing and parking when a burst exceeds the free slots";

const FOOTER: &str = "Steady interactive load runs throughout; the burst comes 1 s after its start. \
    A caller leaves at its deadline. Waiting is latency minus the work time. Wasted work was \
    started by an upstream, but its caller did not get the answer. Recovery is the time from the burst \
    to the last steady request that was not done or waited for more than 50 ms.";

/// Most connections to one entry host, which accepts 2,048.
const CONNECTIONS: usize = 1_900;
/// Time of steady load before the burst.
const STEADY_LEAD_TIME: Duration = Duration::from_secs(1);
/// Time within which a burst arrives.
const BURST_SPREAD_MS: u64 = 50;
/// Share of the slots that the steady load occupies on average.
const STEADY_SHARE: f64 = 0.4;
/// Slots of one stand-in.
const SLOTS_PER_STANDIN: f64 = 8.0;
/// Time after the last deadline in which upstreams finish work of callers that have left.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Arguments of `parking`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    bursts: Vec<u32>,
    work_times_ms: Vec<u64>,
    wait_policies: Vec<WaitPolicy>,
    deadline_ms: u64,
    batch_percent: u32,
    duration_ms: u64,
    seed: u64,
    entry_hosts: u8,
    upstreams: u8,
    folder: PathBuf,
    json: bool,
}

/// What happens to a request that finds no free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WaitPolicy {
    #[display("fail-fast")]
    FailFast,
    /// Fails after a wait of 50 ms, which counts as demand for slots.
    #[display("brief")]
    Brief,
    #[display("unbounded")]
    Unbounded,
    #[display("parking")]
    Parking,
}

impl WaitPolicy {
    const ALL: [Self; 4] = [Self::FailFast, Self::Brief, Self::Unbounded, Self::Parking];

    /// Returns YAML for the settings of the entry hosts and the limit of waiting batch requests.
    fn settings(self) -> (&'static str, u32) {
        match self {
            Self::FailFast => ("limits:\n  park_max: 0\n", 65_536),
            Self::Brief => ("timeouts:\n  park_budget_ms: 50\n", 256),
            Self::Unbounded => (
                "timeouts:\n  park_budget_ms: 10000\n  drain_timeout_ms: 20000\n\
                 limits:\n  park_max: 65536\n",
                65_536,
            ),
            Self::Parking => ("", 256),
        }
    }
}

impl std::str::FromStr for WaitPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let policy = Self::ALL.into_iter().find(|policy| policy.to_string() == text);
        policy.ok_or_else(|| format!("{text:?}: use fail-fast, brief, unbounded or parking"))
    }
}

fn many_or_default<T: Clone + 'static>(
    parser: impl Parser<T>,
    default: &'static [T],
) -> impl Parser<Vec<T>> {
    parser.many().map(|given| if given.is_empty() { default.to_vec() } else { given })
}

pub(crate) fn options() -> OptionParser<Args> {
    let burst = long("burst").help("Requests in the burst; repeat it [64 256 1024]");
    let bursts = many_or_default(burst.argument::<u32>("N"), &[64, 256, 1024]);
    let work = long("work-ms").help("Work time of each request; repeat it [20 100]");
    let work_times_ms = many_or_default(work.argument::<u64>("MS"), &[20, 100]);
    let wait_policy = long("way").help("fail-fast, brief, unbounded or parking; all if absent");
    let wait_policies =
        many_or_default(wait_policy.argument::<WaitPolicy>("WAY"), &WaitPolicy::ALL);
    let deadline_ms = long("deadline-ms").help("Time for which a caller waits");
    let deadline_ms = deadline_ms.argument::<u64>("MS").fallback(3_000);
    let batch_percent = long("batch-percent").help("Batch requests among those of the burst");
    let batch_percent = batch_percent.argument::<u32>("PERCENT").fallback(50);
    let duration_ms = long("duration-ms").help("Time of the steady load");
    let duration_ms = duration_ms.argument::<u64>("MS").fallback(6_000);
    let seed = long("seed").argument::<u64>("SEED").fallback(1);
    let entry_hosts = long("entry-hosts").argument::<u8>("N").fallback(2);
    let upstreams = long("upstreams").argument::<u8>("N").fallback(4);
    let folder = long("folder").argument::<PathBuf>("FOLDER").fallback(PathBuf::from("."));
    let json = long("json").help("Print one JSON object as the last line").switch();
    construct!(Args {
        bursts,
        work_times_ms,
        wait_policies,
        deadline_ms,
        batch_percent,
        duration_ms,
        seed,
        entry_hosts,
        upstreams,
        folder,
        json
    })
    .to_options()
    .descr(USAGE)
    .footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    let standins = Runtime::new()?;
    let load = Runtime::new()?;
    println!("{}", Row::HEAD);
    let mut rows = Vec::new();
    for wait_policy in &args.wait_policies {
        let (extra_entry_settings, batch_queue_max) = wait_policy.settings();
        let site = standins.block_on(Site::start(SiteOptions {
            extra_entry_settings: extra_entry_settings.to_owned(),
            batch_queue_max,
            ..SiteOptions::new(&args.folder, args.entry_hosts, args.upstreams)
        }))?;
        for work_ms in &args.work_times_ms {
            for burst in &args.bursts {
                let trial = Trial::new(args, &site, load.handle(), *work_ms);
                let row = trial.run(*wait_policy, *burst);
                row.print();
                rows.push(row);
            }
        }
    }
    if args.json {
        println!("{}", serde_json::json!({ "command": "parking", "rows": rows }));
    }
    Ok(())
}

/// Runs of bursts against one site, with one work time.
struct Trial<'a> {
    args: &'a Args,
    site: &'a Site,
    /// Runtime of the load generator.
    load: &'a Handle,
    work_ms: u64,
    /// Connections to the entry hosts.
    entries: Vec<Arc<Connections>>,
    samples: Arc<Mutex<Vec<Sample>>>,
}

impl<'a> Trial<'a> {
    fn new(args: &'a Args, site: &'a Site, load: &'a Handle, work_ms: u64) -> Self {
        let numbers = 0..args.entry_hosts;
        let connect = |n| Arc::new(Connections::new(site.caller_address(n), CONNECTIONS));
        let entries = numbers.map(connect).collect();
        Self { args, site, load, work_ms, entries, samples: Arc::default() }
    }

    fn run(&self, wait_policy: WaitPolicy, burst: u32) -> Row {
        let slots = f64::from(self.args.upstreams) * SLOTS_PER_STANDIN;
        let rate = slots * STEADY_SHARE * 1_000.0 / self.work_ms as f64;
        let started_before = self.started_requests();
        let burst_at = Instant::now() + STEADY_LEAD_TIME;
        let mut due = (0..).zip(self.burst_times(burst, burst_at)).peekable();
        let duration = Duration::from_millis(self.args.duration_ms);
        // The steady calls are frequent enough to trigger the burst requests on time.
        run_open_loop(rate, duration, self.args.seed, |number, intended| {
            while let Some((index, (at, class))) = due.next_if(|(_, (at, _))| *at <= intended) {
                self.send(index, at, class, true);
            }
            self.send(number, intended, Class::Interactive, false);
        });
        std::thread::sleep(Duration::from_millis(self.args.deadline_ms) + SETTLE_TIME);
        let samples = std::mem::take(&mut *self.samples.lock().expect("no panic while locked"));
        let started = self.started_requests() - started_before;
        Row::new(wait_policy, burst, self.work_ms, burst_at, &samples, started)
    }

    /// Returns when each request of the burst is due, and its class.
    fn burst_times(&self, burst: u32, burst_at: Instant) -> Vec<(Instant, Class)> {
        let mut rng = StdRng::seed_from_u64(self.args.seed);
        let mut times: Vec<(Instant, Class)> = (0..burst)
            .map(|_| {
                let at = burst_at + Duration::from_millis(rng.random_range(0..BURST_SPREAD_MS));
                let is_batch = rng.random_range(0..100) < self.args.batch_percent;
                (at, if is_batch { Class::Batch } else { Class::Interactive })
            })
            .collect();
        times.sort_by_key(|(at, _)| *at);
        times
    }

    /// Returns the number of requests that the stand-ins have started.
    fn started_requests(&self) -> u32 {
        self.site.standins().iter().map(cactuslatch::standin::RunningStandin::started).sum()
    }

    fn send(&self, number: u64, intended: Instant, class: Class, in_burst: bool) {
        let count = self.entries.len() as u64;
        let target = usize::try_from(number % count).expect("below the number of hosts");
        let connections = Arc::clone(&self.entries[target]);
        let request = self.request(&connections, class);
        let limit = Duration::from_millis(self.args.deadline_ms);
        let work = Duration::from_millis(self.work_ms);
        let samples = Arc::clone(&self.samples);
        self.load.spawn(async move {
            let remaining = limit.saturating_sub(intended.elapsed());
            let status = match timeout(remaining, connections.call(request)).await {
                Ok(Ok((status, _))) => status,
                Ok(Err(_)) | Err(_) => 0,
            };
            let waited = intended.elapsed().saturating_sub(work);
            let sample = Sample { intended, class, in_burst, status, waited };
            samples.lock().expect("no panic while locked").push(sample);
        });
    }

    fn request(&self, target: &Connections, class: Class) -> Request<Full<Bytes>> {
        let body = format!("{{\"work_ms\":{}}}", self.work_ms);
        Request::post("/v1/services/plan/requests")
            .header("host", target.address().to_string())
            .header("cactuslatch-organisation", ORGANISATION)
            .header("cactuslatch-idempotent", "true")
            .header("cactuslatch-class", class.to_string())
            .header("cactuslatch-timeout-ms", self.args.deadline_ms)
            .body(Full::new(Bytes::from(body)))
            .expect("names and numbers are valid headers")
    }
}
