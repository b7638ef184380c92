//! HTTP calls with one overall time limit and failover between entry hosts.

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

/// Time for opening one connection, so that a dead host leaves time for the next one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer that is read.
const ANSWER_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// Most characters of an answer that is quoted in an error.
const QUOTE_LIMIT_CHARS: usize = 300;

/// One call, which may go to several hosts in turn.
#[derive(Debug)]
pub(crate) struct Call {
    /// What the call is for, as named in errors.
    pub(crate) step: &'static str,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
    /// Whether running it twice has the effect of running it once.
    pub(crate) may_repeat: bool,
    /// Whether one host may use all the time, because the work itself takes long.
    pub(crate) whole_time: bool,
    /// Header that is true only for the first host that may have received the call.
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
            whole_time: false,
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
            let left = deadline.saturating_duration_since(Instant::now());
            let left = self.share(left, hosts_left);
            if left.is_zero() {
                let sentence = format!("not tried; the {} ms are used up", timeout.as_millis());
                errors.push(StepError::new(self.step, host, sentence));
                continue;
            }
            match self.attempt(*host, left, sent) {
                Ok(answer) => {
                    for error in &errors {
                        eprintln!("cactuslatch: {error}; {host} answered instead");
                    }
                    return Ok(answer);
                }
                Err(failure) => {
                    sent |= failure.sent;
                    errors.push(StepError::new(self.step, host, failure.sentence));
                }
            }
            if sent && !self.may_repeat {
                break;
            }
        }
        Err(CallError { errors, sent, changes_state: self.changes_state() })
    }

    /// Leaves time for the hosts behind one that accepts the call and stays silent.
    fn share(&self, left: Duration, hosts_left: usize) -> Duration {
        match u32::try_from(hosts_left) {
            Ok(hosts) if hosts > 1 && self.may_repeat && !self.whole_time => left / hosts,
            _ => left,
        }
    }

    fn attempt(&self, host: SocketAddr, left: Duration, sent: bool) -> Result<Answer, Failure> {
        let connected = Arc::new(AtomicBool::new(false));
        let agent = agent(left, Arc::clone(&connected));
        let answer = self.exchange(&agent, host, sent);
        answer.map_err(|error| {
            let sent = connected.load(Ordering::Relaxed);
            Failure { sentence: plain(&error, sent, left), sent }
        })
    }

    fn exchange(&self, agent: &Agent, host: SocketAddr, sent: bool) -> Result<Answer, Error> {
        let uri = format!("http://{host}{}", self.path);
        let mut request = Request::builder().method(self.method.clone()).uri(uri);
        for (name, value) in &self.headers {
            if !(sent && self.first_only_header == Some(name)) {
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

fn agent(left: Duration, connected: Arc<AtomicBool>) -> Agent {
    let config = Config::builder()
        .timeout_global(Some(left))
        .timeout_connect(Some(CONNECT_TIMEOUT.min(left)))
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
    sentence: String,
    sent: bool,
}

fn plain(error: &Error, sent: bool, left: Duration) -> String {
    match error {
        Error::Timeout(_) if sent => format!("no whole answer within {} ms", left.as_millis()),
        Error::Timeout(_) => {
            format!("no connection within {} ms", CONNECT_TIMEOUT.min(left).as_millis())
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
    /// Returns whether the status is 2xx and a change was not refused in the body.
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && !(self.changes_state && self.tells_refusal())
    }

    fn tells_refusal(&self) -> bool {
        let value = self.json().unwrap_or_default();
        let not_accepted = value.get("accepted").and_then(Value::as_bool) == Some(false);
        not_accepted || value.get("refused").and_then(Value::as_bool) == Some(true)
    }

    /// Returns the body as JSON, if it is.
    pub(crate) fn json(&self) -> Option<Value> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns the sentence about what is wrong that the body carries, or the body's beginning.
    pub(crate) fn sentence(&self) -> String {
        let value = self.json();
        let value = value.as_ref();
        let told =
            ["reason", "error", "refused"].iter().find_map(|name| value?.get(name)?.as_str());
        let whole = String::from_utf8_lossy(&self.body);
        let text = told.map_or_else(|| whole.trim().to_owned(), str::to_owned);
        let text: String = text.chars().take(QUOTE_LIMIT_CHARS).collect();
        if text.is_empty() { "no reason given".to_owned() } else { text }
    }

    /// Makes an error of an answer that is no success.
    pub(crate) fn refusal(&self) -> CallError {
        // With these, a host in between cannot tell whether the change was made.
        let sent = matches!(self.status, 500 | 502 | 504);
        self.error(format!("status {}: {}", self.status, self.sentence()), sent)
    }

    /// Makes an error of a success whose body is not the JSON that was expected.
    pub(crate) fn not_json(&self) -> CallError {
        self.error(format!("status {}, but the answer is not JSON", self.status), true)
    }

    fn error(&self, sentence: String, sent: bool) -> CallError {
        let errors = vec![StepError::new(self.step, self.host, sentence)];
        CallError { errors, sent, changes_state: self.changes_state }
    }
}

/// A call that got no usable answer, with one error for each host tried.
#[derive(Debug)]
pub(crate) struct CallError {
    errors: Vec<StepError>,
    sent: bool,
    changes_state: bool,
}

impl CallError {
    /// Returns whether the call may have changed something.
    pub(crate) fn effect_unknown(&self) -> bool {
        self.sent && self.changes_state
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
