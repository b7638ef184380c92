//! Requests that are sent again after an attempt without a reply: what is said of the last attempt must be
//! true of all.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Response, Status};

use super::closed_address;
use super::control_host::TestControl;
use super::fake_worker::FakeUpstreams;
use super::promises::{LEASE_MS, call, submit};
use crate::cluster::{
    Action, ClientFault, FrontCall, FrontReply, LeaderClient, OperatorReply, Reply, Request, codec,
};
use crate::rpc;
use crate::rpc::cluster_server::{Cluster, ClusterServer};
use crate::tasks::JobSpec;
use crate::tasks::tests::sample::{configuration, spec, step};

const LIMIT: Duration = Duration::from_secs(5);

/// How a scripted host treats the calls that it receives, by their number.
type Script = Arc<dyn Fn(usize) -> Option<Reply> + Send + Sync>;

/// Calls that the scripted hosts of a test have received, in order.
type Received = Arc<Mutex<Vec<Request>>>;

struct ScriptedHost {
    script: Script,
    received: Received,
}

#[tonic::async_trait]
impl Cluster for ScriptedHost {
    async fn step(&self, _: tonic::Request<rpc::Frame>) -> Result<Response<rpc::Frame>, Status> {
        Ok(Response::new(rpc::Frame::default()))
    }

    async fn call(
        &self,
        request: tonic::Request<rpc::Frame>,
    ) -> Result<Response<rpc::Frame>, Status> {
        let request = codec::decode_message(&request.get_ref().payload).expect("a request");
        let number = {
            let mut received = self.received.lock().unwrap();
            received.push(request);
            received.len() - 1
        };
        match (self.script)(number) {
            Some(reply) => Ok(Response::new(rpc::Frame { payload: codec::encode_message(&reply) })),
            None => std::future::pending().await,
        }
    }
}

/// Starts a host that replies as scripted, with calls numbered over all hosts of `received`.
///
/// It has a loopback address that no other test uses: these choose ports that are free for a moment, and must
/// not be answered by a scripted host that gets the same one.
async fn scripted_host(script: &Script, received: &Received) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.7:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let host = ScriptedHost { script: Arc::clone(script), received: Arc::clone(received) };
    let server = tonic::transport::Server::builder().add_service(ClusterServer::new(host));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    address
}

/// Returns a script whose first call has an unknown outcome, and which then replies as given.
fn unknown_then(reply: Reply) -> Script {
    Arc::new(move |number| Some(if number == 0 { Reply::Unknown } else { reply.clone() }))
}

fn submission(spec: JobSpec) -> Request {
    call(1, Action::Submit { spec: Arc::new(spec) })
}

fn valid_submission() -> Request {
    submission(spec(vec![step(1, 8)]))
}

fn not_accepted() -> FrontReply {
    FrontReply::NotAccepted { retry_after_ms: 500, reason: "no room".to_owned() }
}

fn invalid() -> FrontReply {
    FrontReply::Invalid { reason: "not the identity of a job".to_owned() }
}

async fn send(script: &Script, request: &Request) -> (Result<Reply, ClientFault>, Received) {
    let received = Received::default();
    let client = LeaderClient::new(vec![scripted_host(script, &received).await]);
    (client.call(request, LIMIT).await, received)
}

/// Guards against a caller that is told that its job never runs, and whose job runs: an earlier attempt is
/// in the log, or arrives later.
#[rstest]
#[case::queue_removed(FrontReply::NoQueue)]
#[case::key_revoked(FrontReply::BadKey)]
#[case::no_room(not_accepted())]
#[case::not_configured(FrontReply::NotConfigured)]
#[case::read_by_another_queue(invalid())]
#[tokio::test]
async fn a_rejection_after_an_unknown_outcome_is_not_passed_on(#[case] rejection: FrontReply) {
    for request in [valid_submission(), call(1, Action::Cancel)] {
        let script = unknown_then(Reply::Front(rejection.clone()));
        let (reply, _) = send(&script, &request).await;
        assert_eq!(reply, Err(ClientFault::Unknown));
        // Nothing is uncertain about the only attempt.
        let rejection = Reply::Front(rejection.clone());
        let only = rejection.clone();
        let (reply, _) = send(&(Arc::new(move |_| Some(only.clone())) as Script), &request).await;
        assert_eq!(reply, Ok(rejection));
    }
}

/// Guards against callers that have to ask again although the reply is true of all attempts.
#[rstest]
#[case::accepted(valid_submission(), FrontReply::Accepted)]
#[case::cancelled_before(valid_submission(), FrontReply::CancelledBefore)]
#[case::invalid_by_itself(submission(spec(vec![])), invalid())]
#[case::cancelled(call(1, Action::Cancel), FrontReply::Cancelled)]
#[case::cancelled_early(call(1, Action::Cancel), FrontReply::NoJob)]
#[case::changes_nothing(call(1, Action::Status), FrontReply::NoQueue)]
#[tokio::test]
async fn a_reply_that_is_true_of_all_attempts_is_passed_on(
    #[case] request: Request,
    #[case] reply: FrontReply,
) {
    let (received, _) = send(&unknown_then(Reply::Front(reply.clone())), &request).await;
    assert_eq!(received, Ok(Reply::Front(reply)));
}

