//! `cactuslatch steps`: jobs of steps on the replicated control.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};
use cactuslatch::StepError;
use cactuslatch::task_api::{read_configuration, read_job};
use cactuslatch::tasks::JobId;
use ureq::http::Method;

use super::http::Call;
use super::util::{self, Exit};

const USAGE: &str = "Submits, shows and cancels jobs of steps, and configures their queues.";

const FOOTER: &str = "Every one of these calls may be repeated. Exit codes: 0 done, 1 refused or \
    failed, 2 unknown whether it took effect; then repeat it.";

/// Timeout of a command without `--timeout-ms`.
const DEFAULT_TIMEOUT_MS: u64 = 5_000;

/// Arguments of `steps`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    hosts: Hosts,
    action: Action,
}

/// Control hosts to call, and options of the call.
#[derive(Debug, Clone)]
pub(super) struct Hosts {
    pub(super) addresses: Vec<SocketAddr>,
    timeout_ms: u64,
    pub(super) json: bool,
}

impl Hosts {
    /// Returns the timeout of the whole command.
    pub(super) fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

#[derive(Debug, Clone)]
enum Action {
    Configure { file: String },
    Submit { job: JobTarget, file: String },
    Status { job: JobTarget },
    Cancel { job: JobTarget },
}

/// Queue and identity of a job, and the key of its organisation.
#[derive(Debug, Clone)]
struct JobTarget {
    queue: String,
    key: Option<String>,
    job: JobId,
}

impl JobTarget {
    fn call(&self, step: &'static str, method: Method) -> Call {
        let path = format!("/v1/queues/{}/jobs/{}", self.queue, self.job);
        let mut call = Call::new(step, method, path).repeatable();
        if let Some(key) = &self.key {
            call.headers.push(("authorization", format!("Bearer {key}")));
        }
        call
    }
}

pub(crate) fn options() -> OptionParser<Args> {
    construct!([configure(), submit(), status(), cancel()]).to_options().descr(USAGE).footer(FOOTER)
}

fn configure() -> impl Parser<Args> {
    let hosts = hosts();
    let file = positional::<String>("FILE").help("Configuration in YAML; - reads standard input");
    let action = construct!(Action::Configure { file });
    action_command("configure", "Puts a configuration in force if its version is the highest.", {
        construct!(Args { hosts, action })
    })
}

fn submit() -> impl Parser<Args> {
    let (hosts, job) = (hosts(), job_target());
    let file = positional::<String>("FILE").help("Job in YAML or JSON; - reads standard input");
    let action = construct!(Action::Submit { job, file });
    action_command("submit", "Submits a job; the same identity again stays one job.", {
        construct!(Args { hosts, action })
    })
}

fn status() -> impl Parser<Args> {
    let (hosts, job) = (hosts(), job_target());
    let action = construct!(Action::Status { job });
    action_command("status", "Shows the state of a job.", construct!(Args { hosts, action }))
}

fn cancel() -> impl Parser<Args> {
    let (hosts, job) = (hosts(), job_target());
    let action = construct!(Action::Cancel { job });
    action_command("cancel", "Cancels a job, waiting or running.", {
        construct!(Args { hosts, action })
    })
}

fn action_command(
    name: &'static str,
    usage: &'static str,
    args: impl Parser<Args> + 'static,
) -> impl Parser<Args> {
    args.to_options().descr(usage).footer(FOOTER).command(name)
}

/// Parses the options of [`Hosts`].
pub(super) fn hosts() -> impl Parser<Hosts> {
    let addresses = long("host")
        .env("CACTUSLATCH_TASK_HOST")
        .help("Address of a control host for callers; several times to name hosts to fail over to")
        .argument::<SocketAddr>("ADDRESS")
        .some("at least one control host is needed");
    let timeout_ms = util::timeout_ms().fallback(DEFAULT_TIMEOUT_MS);
    let json = util::json();
    construct!(Hosts { addresses, timeout_ms, json })
}

fn job_target() -> impl Parser<JobTarget> {
    let queue = long("queue").help("Queue of the job").argument::<String>("QUEUE");
    let key = long("key")
        .env("CACTUSLATCH_KEY")
        .help("Key of the organisation; a public queue needs none")
        .argument::<String>("KEY")
        .optional();
    let job = positional::<JobId>("JOB").help("Identity of the job: 16 hexadecimal digits");
    construct!(JobTarget { queue, key, job })
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let call = match &args.action {
        Action::Configure { file } => {
            let text = read_text(file)?;
            read_configuration(&text)
                .map_err(|fault| StepError::new("read the configuration", file, fault))?;
            let path = "/v1/configuration".to_owned();
            with_body(Call::new("set the configuration", Method::PUT, path).repeatable(), text)
        }
        Action::Submit { job, file } => {
            let text = read_text(file)?;
            read_job(&text).map_err(|fault| StepError::new("read the job", file, fault))?;
            with_body(job.call("submit the job", Method::POST), text)
        }
        Action::Status { job } => job.call("ask for the job", Method::GET),
        Action::Cancel { job } => job.call("cancel the job", Method::DELETE),
    };
    let answer = call.run(&args.hosts.addresses, args.hosts.timeout())?;
    util::print_answer(&answer, args.hosts.json, util::render_lines)
}

fn read_text(file: &str) -> eyre::Result<String> {
    let bytes = util::read_input(file)?;
    Ok(String::from_utf8(bytes).map_err(|fault| StepError::new("read the file", file, fault))?)
}

fn with_body(mut call: Call, text: String) -> Call {
    call.body = text.into_bytes();
    call
}
