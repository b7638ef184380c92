//! Concurrent changes, resends and replicas of documents.

use insta::assert_snapshot;
use rstest::rstest;

use super::{
    Change, Document, DocumentEvent, Documents, PutAnswer, PutRefusal, PutRequest, check, is_owner,
    line_diff,
};
use crate::config::{ServiceDocument, TeamCredential};
use crate::names::ServiceName;

fn plan() -> ServiceName {
    "plan".parse().expect("a name")
}

fn put(base_version: u64, operation: &str, body: &str) -> PutRequest {
    PutRequest {
        service: plan(),
        base_version,
        operation: operation.into(),
        body_yaml: body.into(),
    }
}

/// Documents with a journal of every transition, to rebuild them as after a restart.
#[derive(Default)]
struct Journalled {
    documents: Documents,
    journal: Vec<String>,
}

impl Journalled {
    fn apply(&mut self, event: Option<DocumentEvent>) {
        let Some(event) = event else { return };
        self.journal.push(serde_json::to_string(&event).expect("JSON"));
        self.documents.apply(event);
        self.documents.mark_durable(self.documents.index());
    }

    fn put(&mut self, put: &PutRequest) -> Result<PutAnswer, PutRefusal> {
        let (answer, event) = self.documents.put(put, Ok(()), 5)?;
        self.apply(event);
        Ok(answer)
    }

    fn replay(&mut self) {
        self.documents = Documents::default();
        for line in &self.journal {
            self.documents.apply(serde_json::from_str(line).expect("a transition"));
        }
        self.documents.mark_durable(self.documents.index());
    }

    fn restore(&mut self) {
        let mut documents = Documents::default();
        self.documents.restore_events().for_each(|event| documents.apply(event));
        documents.mark_durable(documents.index());
        self.documents = documents;
    }
}

fn describe(answer: &Result<PutAnswer, PutRefusal>) -> String {
    match answer {
        Ok(PutAnswer::Accepted { document, diff }) => {
            format!("accepted version {} index {}\n{diff}", document.version, document.index)
        }
        Ok(PutAnswer::Conflict { current, diff }) => {
            format!("conflict with version {:?}\n{diff}", current.as_ref().map(|d| d.version))
        }
        Err(refused) => format!("{refused:?}\n"),
    }
}