/// Guards against a rejection that is passed on while another host, which stands still, has the request in
/// its socket; and against a host that was only connected to and makes the outcome uncertain.
#[tokio::test]
async fn a_rejection_beside_an_attempt_without_a_reply_is_not_passed_on() {
    let received = Received::default();
    let script: Script =
        Arc::new(|number| (number > 0).then_some(Reply::Front(FrontReply::NoQueue)));
    let first = scripted_host(&script, &received).await;
    let second = scripted_host(&script, &received).await;
    let client = LeaderClient::new(vec![first, second]);
    let reply = client.call(&valid_submission(), LIMIT).await;
    assert_eq!(reply, Err(ClientFault::Unknown));
    assert!(matches!(received.lock().unwrap()[1], Request::Resend { .. }));

    let rejecting: Script = Arc::new(|_| Some(Reply::Front(FrontReply::NoQueue)));
    let host = scripted_host(&rejecting, &Received::default()).await;
    let (closed, _reserved) = closed_address();
    let client = LeaderClient::new(vec![closed, host]);
    let reply = client.call(&valid_submission(), LIMIT).await;
    assert_eq!(reply, Ok(Reply::Front(FrontReply::NoQueue)));
}

/// Guards against a leader that takes a submission for a new one although the first attempt had no reply.
#[tokio::test]
async fn the_leader_is_told_that_a_request_is_sent_again() {
    let script: Script =
        Arc::new(|number| (number > 0).then_some(Reply::Front(FrontReply::Accepted)));
    let begun = Instant::now();
    let (reply, received) = send(&script, &valid_submission()).await;
    assert_eq!(reply, Ok(Reply::Front(FrontReply::Accepted)));
    let received = received.lock().unwrap();
    let Request::Resend { age_ms, .. } = received[1] else { panic!("{received:?}") };
    assert!((1..=begun.elapsed().as_millis()).contains(&u128::from(age_ms)), "{age_ms}");
}

/// Guards against a host that takes a request, loses its leadership, finds no other leader, and says that
/// nobody has received the request.
#[tokio::test]
async fn a_request_that_is_sent_again_to_nobody_has_an_unknown_outcome() {
    let (closed, _reserved) = closed_address();
    let client = LeaderClient::new(vec![closed]);
    let sent = client.call_again(&valid_submission(), Instant::now(), LIMIT).await;
    assert_eq!(sent, Err(ClientFault::Unknown));
}

/// Guards against an evacuation that is refused although an earlier attempt may have begun it. The validity
/// of a configuration follows from its content, so that its refusal is true of all attempts.
#[tokio::test]
async fn a_refused_evacuation_after_an_unknown_outcome_is_not_passed_on() {
    let reason = "no such data centre".to_owned();
    let refused = Reply::Operator(OperatorReply::Invalid { reason });
    let script = unknown_then(refused.clone());
    let evacuate = Request::Evacuate { data_centre: "dc".into(), begin: true, revision: 0 };
    let (reply, _) = send(&script, &evacuate).await;
    assert_eq!(reply, Err(ClientFault::Unknown));
    let configuration = Arc::new(configuration(1));
    let set = Request::SetConfiguration { configuration, raw: "version 1".into() };
    let (reply, _) = send(&script, &set).await;
    assert_eq!(reply, Ok(refused));
}

/// Puts a configuration in force that lacks a queue.
async fn remove_queue(test: &TestControl, name: &str) {
    let mut changed = configuration(2);
    changed.queues.retain(|queue| &*queue.name != name);
    let configuration = Arc::new(changed);
    let set = Request::SetConfiguration { configuration, raw: "version 2".into() };
    test.call_until_answered(set).await;
}

fn resent(request: Request, key: &str, age_ms: u64) -> Request {
    let Request::Front(call) = request else { panic!("{request:?}") };
    Request::Resend { call: FrontCall { key: Some(key.to_owned()), ..call }, age_ms }
}

/// Guards against an accepted job that is rejected when its submission is sent again, since its queue was
/// removed meanwhile. Nobody else learns of the job, and a later call of its caller meets the new
/// configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_an_earlier_attempt_has_stored_is_accepted_without_its_queue() {
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    submit(&test, 1).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    remove_queue(&test, "normal").await;
    let accepted = Reply::Front(FrontReply::Accepted);
    let no_queue = Reply::Front(FrontReply::NoQueue);
    let resend = |key, age_ms| resent(valid_submission(), key, age_ms);
    let reply = |request| test.call_until_answered(request);
    assert_eq!(reply(resend("key-of-north", 60_000)).await, accepted);
    assert_eq!(reply(resend("key-of-south", 60_000)).await, no_queue, "of another organisation");
    assert_eq!(reply(resend("revoked", 60_000)).await, no_queue, "without a valid key");
    assert_eq!(reply(resend("key-of-north", 10)).await, no_queue, "stored before the call");
    assert_eq!(reply(valid_submission()).await, no_queue, "sent for the first time");
}

/// Guards against a cancellation that is rejected when it is sent again, although the job was cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancellation_that_an_earlier_attempt_has_stored_is_acknowledged_without_its_queue() {
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    submit(&test, 1).await;
    submit(&test, 2).await;
    test.call_until_answered(call(1, Action::Cancel)).await;
    remove_queue(&test, "normal").await;
    let resend = |number| resent(call(number, Action::Cancel), "key-of-north", 1_000);
    let cancelled = test.call_until_answered(resend(1)).await;
    assert_eq!(cancelled, Reply::Front(FrontReply::Cancelled));
    let not_cancelled = test.call_until_answered(resend(2)).await;
    assert_eq!(not_cancelled, Reply::Front(FrontReply::NoQueue));
}
