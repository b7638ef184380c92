//! Transitions of at-most-once records, in chosen cases and in random sequences.

use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;

use super::key_date::issued_ms;
use super::{
    Begin, Blob, Identity, Intent, LookupResult, RecordEvent, Records, SignOff, Verdict, conflict,
};
use crate::control::clock::DAY_MS;
use crate::names::RequestKey;
use crate::outcome::{NotRun, NotRunCause, Outcome};

/// 2 March 2026, 12:00 UTC.
const NOW_MS: u64 = 1_772_452_800_000;
const ID: &str = "20260302-17";

fn key(id: &str) -> RequestKey {
    format!("sofia/{id}").parse().expect("a key")
}

fn begin(id: &str) -> Begin {
    Begin {
        key: key(id),
        identity: Identity {
            organisation: "north-shop".parse().expect("a name"),
            service: "plan".parse().expect("a name"),
            body_digest: Blob(Bytes::from_static(&[7, 255])),
        },
        intent: Intent {
            submission: String::new(),
            host: "entry-1".parse().expect("a name"),
            upstream: "worker-1".parse().expect("a name"),
            upstream_address: "127.0.0.1:9".into(),
            incarnation: 1,
            begun_at_ms: NOW_MS,
            epoch: 1,
        },
        replaces_attempt: 0,
    }
}

fn done(attempt: u32) -> Outcome {
    Outcome::Done { answer: Bytes::from_static(b"posted"), attempt, upstream_status: 200 }
}

fn not_run() -> Outcome {
    Outcome::NotRun(NotRun::new(NotRunCause::RefusedByUpstream, "full"))
}

fn unknown() -> Outcome {
    Outcome::Unknown { detail: "no answer".into() }
}

/// Records with a journal of every transition, to rebuild them as after a restart.
#[derive(Default)]
struct Journalled {
    records: Records,
    journal: Vec<String>,
}

impl Journalled {
    fn apply(&mut self, event: Option<RecordEvent>) -> bool {
        let Some(event) = event else { return false };
        self.journal.push(serde_json::to_string(&event).expect("JSON"));
        self.records.apply(event);
        true
    }

    fn begin(&mut self, begin: &Begin) -> Verdict {
        let (verdict, event) = self.records.begin(begin, begin.intent.begun_at_ms);
        assert_eq!(matches!(verdict, Verdict::Proceed(_)), event.is_some());
        self.apply(event);
        verdict
    }

    fn finish(&mut self, attempt: u32, outcome: Outcome) -> bool {
        let event = self.records.finish(&key(ID), attempt, outcome, NOW_MS + 1);
        self.apply(event)
    }

    fn sign_off(&mut self, name: &str) -> Result<bool, String> {
        let reason = "the ledger shows no posting".into();
        let sign_off = SignOff { name: name.into(), reason, at_ms: NOW_MS + 2 };
        let event = self.records.sign_off(&key(ID), sign_off, NOW_MS + 2)?;
        Ok(self.apply(event))
    }

    fn replayed(&self) -> Records {
        let mut records = Records::default();
        for line in &self.journal {
            records.apply(serde_json::from_str(line).expect("a transition"));
        }
        records
    }

    fn restored(&self) -> Records {
        let mut records = Records::default();
        self.records.restore_events().for_each(|event| records.apply(event));
        records
    }

    fn state(&self) -> &'static str {
        match self.records.lookup(&key(ID), NOW_MS) {
            LookupResult::Record { state, .. } => state,
            LookupResult::Absent => "absent",
            LookupResult::Expired => "expired",
        }
    }
}

/// Guards against running a request twice, or returning the answer of another request.
#[rstest]
#[case::same_request(
    begin(ID),
    "Ended(Done { answer: b\"posted\", attempt: 1, upstream_status: 200 })"
)]
#[case::other_body(
    Begin { identity: Identity { body_digest: Blob(Bytes::new()), ..begin(ID).identity }, ..begin(ID) },
    "Refused(NotRun { cause: Conflict, detail: \"the key was used for another request; this one was not run\" })"
)]
#[case::other_organisation(
    Begin { identity: Identity { organisation: "south".parse().unwrap(), ..begin(ID).identity }, ..begin(ID) },
    "Refused(NotRun { cause: Conflict, detail: \"the key was used for another request; this one was not run\" })"
)]
#[case::other_key(begin("20260302-18"), "Proceed(1)")]
#[case::malformed(
    begin("17"),
    "Refused(NotRun { cause: BadRequest, detail: \"the key must have the form DATA_CENTRE/YYYYMMDD-ID\" })"
)]
fn a_resend_after_the_answer(#[case] again: Begin, #[case] expected: &str) {
    let mut journalled = Journalled::default();
    assert_eq!(journalled.begin(&begin(ID)), Verdict::Proceed(1));
    assert!(journalled.finish(1, done(1)));
    assert_eq!(format!("{:?}", journalled.begin(&again)), expected);
}