/// Guards against accepting two changes of one version, and against a resend that gets a different
/// answer after a restart.
#[rstest]
#[case::running(|_: &mut Journalled| {})]
#[case::replayed(Journalled::replay)]
#[case::restored_from_a_snapshot(Journalled::restore)]
fn one_of_two_changes_is_accepted_and_resends_get_the_first_answer(
    #[case] restart: fn(&mut Journalled),
) {
    let mut journalled = Journalled::default();
    let steps = [
        put(0, "a", "batch: 4\nweight: 1\n"),
        put(1, "b", "batch: 5\nweight: 1\n"),
        put(1, "c", "batch: 6\nweight: 1\n"),
        put(9, "d", "batch: 7\n"),
    ];
    let first: Vec<_> = steps.iter().map(|step| describe(&journalled.put(step))).collect();
    // The cases share one snapshot.
    insta::allow_duplicates! {
    assert_snapshot!(first.join(""), @r"
    accepted version 1 index 1
    +1: batch: 4
    +2: weight: 1
    accepted version 2 index 2
    -1: batch: 4
    +1: batch: 5
    conflict with version Some(2)
    -1: batch: 5
    +1: batch: 6
    conflict with version Some(2)
    -1: batch: 5
    -2: weight: 1
    +1: batch: 7
    ");
    }
    restart(&mut journalled);
    journalled.put(&put(2, "e", "batch: 8\n")).expect("a later change");
    let again: Vec<_> = steps.iter().map(|step| describe(&journalled.put(step))).collect();
    assert_eq!(first, again);
    assert_eq!(journalled.put(&put(3, "a", "batch: 9\n")), Err(PutRefusal::Reused));
    let (document, history) = journalled.documents.get(&plan()).expect("a document");
    assert_eq!((document.version, document.index, history.len()), (3, 3, 3));
}

/// Guards against a replica that reverts to an older version, and against gaps in its history.
#[test]
fn a_replica_never_reverts() {
    let mut journalled = Journalled::default();
    let change = |index| Change {
        version: index,
        index,
        operation: format!("operation-{index}"),
        diff: String::new(),
        accepted_at_ms: 1,
    };
    let mut replicate = |index: u64, changes: &[u64]| {
        let document = Document { version: index, index, body_yaml: format!("at {index}") };
        let changes = changes.iter().copied().map(change).collect();
        let event = journalled.documents.replicate(plan(), document, changes);
        let is_newer = event.is_some();
        journalled.apply(event);
        is_newer
    };
    assert!(replicate(2, &[1, 2]));
    assert!(!replicate(1, &[1]));
    assert!(!replicate(2, &[2]));
    assert!(replicate(4, &[2, 3, 4]));
    assert_eq!(journalled.documents.stale_dropped(), 2);
    journalled.replay();
    let (document, history) = journalled.documents.get(&plan()).expect("a document");
    assert_eq!(document.body_yaml, "at 4");
    assert!(history.iter().map(|change| change.index).eq(1..=4));
    assert_eq!(journalled.documents.newer_than(3).len(), 1);
    assert_eq!(journalled.documents.newer_than(4).len(), 0);
}

/// Guards against sending a change to entry hosts before it is durable.
#[test]
fn a_change_is_sent_once_it_is_durable() {
    let mut documents = Documents::default();
    let (_, event) = documents.put(&put(0, "a", "batch: 4\n"), Ok(()), 5).expect("an answer");
    documents.apply(event.expect("a transition"));
    assert!(documents.newer_than(0).is_empty());
    documents.mark_durable(1);
    assert_eq!(documents.newer_than(0).len(), 1);
}

/// Guards against accepting a credential for the document of another team.
#[rstest]
#[case("plan", "plan-secret", true)]
#[case("plan", "check-secret", false)]
#[case("plan", "plan-secre", false)]
#[case("plan", "", false)]
#[case("empty", "", false)]
#[case("other", "plan-secret", false)]
fn credentials_are_valid_for_the_own_service_only(
    #[case] service: &str,
    #[case] secret: &str,
    #[case] expected: bool,
) {
    let credential = |service: &str, secret: &str| TeamCredential {
        service: service.parse().expect("a name"),
        secret: secret.into(),
    };
    let all = [
        credential("plan", "plan-secret"),
        credential("check", "check-secret"),
        credential("empty", ""),
    ];
    assert_eq!(is_owner(&all, &service.parse().expect("a name"), secret), expected);
}

/// Guards against accepting a document that is invalid or belongs to another service.
#[rstest]
#[case("plan", "operation-1", Ok(()))]
#[case("check", "operation-1", Err("the document belongs to service check"))]
#[case("bad", "operation-1", Err("line 1: no such key"))]
#[case("plan", "", Err("the operation needs 1 to 128 bytes"))]
fn content_is_checked(
    #[case] body: &str,
    #[case] operation: &str,
    #[case] expected: Result<(), &str>,
) {
    let validate = |body: &str| match body {
        "bad" => Err("line 1: no such key".to_owned()),
        name => Ok(ServiceDocument {
            service: name.parse().expect("a name"),
            organisations: Vec::new(),
            interactive_queue_max: 1,
            interactive_wait_max_ms: 1,
            batch_queue_max: 1,
            batch_wait_max_ms: 1,
            job_shapes: Vec::new(),
            completion_weight: 1.0,
            fragmentation_weight: 1.0,
        }),
    };
    let checked = check(&put(0, operation, body), &validate);
    assert_eq!(checked, expected.map_err(str::to_owned));
}

/// Guards against line diffs with wrong lines or line numbers.
#[rstest]
#[case("a\nb\nc\n", "a\nb\nc\n", "")]
#[case("", "a\n", "+1: a\n")]
#[case("a\nb\nc\n", "a\nx\nc\n", "-2: b\n+2: x\n")]
#[case("a\nb\n", "b\na\n", "-1: a\n+2: a\n")]
#[case("a\na\na\n", "a\na\n", "-3: a\n")]
fn line_diffs(#[case] old: &str, #[case] new: &str, #[case] expected: &str) {
    assert_eq!(line_diff(old, new), expected);
}
