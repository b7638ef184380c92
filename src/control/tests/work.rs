//! A data folder with a control process that tests can stop and start again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tonic::transport::Channel;

use crate::config::ServiceDocument;
use crate::config::{ControlSettings, TeamCredential};
use crate::control::BoundControl;
use crate::control::clock::{Clock, DAY_MS};
use crate::control::core::Core;
use crate::control::fence::{FenceAnswer, FenceFn};
use crate::rpc;
use crate::rpc::begin_reply::Verdict;
use crate::rpc::control_client::ControlClient;
use crate::{Outcome, StepError};

/// Answer of the fake upstream to every query; `None` for no answer.
type FakeAnswer = Arc<Mutex<Option<FenceAnswer>>>;

/// A data folder and the settings of its control process.
pub(crate) struct ControlFolder {
    pub(super) folder: TempDir,
    pub(super) answer: FakeAnswer,
    pub(super) query_count: Arc<AtomicU32>,
    /// Lease of shares and upstreams.
    pub(crate) lease_ms: u64,
    pub(crate) writer: Option<SocketAddr>,
}

/// A running control process and a client of it.
pub(crate) struct RunningControl {
    pub(crate) address: SocketAddr,
    admin: SocketAddr,
    pub(crate) client: ControlClient<Channel>,
    stop: watch::Sender<bool>,
    task: JoinHandle<Result<(), StepError>>,
}

impl ControlFolder {
    pub(crate) fn new() -> Self {
        let folder = tempfile::tempdir().expect("a work directory");
        let (answer, query_count) = (FakeAnswer::default(), Arc::default());
        Self { folder, answer, query_count, lease_ms: 300, writer: None }
    }

    /// Returns the number of queries to the fake upstream.
    pub(crate) fn query_count(&self) -> u32 {
        self.query_count.load(Ordering::SeqCst)
    }

    pub(crate) fn set_answer(&self, answer: Option<FenceAnswer>) {
        *self.answer.lock().expect("the lock") = answer;
    }

    pub(crate) fn settings(&self) -> ControlSettings {
        let local = "127.0.0.1:0".parse().expect("an address");
        ControlSettings {
            host: "control-1".parse().expect("a name"),
            data_centre: "sofia".parse().expect("a name"),
            rpc_address: local,
            admin_address: local,
            data_folder: self.folder.path().join("data"),
            entry_hosts: ["entry-1", "entry-2"].map(|n| n.parse().expect("a name")).to_vec(),
            document_writer: self.writer,
            upstream_lease_ms: self.lease_ms,
            share_lease_ms: self.lease_ms,
            credentials: vec![TeamCredential {
                service: "plan".parse().expect("a name"),
                secret: "plan-secret".into(),
            }],
        }
    }

    /// Returns a function that queries the fake upstream.
    pub(crate) fn fence(&self) -> FenceFn {
        let (answer, query_count) = (Arc::clone(&self.answer), Arc::clone(&self.query_count));
        Arc::new(move |_| {
            query_count.fetch_add(1, Ordering::SeqCst);
            let answer = answer.lock().expect("the lock").clone();
            let missing = || StepError::new("fence an attempt", "upstream", "no answer");
            Box::pin(async move { answer.ok_or_else(missing) })
        })
    }

    pub(crate) fn core(&self) -> Core {
        let core = Core::open(self.settings(), Arc::new(read_document), self.fence());
        core.expect("the data folder opens")
    }

    pub(crate) async fn start(&self) -> RunningControl {
        RunningControl::start(self.core()).await
    }
}

impl RunningControl {
    pub(crate) async fn start(core: Core) -> Self {
        let bound = BoundControl::listen(core).await.expect("the addresses are free");
        let address = bound.rpc.local_addr().expect("an address");
        let admin = bound.admin.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(bound.serve(stopped));
        let client = ControlClient::connect(format!("http://{address}")).await.expect("a client");
        Self { address, admin, client, stop, task }
    }

    pub(crate) async fn stop(self) {
        drop(self.client);
        self.stop.send_replace(true);
        self.task.await.expect("the task ends").expect("the process ends without an error");
    }

