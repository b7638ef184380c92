//! Validity of configurations, and which version applies.

use rstest::rstest;

use super::sample::{Sample, configuration, organisation, queue, step};
use crate::tasks::{Configuration, Queue};

fn with_queue(queue: Queue) -> Configuration {
    let mut changed = configuration(1);
    changed.queues.push(queue);
    changed
}

#[rstest]
#[case::unknown_service(with_queue(Queue { service: "none".into(), ..queue("new", 0) }))]
#[case::same_place(with_queue(Queue { path_prefix: "/urgent/".into(), ..queue("new", 0) }))]
#[case::same_place_other_case(with_queue(Queue {
    host: "JOBS.example".into(),
    path_prefix: "/urgent/".into(),
    ..queue("new", 0)
}))]
#[case::no_timeout(with_queue(Queue { timeout_ms: 0, ..queue("new", 0) }))]
#[case::same_name(with_queue(Queue { path_prefix: "/else/".into(), ..queue("urgent", 0) }))]
#[case::shared_key({
    let mut shared = configuration(1);
    let mut other = organisation("west", 0);
    other.keys.push("key-of-north".into());
    shared.organisations.push(other);
    shared
})]
fn contradictions_are_refused(#[case] configuration: Configuration) {
    assert!(configuration.check().is_err());
}

#[test]
fn a_proper_configuration_is_valid() {
    configuration(1).check().unwrap();
}

/// Guards against an older or repeated version that takes effect, in whatever order commands
/// arrive.
#[test]
fn the_version_only_rises() {
    let mut sample = Sample::with_hosts(1);
    sample.configure(configuration(5));
    let mut other = configuration(5);
    other.queues.clear();
    sample.configure(other);
    sample.configure(configuration(4));
    assert_eq!(sample.state.configuration_version(), 5);
    assert_eq!(&sample.state.raw_configuration[..], b"version 5");
    assert_eq!(sample.state.configuration.as_ref().unwrap().queues.len(), 3);
}

/// Guards against jobs that lose their settings when their queue is removed: the last definition
/// of the queue still applies to them.
#[test]
fn jobs_keep_a_removed_queue() {
    let mut sample = Sample::with_hosts(1);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    let mut without = configuration(2);
    without.queues.retain(|queue| &*queue.name != "normal");
    sample.configure(without);
    let job = &sample.state.jobs[&job];
    assert_eq!(sample.state.queue_of(job).map(|queue| queue.priority), Some(1));
}

#[test]
fn the_longest_prefix_wins() {
    let inner = Queue { path_prefix: "/urgent/inner/".into(), ..queue("inner", 0) };
    let configuration = with_queue(inner);
    let found = |path: &str| configuration.queue_for("JOBS.example:80", path).map(|q| &*q.name);
    assert_eq!(found("/urgent/0"), Some("urgent"));
    assert_eq!(found("/urgent/inner/0"), Some("inner"));
    assert_eq!(found("/none/0"), None);
    assert!(configuration.queue_for("other.example", "/urgent/0").is_none());
}
