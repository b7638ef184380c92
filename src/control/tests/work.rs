//! A work directory with a control process that tests can stop and start again.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tempfile::TempDir;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tonic::transport::Channel;

use crate::config::ServiceDocument;
use crate::config::{ControlSettings, TeamCredential};
use crate::control::Bound;
use crate::control::clock::{Clock, DAY_MS};
use crate::control::fence::{Fence, FenceAnswer};
use crate::rpc;
use crate::rpc::begin_reply::Verdict;
use crate::rpc::control_client::ControlClient;
use crate::{Outcome, StepError};

pub(crate) const SHARE_LEASE_MS: u64 = 300;
pub(crate) const UPSTREAM_LEASE_MS: u64 = 300;

/// What the faked upstream says about every attempt; `None` for no answer.
pub(crate) type Said = Arc<Mutex<Option<FenceAnswer>>>;

pub(crate) struct Work {
    pub(crate) folder: TempDir,
    pub(crate) said: Said,
    pub(crate) writer: Option<SocketAddr>,
}

/// A running control process and a client of it.
pub(crate) struct Running {
    pub(crate) admin: SocketAddr,
    pub(crate) client: ControlClient<Channel>,
    stop: watch::Sender<bool>,
    task: JoinHandle<Result<(), StepError>>,
}

impl Work {
    pub(crate) fn new() -> Self {
        let folder = tempfile::tempdir().expect("a work directory");
        Self { folder, said: Said::default(), writer: None }
    }

    pub(crate) fn say(&self, answer: Option<FenceAnswer>) {
        *self.said.lock().expect("the lock") = answer;
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
            upstream_lease_ms: UPSTREAM_LEASE_MS,
            share_lease_ms: SHARE_LEASE_MS,
            credentials: vec![TeamCredential {
                service: "plan".parse().expect("a name"),
                secret: "plan-secret".into(),
            }],
        }
    }

    pub(crate) async fn start(&self) -> Running {
        let said = Arc::clone(&self.said);
        let fence: Fence = Arc::new(move |_| {
            let answer = said.lock().expect("the lock").clone();
            let missing = || StepError::new("fence an attempt", "upstream", "no answer");
            Box::pin(async move { answer.ok_or_else(missing) })
        });
        let bound = Bound::bind(self.settings(), Arc::new(read_document), fence).await;
        let bound = bound.expect("the control process starts");
        let address = bound.rpc.local_addr().expect("an address");
        let admin = bound.admin.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(bound.serve(stopped));
        let client = ControlClient::connect(format!("http://{address}")).await.expect("a client");
        Running { admin, client, stop, task }
    }
}

impl Running {
    pub(crate) async fn stop(self) {
        drop(self.client);
        self.stop.send_replace(true);
        self.task.await.expect("the task ends").expect("the process ends without an error");
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
    pub(crate) async fn reaches(&mut self, id: &str, state: &str) {
        for _ in 0..200 {
            if self.state(id).await == state {
                return;
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        panic!("{id} did not reach state {state}; it is {}", self.state(id).await);
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

/// An identifier with today's date, by the usual conversion of days to a civil date.
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

/// Reads a document in its JSON form; the reader of the YAML form has its own tests.
fn read_document(body: &str) -> Result<ServiceDocument, String> {
    serde_json::from_str(body).map_err(|fault| fault.to_string())
}
