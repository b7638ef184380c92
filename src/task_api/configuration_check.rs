//! Findings in the text of a configuration, with their lines.

use marked_yaml::Node;
use serde::Deserialize;

use super::documents::{
    ConfigurationDocument, InvalidDocument, OrganisationDocument, QueueDocument, ServiceDocument,
    parse,
};
use crate::config::Fault;
use crate::config::text::{load, marker_position};
use crate::tasks::{Configuration, ConfigurationEntry, ConfigurationFault};

/// Findings in a configuration, each in the order of lines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigurationReport {
    /// Faults for which control refuses it.
    pub errors: Vec<Fault>,
    /// Entries without effect, and limits that contradict each other.
    pub warnings: Vec<Fault>,
    /// Differences from another configuration.
    pub changes: Vec<Fault>,
}

/// Returns whether a text is meant as a configuration of the replicated control.
#[must_use]
pub fn is_configuration(text: &str) -> bool {
    let node = load(text).ok();
    let mapping = node.as_ref().and_then(Node::as_mapping);
    mapping.is_some_and(|mapping| mapping.contains_key("queues") && !mapping.contains_key("kind"))
}

/// Checks a configuration, and compares it with another one.
#[must_use]
pub fn check_configuration(text: &str, against: Option<&Configuration>) -> ConfigurationReport {
    let mut report = ConfigurationReport::default();
    let node = match load(text) {
        Ok(node) => node,
        Err(faults) => {
            report.errors = faults.list().to_vec();
            return report;
        }
    };
    let configuration = match parse::<ConfigurationDocument>(text) {
        Ok(document) => Configuration::from(document),
        Err(fault) => {
            report.errors.push(unreadable(text, &node, &fault));
            return report;
        }
    };
    let place = |found: Vec<ConfigurationFault>| {
        let mut placed: Vec<_> = found.into_iter().map(|found| at_entry(&node, found)).collect();
        placed.sort_by_key(|fault| fault.line);
        placed
    };
    report.errors = place(configuration.faults());
    report.warnings = place(configuration.warnings());
    report.changes = place(against.map_or(Vec::new(), |other| configuration.changes_from(other)));
    report
}

/// Finds the line of a text that cannot be read: of the value, or else of the entry.
fn unreadable(text: &str, node: &Node, fault: &InvalidDocument) -> Fault {
    let marker = match marked_yaml::from_yaml::<ConfigurationDocument>(0, text) {
        Err(marked_yaml::FromYamlError::FromNode(fault)) => fault.start_mark(),
        _ => None,
    };
    let marker = marker.or_else(|| {
        let faulty = first_faulty::<QueueDocument>(node, "queues")
            .or_else(|| first_faulty::<ServiceDocument>(node, "services"))
            .or_else(|| first_faulty::<OrganisationDocument>(node, "organisations"));
        faulty?.span().start().copied()
    });
    let (line, column) = marker_position(marker.as_ref());
    Fault { line, column, key: String::new(), message: fault.to_string() }
}

/// Returns the first entry of a list that cannot be read.
fn first_faulty<'a, T: Deserialize<'a>>(node: &'a Node, list: &str) -> Option<&'a Node> {
    let entries = node.as_mapping()?.get_node(list)?.as_sequence()?;
    entries.iter().find(|entry| marked_yaml::from_node::<T>(entry).is_err())
}

/// Returns a finding with the position of the entry that it concerns.
fn at_entry(node: &Node, found: ConfigurationFault) -> Fault {
    let (list, number) = match found.entry {
        ConfigurationEntry::Whole => ("version", None),
        ConfigurationEntry::Queue(number) => ("queues", Some(number)),
        ConfigurationEntry::Service(number) => ("services", Some(number)),
        ConfigurationEntry::Organisation(number) => ("organisations", Some(number)),
    };
    let entry =
        node.as_mapping().and_then(|mapping| mapping.get_node(list)).and_then(
            |entry| match number {
                Some(number) => entry.as_sequence()?.get_node(number),
                None => Some(entry),
            },
        );
    let (line, column) = marker_position(entry.and_then(|entry| entry.span().start()));
    let key = number.map_or_else(|| list.to_owned(), |number| format!("{list}[{number}]"));
    Fault { line, column, key, message: found.reason }
}
