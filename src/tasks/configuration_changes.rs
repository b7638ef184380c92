//! Differences between two configurations.

use std::fmt::Debug;
use std::sync::Arc;

use super::configuration::{
    Configuration, ConfigurationEntry, ConfigurationFault, Organisation, Queue,
};

impl Configuration {
    /// Returns how the configuration differs from a former one, by the names of the entries.
    #[must_use]
    pub fn changes_from(&self, former: &Self) -> Vec<ConfigurationFault> {
        let mut changes = Vec::new();
        if self.version <= former.version {
            let reason = format!(
                "version {} changes nothing: version {} is in force, and only a higher one replaces it",
                self.version, former.version
            );
            changes.push(ConfigurationFault::new(ConfigurationEntry::Whole, reason));
        }
        let queues =
            Entries { kind: "queue", name: |queue: &Queue| &queue.name, fields: queue_fields };
        changes.extend(queues.compare(&self.queues, &former.queues, ConfigurationEntry::Queue));
        let services = Entries {
            kind: "service",
            name: |service: &super::WorkerService| &service.name,
            fields: |service| {
                vec![
                    text("guards_capacity", service.guards_capacity),
                    text("standby", service.standby),
                ]
            },
        };
        changes.extend(services.compare(
            &self.services,
            &former.services,
            ConfigurationEntry::Service,
        ));
        let organisations = Entries {
            kind: "organisation",
            name: |organisation: &Organisation| &organisation.name,
            fields: organisation_fields,
        };
        let entry = ConfigurationEntry::Organisation;
        changes.extend(organisations.compare(&self.organisations, &former.organisations, entry));
        changes
    }
}

/// A field and its value as text.
type Field = (&'static str, String);

fn text(name: &'static str, value: impl Debug) -> Field {
    (name, format!("{value:?}"))
}

fn queue_fields(queue: &Queue) -> Vec<Field> {
    vec![
        text("host", &queue.host),
        text("path_prefix", &queue.path_prefix),
        text("timeout_ms", queue.timeout_ms),
        text("target_ms", queue.target_ms),
        text("priority", queue.priority),
        text("service", &queue.service),
        text("attempts_max", queue.attempts_max),
        text("slack_permille", queue.slack_permille),
        text("public", queue.public),
        text("advice", queue.advice),
    ]
}

fn organisation_fields(organisation: &Organisation) -> Vec<Field> {
    vec![
        text("priority", organisation.priority),
        text("guaranteed accelerators", organisation.guaranteed.accelerators),
        text("weight", organisation.weight),
    ]
}

/// How entries of one kind are compared.
struct Entries<T> {
    kind: &'static str,
    name: fn(&T) -> &Arc<str>,
    fields: fn(&T) -> Vec<Field>,
}

impl<T: PartialEq> Entries<T> {
    fn compare(
        &self,
        new: &[T],
        former: &[T],
        entry: fn(usize) -> ConfigurationEntry,
    ) -> Vec<ConfigurationFault> {
        let name = self.name;
        let find =
            |among: &[T], wanted: &T| among.iter().position(|other| name(other) == name(wanted));
        let mut changes = Vec::new();
        for (number, added) in new.iter().enumerate() {
            let reason = match find(former, added) {
                None => Some("is new".to_owned()),
                Some(known) if former[known] == *added => None,
                Some(known) => Some(self.changed_fields(added, &former[known])),
            };
            let describe = |reason| format!("{} {} {reason}", self.kind, name(added));
            changes.extend(
                reason.map(|reason| ConfigurationFault::new(entry(number), describe(reason))),
            );
        }
        for removed in former.iter().filter(|removed| find(new, removed).is_none()) {
            let reason = format!("{} {} is removed", self.kind, name(removed));
            changes.push(ConfigurationFault::new(ConfigurationEntry::Whole, reason));
        }
        changes
    }

    /// Names the fields that differ. Keys are secrets and never shown.
    fn changed_fields(&self, new: &T, former: &T) -> String {
        let pairs = (self.fields)(new).into_iter().zip((self.fields)(former));
        let differing = pairs.filter(|((_, new), (_, former))| new != former);
        let named: Vec<_> = differing
            .map(|((field, new), (_, former))| format!("{field} from {former} to {new}"))
            .collect();
        if named.is_empty() {
            "changes its keys or other values".to_owned()
        } else {
            format!("changes {}", named.join(", "))
        }
    }
}