/// Guards against late outcomes that replace a final answer, or are dropped although they add to
/// what is known.
#[rstest]
#[case::open_done(None, 1, done(1), true)]
#[case::open_unknown(None, 1, unknown(), true)]
#[case::open_other_attempt(None, 2, done(2), false)]
#[case::done_other_answer(Some(done(1)), 1, Outcome::Done { answer: Bytes::new(), attempt: 1, upstream_status: 200 }, false)]
#[case::done_unknown(Some(done(1)), 1, unknown(), false)]
#[case::done_not_run(Some(done(1)), 1, not_run(), false)]
#[case::unknown_done(Some(unknown()), 1, done(1), true)]
#[case::unknown_not_run(Some(unknown()), 1, not_run(), true)]
#[case::unknown_unknown(Some(unknown()), 1, unknown(), false)]
#[case::not_run_done(Some(not_run()), 1, done(1), true)]
#[case::not_run_unknown(Some(not_run()), 1, unknown(), false)]
fn a_late_outcome(
    #[case] first: Option<Outcome>,
    #[case] attempt: u32,
    #[case] late: Outcome,
    #[case] is_accepted: bool,
) {
    let mut journalled = Journalled::default();
    journalled.begin(&begin(ID));
    if let Some(first) = first {
        assert!(journalled.finish(1, first));
    }
    assert_eq!(journalled.finish(attempt, late), is_accepted);
}

/// Guards against replacing an attempt that another host or submission has in flight.
#[rstest]
#[case::own_open_attempt(1, "entry-1", Verdict::Proceed(2))]
#[case::other_host(
    1,
    "entry-2",
    conflict("the replaced attempt is not the open attempt of this host")
)]
#[case::other_attempt(
    2,
    "entry-1",
    conflict("the replaced attempt is not the open attempt of this host")
)]
#[case::no_replacement(0, "entry-1", Verdict::InFlight)]
fn a_begin_while_an_attempt_is_open(
    #[case] replaces_attempt: u32,
    #[case] host: &str,
    #[case] expected: Verdict,
) {
    let mut journalled = Journalled::default();
    journalled.begin(&begin(ID));
    let mut again = Begin { replaces_attempt, ..begin(ID) };
    again.intent.host = host.parse().expect("a name");
    assert_eq!(journalled.begin(&again), expected);
}

/// Guards against a re-run of a request with an unknown outcome without a sign-off, or two re-runs
/// with one.
#[test]
fn each_sign_off_allows_one_re_run() {
    let mut journalled = Journalled::default();
    journalled.begin(&begin(ID));
    assert!(journalled.sign_off("Dana").is_err(), "the attempt is in flight");
    journalled.finish(1, unknown());
    assert_eq!(journalled.begin(&begin(ID)), Verdict::Ended(unknown()));
    assert!(journalled.sign_off(" ").is_err(), "a name is needed");
    assert_eq!(journalled.sign_off("Dana"), Ok(true));
    assert_eq!(journalled.sign_off("Dana"), Ok(false), "a resend changes nothing");
    assert_eq!(journalled.sign_off("Emil"), Err("Dana has already signed off this re-run".into()));
    journalled.records = journalled.replayed();
    assert_eq!(journalled.begin(&begin(ID)), Verdict::Proceed(2));
    assert_eq!(journalled.begin(&begin(ID)), Verdict::InFlight);
    journalled.finish(2, unknown());
    assert_eq!(journalled.begin(&begin(ID)), Verdict::Ended(unknown()));
    assert_eq!(journalled.sign_off("Emil"), Ok(true));
    journalled.finish(2, done(2));
    assert_eq!(journalled.begin(&begin(ID)), Verdict::Ended(done(2)), "the answer arrived late");
    assert!(journalled.sign_off("Dana").is_err());
}

/// Guards against accepting a key again after its record was pruned, also if the clock is set back.
#[test]
fn a_pruned_key_is_never_accepted_again() {
    for ahead in 0..=1 {
        let mut journalled = Journalled::default();
        let issued_ms = issued_ms(ID).expect("a date");
        let mut first = begin(ID);
        first.intent.begun_at_ms = issued_ms - ahead * DAY_MS;
        assert_eq!(journalled.begin(&first), Verdict::Proceed(1));
        let now_ms = first.intent.begun_at_ms;
        let event = journalled.records.finish(&key(ID), 1, done(1), now_ms);
        journalled.apply(event);
        let mut pruned = false;
        for hour in 0..24 * 12 {
            let mut again = first.clone();
            again.intent.begun_at_ms = now_ms + hour * DAY_MS / 24;
            let refused = matches!(journalled.begin(&again), Verdict::Refused(_));
            assert!(refused || !pruned, "hour {hour}");
            let event = journalled.records.prune(again.intent.begun_at_ms);
            pruned |= journalled.apply(event);
            assert_eq!(pruned, journalled.records.counts().done == 0);
            assert!(!pruned || hour >= 24 * 8, "kept for 8 days");
        }
        assert!(pruned);
        let mut clock_set_back = first.clone();
        clock_set_back.intent.begun_at_ms = now_ms;
        assert!(matches!(journalled.begin(&clock_set_back), Verdict::Refused(_)));
        journalled.records = journalled.restored();
        assert!(matches!(journalled.begin(&clock_set_back), Verdict::Refused(_)));
    }
}

