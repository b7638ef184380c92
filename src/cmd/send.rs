//! `cactuslatch send`: sends one request to a service and prints its outcome.

use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};
use cactuslatch::{OrganisationName, RequestKey, ServiceName};
use eyre::bail;
use serde_json::{Value, json};
use ureq::http::Method;

use super::http::{Answer, Call};
use super::util::{self, Exit, RemoteOptions};

const USAGE: &str = "Sends one request to a service and prints its outcome.";

const FOOTER: &str = "The body comes from --body or from standard input. A request that is not \
    idempotent needs --key DATA_CENTRE/YYYYMMDD-ID with today's date (UTC). After an unknown \
    outcome, resend with the same key: the request runs at most once. Exit codes: 0 done, 1 not \
    run, 2 unknown.";

/// Time beyond the request's deadline in which the host's answer about a missed deadline can arrive.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

const FIRST_SUBMISSION: &str = "cactuslatch-first-submission";

/// Arguments of `send`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    organisation: OrganisationName,
    class: String,
    idempotent: bool,
    key: Option<RequestKey>,
    first_submission: bool,
    body: Option<String>,
    remote: RemoteOptions,
    service: ServiceName,
}

pub(crate) fn options() -> OptionParser<Args> {
    let organisation = long("organisation")
        .help("Organisation on whose behalf the request is sent")
        .argument::<OrganisationName>("NAME");
    let class = long("class")
        .help("interactive (the default) or batch")
        .argument::<String>("CLASS")
        .guard(|class| class == "interactive" || class == "batch", "use interactive or batch")
        .fallback("interactive".to_owned());
    let idempotent = long("idempotent")
        .help("Running the request twice does no harm, so it may be retried")
        .switch();
    let key = long("key")
        .help("Identity of the request; a resend carries the same one")
        .argument::<RequestKey>("KEY")
        .optional();
    let first_submission = long("first-submission")
        .help("No request with this key was sent before, so a refusal is certain")
        .switch();
    let body = long("body").help("Body; standard input if absent").argument("TEXT").optional();
    let remote = util::remote_options();
    let service = positional::<ServiceName>("SERVICE").help("Service that runs the request");
    construct!(Args {
        organisation,
        class,
        idempotent,
        key,
        first_submission,
        body,
        remote,
        service
    })
    .to_options()
    .descr(USAGE)
    .footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    check_key(args)?;
    let entry_hosts = args.remote.entry_hosts()?;
    let body = match &args.body {
        Some(text) => text.clone().into_bytes(),
        None => util::read_input("-")?,
    };
    let call = build_call(args, body);
    let timeout = args.remote.timeout() + ANSWER_MARGIN;
    let report = match call.run(&entry_hosts, timeout) {
        Ok(answer) => answer_report(&answer, args.key.as_ref()),
        Err(error) => no_answer_report(args, error.effect_unknown(), &error.to_string()),
    };
    // The request may have run even if its outcome cannot be printed, so the exit code is 2.
    if let Err(error) = util::print(&report.text(args.remote.json)) {
        eprintln!("cactuslatch: {error}");
        return Ok(Exit::Unknown);
    }
    Ok(report.exit)
}

fn check_key(args: &Args) -> eyre::Result<()> {
    let Some(key) = &args.key else {
        if args.idempotent {
            return Ok(());
        }
        bail!("not run: a request that is not idempotent needs --key DATA_CENTRE/YYYYMMDD-ID");
    };
    let dated = key.id().split_once('-').is_some_and(|(date, id)| {
        date.len() == 8 && date.bytes().all(|digit| digit.is_ascii_digit()) && !id.is_empty()
    });
    if !args.idempotent && !dated {
        bail!("not run: key {key} has no date of issue; use DATA_CENTRE/YYYYMMDD-ID");
    }
    Ok(())
}

fn build_call(args: &Args, body: Vec<u8>) -> Call {
    let path = format!("/v1/services/{}/requests", args.service);
    // Safe to repeat: the request is idempotent, or the owner of its key runs it at most once.
    let mut call = Call::new("send the request", Method::POST, path).repeatable();
    call.undivided_timeout = true;
    call.first_only_header = Some(FIRST_SUBMISSION);
    call.headers = vec![
        ("cactuslatch-organisation", args.organisation.to_string()),
        ("cactuslatch-class", args.class.clone()),
        ("cactuslatch-idempotent", args.idempotent.to_string()),
    ];
    if args.first_submission {
        call.headers.push((FIRST_SUBMISSION, "true".to_owned()));
    }
    if let Some(key) = &args.key {
        call.headers.push(("idempotency-key", key.to_string()));
    }
    if let Some(ms) = args.remote.timeout_ms {
        call.headers.push(("cactuslatch-timeout-ms", ms.to_string()));
    }
    call.body = body;
    call
}

/// Outcome that is printed to the caller.
struct Report {
    exit: Exit,
    json: Value,
}

impl Report {
    /// Builds a report for which no host gave a usable outcome.
    fn without_outcome(exit: Exit, key: Option<&RequestKey>, reason: &str) -> Self {
        let outcome = if exit == Exit::NotRun { "not_run" } else { "unknown" };
        let key = key.map(ToString::to_string);
        Self { exit, json: json!({ "outcome": outcome, "key": key, "reason": reason }) }
    }

    fn text(&self, json: bool) -> String {
        if json {
            return self.json.to_string();
        }
        let key = util::field(&self.json, "key");
        match self.exit {
            Exit::Done => {
                let attempt = util::field(&self.json, "attempt");
                let answer = util::field(&self.json, "answer");
                format!("done: {key}, attempt {attempt}\n{answer}")
            }
            Exit::NotRun => format!("not run: {key}: {}", util::field(&self.json, "reason")),
            Exit::Unknown => format!("unknown: {key}: {}", util::field(&self.json, "reason")),
        }
    }
}

fn answer_report(answer: &Answer, key: Option<&RequestKey>) -> Report {
    let json = answer.json().unwrap_or_default();
    let unusable = |what: &str| {
        let (host, status) = (answer.host, answer.status);
        let answered = answer.reason();
        let reason = format!("send the request ({host}): status {status} {what}: {answered}");
        Report::without_outcome(Exit::Unknown, key, &reason)
    };
    let answered_key = json.get("key").and_then(Value::as_str);
    if let (Some(key), Some(answered_key)) = (key, answered_key)
        && answered_key != key.to_string()
    {
        return unusable("with the answer to another key");
    }
    let exit = match json.get("outcome").and_then(Value::as_str) {
        Some("done") if answer.status == 200 => Exit::Done,
        Some("not_run") if answer.status >= 400 => Exit::NotRun,
        Some("unknown") => Exit::Unknown,
        _ => return unusable("without an outcome that fits it"),
    };
    Report { exit, json }
}

/// Returns the report if no host answered; "not run" is certain only if nothing was sent, now or
/// before.
fn no_answer_report(args: &Args, sent: bool, reason: &str) -> Report {
    let certain = !sent && (args.idempotent || args.first_submission);
    if certain {
        return Report::without_outcome(Exit::NotRun, args.key.as_ref(), reason);
    }
    let sent_now = if sent { "" } else { "nothing was sent now; " };
    let advice = if args.key.is_some() { "resend with the same key" } else { "it may be resent" };
    let reason = format!("{reason}; {sent_now}{advice}");
    Report::without_outcome(Exit::Unknown, args.key.as_ref(), &reason)
}
