//! `cactuslatch cluster`: shows the members of the replicated control, or where a job is.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bpaf::{OptionParser, Parser, construct, long};
use cactuslatch::cluster::{ClusterStatus, LeaderClient, Reply, Request};
use cactuslatch::tasks::JobId;
use eyre::{bail, eyre};

use super::util::Exit;

const USAGE: &str = "Shows the members of the replicated control and how far each is, or a job.";

const FOOTER: &str = "Exit codes: 0 printed, 1 failed or no leader in reach.";

/// Timeout of finding the leader and receiving its reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Arguments of `cluster`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    control: Vec<SocketAddr>,
    job: Option<JobId>,
}

pub(crate) fn options() -> OptionParser<Args> {
    let control = long("control")
        .env("CACTUSLATCH_CONTROL")
        .help("Listener of a control host for other hosts; several times for several hosts")
        .argument("ADDRESS")
        .some("at least one control host is needed");
    let job = long("job")
        .help("Shows the units of this job instead of the members")
        .argument("JOB")
        .optional();
    construct!(Args { control, job }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let request = args.job.clone().map_or(Request::Status, |job| Request::Explain { job });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let client = LeaderClient::new(args.control.clone());
    let asked_at = Instant::now();
    let reply = runtime
        .block_on(client.call(&request, CALL_TIMEOUT))
        .map_err(|fault| eyre!("ask the leader of control: {fault}"))?;
    match reply {
        Reply::Status(status) => print!("{}", table(&status, asked_at.elapsed())),
        Reply::Explanation(lines) => println!("{}", lines.join("\n")),
        other => bail!("control sent an unexpected reply: {other:?}"),
    }
    Ok(Exit::Done)
}

/// Formats the members; `age` is an upper bound of the age of the figures.
fn table(status: &ClusterStatus, age: Duration) -> String {
    let mut out = String::new();
    let age_ms = age.as_millis();
    _ = writeln!(
        out,
        "leader {} in term {}, committed {}, configuration {}, at most {age_ms} ms old",
        status.leader, status.term, status.committed, status.configuration_version
    );
    for member in &status.members {
        let role = if member.voter { "voter" } else { "learner" };
        let behind = status.committed.saturating_sub(member.matched);
        _ = writeln!(
            out,
            "{:<22} {role:<8} {behind} entries behind, heard {} ms ago",
            member.address, member.silent_ms
        );
    }
    for evacuation in &status.evacuations {
        _ = writeln!(
            out,
            "evacuated: {} for {} ms, {} upstreams, {} tasks running",
            evacuation.data_centre,
            evacuation.since_ms,
            evacuation.upstreams,
            evacuation.running_tasks
        );
    }
    out
}
