//! HTTP calls with one overall timeout and failover between hosts.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use cactuslatch::StepError;
use serde_json::Value;
use ureq::config::Config;
use ureq::http::{Method, Request};
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{ConnectionDetails, Connector, TcpConnector, Transport};
use ureq::{Agent, Error};

/// Timeout of opening one connection, so that a dead host leaves time for the next one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer body that is read.
const ANSWER_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// Most characters of an answer that an error quotes.
const QUOTE_LIMIT_CHARS: usize = 300;

/// One call, which may go to several hosts in turn.
#[derive(Debug)]
pub(crate) struct Call {
    /// What the call does, as error messages name it.
    pub(crate) step: &'static str,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
    /// Whether the call may be sent to another host after one may have received it, because running
    /// it twice has the effect of running it once.
    pub(crate) may_repeat: bool,
    /// Whether the first host may use up the whole timeout, because the work itself takes long.
    pub(crate) undivided_timeout: bool,
    /// Header that marks a first submission; omitted once a host may have received the call.
    pub(crate) first_only_header: Option<&'static str>,
}

impl Call {
    /// Builds a call without headers or body; only a `GET` may be repeated.
    pub(crate) fn new(step: &'static str, method: Method, path: String) -> Self {
        let may_repeat = method == Method::GET;
        Self {
            step,
            method,
            path,
            headers: Vec::new(),
            body: Vec::new(),
            may_repeat,
            undivided_timeout: false,
            first_only_header: None,
        }
    }

    /// Adds a JSON body.
    pub(crate) fn json(mut self, value: &Value) -> Self {
        self.headers.push(("content-type", "application/json".to_owned()));
        self.body = value.to_string().into_bytes();
        self
    }

    /// Marks the call as safe to repeat.
    pub(crate) fn repeatable(mut self) -> Self {
        self.may_repeat = true;
        self
    }

    fn changes_state(&self) -> bool {
        self.method != Method::GET
    }

    /// Calls the hosts in turn until one answers.
    ///
    /// The next host is tried only if nothing was sent or the call may be repeated.
    pub(crate) fn run(&self, hosts: &[SocketAddr], timeout: Duration) -> Result<Answer, CallError> {
        let deadline = Instant::now() + timeout;
        let mut errors = Vec::new();
        let mut sent = false;
        for (hosts_left, host) in (1..=hosts.len()).rev().zip(hosts) {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let host_timeout = self.host_timeout(remaining, hosts_left);
            if host_timeout.is_zero() {
                let message = format!("not tried; the {} ms are used up", timeout.as_millis());
                errors.push(StepError::new(self.step, host, message));
                continue;
            }
            match self.attempt(*host, host_timeout, sent) {
                Ok(answer) => {
                    for error in &errors {
                        eprintln!("cactuslatch: {error}; {host} answered instead");
                    }
                    return Ok(answer);
                }
                Err(failure) => {
                    sent |= failure.sent;
                    errors.push(StepError::new(self.step, host, failure.message));
                }
            }
            if sent && !self.may_repeat {
                break;
            }
        }
        Err(CallError { errors, effect_possible: sent, changes_state: self.changes_state() })
    }

    /// Returns the timeout of the next host.
    ///
    /// If the call may be repeated and its timeout is divided, this is an equal share of the
    /// remaining time, so that a host that accepts the call and does not answer leaves time for the others.
    fn host_timeout(&self, remaining: Duration, hosts_left: usize) -> Duration {
        match u32::try_from(hosts_left) {
            Ok(hosts) if hosts > 1 && self.may_repeat && !self.undivided_timeout => {
                remaining / hosts
            }
            _ => remaining,
        }
    }

    fn attempt(
        &self,
        host: SocketAddr,
        timeout: Duration,
        sent_before: bool,
    ) -> Result<Answer, Failure> {
        let connected = Arc::new(AtomicBool::new(false));
        let agent = agent(timeout, Arc::clone(&connected));
        let answer = self.exchange(&agent, host, sent_before);
        answer.map_err(|error| {
            let sent = connected.load(Ordering::Relaxed);
            Failure { message: describe(&error, sent, timeout), sent }
        })
    }

    fn exchange(
        &self,
        agent: &Agent,
        host: SocketAddr,
        sent_before: bool,
    ) -> Result<Answer, Error> {
        let uri = format!("http://{host}{}", self.path);
        let mut request = Request::builder().method(self.method.clone()).uri(uri);
        for (name, value) in &self.headers {
            if !(sent_before && self.first_only_header == Some(name)) {
                request = request.header(*name, value);
            }
        }
        let mut response = if self.body.is_empty() && self.method != Method::POST {
            agent.run(request.body(())?)?
        } else {
            agent.run(request.body(self.body.as_slice())?)?
        };
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(ANSWER_LIMIT_BYTES).read_to_vec()?;
        let (step, changes_state) = (self.step, self.changes_state());
        Ok(Answer { step, changes_state, host, status, body })
    }
}