/// Guards against pruning the record of a request that may have run.
#[rstest]
#[case::open(None)]
#[case::unknown(Some(unknown()))]
fn records_without_a_certain_outcome_are_kept(#[case] outcome: Option<Outcome>) {
    let mut journalled = Journalled::default();
    journalled.begin(&begin(ID));
    if let Some(outcome) = outcome {
        journalled.finish(1, outcome);
    }
    let state = journalled.state();
    assert_eq!(journalled.records.prune(NOW_MS + 1000 * DAY_MS), None);
    assert_eq!(journalled.state(), state);
}

/// Guards against accepting invalid dates, or computing the wrong day.
#[rstest]
#[case("19700101-1", Some(0))]
#[case("20000229-1", Some(951_782_400_000))]
#[case("20260302-17", Some(NOW_MS - DAY_MS / 2))]
#[case("20230229-1", None)]
#[case("21000229-1", None)]
#[case("20261301-1", None)]
#[case("20260100-1", None)]
#[case("20260302-", None)]
#[case("20260302", None)]
#[case("+2602021-1", None)]
fn key_dates_are_parsed(#[case] id: &str, #[case] expected: Option<u64>) {
    assert_eq!(issued_ms(id), expected);
}

/// Guards against refusing keys too early or accepting them too late.
#[rstest]
#[case::day_ahead("20260303-1", true)]
#[case::two_days_ahead("20260304-1", false)]
#[case::six_and_a_half_days_old("20260224-1", true)]
#[case::seven_and_a_half_days_old("20260223-1", false)]
fn keys_are_refused_by_age(#[case] id: &str, #[case] accepted: bool) {
    let verdict = Journalled::default().begin(&begin(id));
    let expired = matches!(&verdict, Verdict::Refused(why) if why.cause.http_status() == 410);
    assert_eq!((verdict == Verdict::Proceed(1), expired), (accepted, !accepted));
}

/// Steps of a random sequence.
#[derive(Debug, Clone)]
enum Step {
    Begin { host: u8, replaces: u32 },
    Finish { attempt: u32, outcome: u8 },
    SignOff,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..2_u8, 0..4_u32).prop_map(|(host, replaces)| Step::Begin { host, replaces }),
        (1..5_u32, 0..3_u8).prop_map(|(attempt, outcome)| Step::Finish { attempt, outcome }),
        Just(Step::SignOff),
        Just(Step::Restart),
    ]
}

proptest! {
    /// Guards against any sequence of calls that runs a request again although it may have run.
    #[test]
    fn no_sequence_runs_a_request_again_without_cause(steps in prop::collection::vec(step(), 1..60)) {
        let mut journalled = Journalled::default();
        let mut answer = None;
        for step in steps {
            let state = journalled.state();
            match step {
                Step::Begin { host, replaces } => {
                    let mut request = Begin { replaces_attempt: replaces, ..begin(ID) };
                    request.intent.host = format!("entry-{host}").parse().expect("a name");
                    let signed_off = journalled.records.by_key.get(&key(ID))
                        .is_some_and(|record| record.unused_sign_off.is_some());
                    match journalled.begin(&request) {
                        Verdict::Proceed(attempt) => {
                            prop_assert!(answer.is_none());
                            let allowed = match state {
                                "absent" => attempt == 1,
                                "in_flight" => replaces + 1 == attempt,
                                "not_run" => true,
                                "unknown" => signed_off,
                                _ => false,
                            };
                            prop_assert!(allowed, "{} to attempt {}", state, attempt);
                        }
                        Verdict::Ended(outcome) => {
                            prop_assert!(answer.is_none() || answer == Some(outcome));
                        }
                        Verdict::InFlight | Verdict::Refused(_) => {}
                    }
                }
                Step::Finish { attempt, outcome } => {
                    let outcome = [done(attempt), not_run(), unknown()][usize::from(outcome)].clone();
                    if journalled.finish(attempt, outcome.clone()) && outcome.name() == "done" {
                        prop_assert!(answer.is_none());
                        answer = Some(outcome);
                    }
                }
                Step::SignOff => _ = journalled.sign_off("Dana"),
                Step::Restart => {
                    let (replayed, restored) = (journalled.replayed(), journalled.restored());
                    prop_assert_eq!(&replayed.by_key, &journalled.records.by_key);
                    prop_assert_eq!(&restored.by_key, &journalled.records.by_key);
                    prop_assert_eq!(&restored.open, &journalled.records.open);
                    prop_assert_eq!(restored.counts(), journalled.records.counts());
                    journalled.records = replayed;
                }
            }
        }
    }
}