    /// Returns the raw answer of the admin port.
    pub(crate) async fn admin(&self, path: &str) -> String {
        let mut stream = TcpStream::connect(self.admin).await.expect("a connection");
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("the request is sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        answer
    }

    pub(crate) async fn begin(&mut self, id: &str) -> Verdict {
        let reply = self.client.begin(begin(id)).await.expect("an answer to Begin").into_inner();
        reply.verdict.expect("a verdict")
    }

    pub(crate) async fn finish(&mut self, id: &str, attempt: u32, outcome: Outcome) {
        let request = rpc::FinishRequest {
            data_centre: "sofia".into(),
            id: id.into(),
            attempt,
            outcome: Some(outcome.into()),
            epoch: 1,
        };
        self.client.finish(request).await.expect("an answer to Finish");
    }

    pub(crate) async fn state(&mut self, id: &str) -> String {
        let request = rpc::LookupRequest { data_centre: "sofia".into(), id: id.into() };
        self.client.lookup(request).await.expect("an answer to Lookup").into_inner().state
    }

    /// Waits until a record reaches a state.
    pub(crate) async fn wait_for_state(&mut self, id: &str, state: &str) {
        for _ in 0..200 {
            if self.state(id).await == state {
                return;
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        panic!("{id} did not reach state {state}; it is {}", self.state(id).await);
    }
}

/// A clock that only the test advances, also while the thread of the journal works.
pub(crate) struct ManualClock(Option<std::sync::mpsc::Sender<()>>);

impl ManualClock {
    pub(crate) fn new() -> Self {
        tokio::time::pause();
        let (sender, receiver) = std::sync::mpsc::channel::<()>();
        // Tokio advances a paused clock on its own only when no blocking task runs.
        tokio::task::spawn_blocking(move || _ = receiver.recv());
        Self(Some(sender))
    }

    /// Stops a control process, whose servers wait a short time for final requests.
    pub(crate) async fn stop(&self, control: RunningControl) {
        let stopping = tokio::spawn(control.stop());
        while !stopping.is_finished() {
            self.advance(50).await;
        }
        stopping.await.expect("no panic");
    }

    /// Advances in small steps, and lets messages arrive after each.
    pub(crate) async fn advance(&self, millis: u64) {
        assert!(self.0.is_some());
        for step in 0..millis.div_ceil(50) {
            let left = millis - step * 50;
            tokio::time::advance(Duration::from_millis(left.min(50))).await;
            let pause = || std::thread::sleep(Duration::from_millis(1));
            tokio::task::spawn_blocking(pause).await.expect("the pause ends");
        }
    }
}

pub(crate) fn document(service: &str, batch_queue_max: u32) -> String {
    format!(
        r#"{{"service":"{service}","organisations":[],"batch_queue_max":{batch_queue_max},
"completion_weight":2.0,"fragmentation_weight":1.0}}"#
    )
}

pub(crate) fn put(base_version: u64, operation: &str, body: String) -> rpc::PutDocumentRequest {
    rpc::PutDocumentRequest {
        service: "plan".into(),
        base_version,
        operation: operation.into(),
        credential: "plan-secret".into(),
        body_yaml: body,
    }
}

pub(crate) fn begin(id: &str) -> rpc::BeginRequest {
    rpc::BeginRequest {
        submission: String::new(),
        identity: Some(rpc::RequestIdentity {
            data_centre: "sofia".into(),
            id: id.into(),
            organisation: "north-shop".into(),
            service: "plan".into(),
            body_digest: vec![1, 2, 255].into(),
        }),
        host: "entry-1".into(),
        upstream: "worker-1".into(),
        upstream_address: "127.0.0.1:9".into(),
        incarnation: 1,
        replaces_attempt: 0,
    }
}

/// Returns a request identifier with today's date, by the usual conversion of days to a civil date.
pub(crate) fn today(rest: &str) -> String {
    let days = Clock::start().now_ms() / DAY_MS + 719_468;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + days / 146_097 * 400 + u64::from(month <= 2);
    format!("{year:04}{month:02}{day:02}-{rest}")
}

/// Parses a document in JSON; the parser of the YAML form has its own tests.
pub(crate) fn read_document(body: &str) -> Result<ServiceDocument, String> {
    serde_json::from_str(body).map_err(|fault| fault.to_string())
}