/// Records that a connection was opened; from then on bytes may have been sent.
#[derive(Debug)]
struct MarkConnected(Arc<AtomicBool>);

impl<In: Transport> Connector<In> for MarkConnected {
    type Out = In;

    fn connect(&self, _: &ConnectionDetails, chained: Option<In>) -> Result<Option<In>, Error> {
        self.0.store(chained.is_some(), Ordering::Relaxed);
        Ok(chained)
    }
}

fn agent(timeout: Duration, connected: Arc<AtomicBool>) -> Agent {
    let config = Config::builder()
        .timeout_global(Some(timeout))
        .timeout_connect(Some(CONNECT_TIMEOUT.min(timeout)))
        .http_status_as_error(false)
        .max_redirects(0)
        // Hosts are addressed by IP number; a proxy from the environment would hide which one answered.
        .proxy(None)
        .max_idle_connections(0)
        .build();
    let connector = TcpConnector::default().chain(MarkConnected(connected));
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Why one host gave no answer.
struct Failure {
    message: String,
    /// Whether the host may have received the call.
    sent: bool,
}

fn describe(error: &Error, sent: bool, timeout: Duration) -> String {
    match error {
        Error::Timeout(_) if sent => format!("no whole answer within {} ms", timeout.as_millis()),
        Error::Timeout(_) => {
            format!("no connection within {} ms", CONNECT_TIMEOUT.min(timeout).as_millis())
        }
        Error::Io(error) if !sent => match error.kind() {
            std::io::ErrorKind::ConnectionRefused => "the connection was refused".to_owned(),
            _ => format!("cannot connect: {error}"),
        },
        Error::Io(error) => format!("the connection broke before the whole answer: {error}"),
        error if sent => format!("the answer cannot be read: {error}"),
        error => error.to_string(),
    }
}

/// An answer of any status.
#[derive(Debug)]
pub(crate) struct Answer {
    step: &'static str,
    changes_state: bool,
    pub(crate) host: SocketAddr,
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    /// Returns whether the status is 2xx and, if the call changes state, the body reports no refusal.
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && !(self.changes_state && self.reports_refusal())
    }

    fn reports_refusal(&self) -> bool {
        let value = self.json().unwrap_or_default();
        let not_accepted = value.get("accepted").and_then(Value::as_bool) == Some(false);
        not_accepted || value.get("refused").and_then(Value::as_bool) == Some(true)
    }

    /// Returns the body if it is JSON.
    pub(crate) fn json(&self) -> Option<Value> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns the reason or error that the JSON body states, or else the beginning of the body.
    pub(crate) fn reason(&self) -> String {
        let value = self.json();
        let value = value.as_ref();
        let stated =
            ["reason", "error", "refused"].iter().find_map(|name| value?.get(name)?.as_str());
        let body = String::from_utf8_lossy(&self.body);
        let text = stated.map_or_else(|| body.trim().to_owned(), str::to_owned);
        let text: String = text.chars().take(QUOTE_LIMIT_CHARS).collect();
        if text.is_empty() { "no reason given".to_owned() } else { text }
    }

    /// Returns the error for an answer that is not a success.
    pub(crate) fn refusal(&self) -> CallError {
        // With these statuses, a relaying host does not know whether the change was made.
        let effect_possible = matches!(self.status, 500 | 502 | 504);
        self.error(format!("status {}: {}", self.status, self.reason()), effect_possible)
    }

    /// Returns the error for a success whose body is not JSON.
    pub(crate) fn not_json(&self) -> CallError {
        self.error(format!("status {}, but the answer is not JSON", self.status), true)
    }

    fn error(&self, message: String, effect_possible: bool) -> CallError {
        let errors = vec![StepError::new(self.step, self.host, message)];
        CallError { errors, effect_possible, changes_state: self.changes_state }
    }
}

/// A call that got no usable answer, with one error for each host tried.
#[derive(Debug)]
pub(crate) struct CallError {
    errors: Vec<StepError>,
    /// Whether a host may have received the call and carried it out.
    effect_possible: bool,
    changes_state: bool,
}

impl CallError {
    /// Returns whether the call was a change that may have taken effect.
    pub(crate) fn effect_unknown(&self) -> bool {
        self.effect_possible && self.changes_state
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            let separator = if index > 0 { "; " } else { "" };
            write!(f, "{separator}{error}")?;
        }
        if self.effect_unknown() {
            f.write_str("; it is not known whether this took effect")?;
        }
        Ok(())
    }
}

impl std::error::Error for CallError {}
