//! Entries of a configuration that have no effect, and limits that contradict each other.
//!
//! None of them is a reason to refuse a configuration: an operator may mean them for a later version.

use super::configuration::{
    Configuration, ConfigurationEntry, ConfigurationFault, Organisation, Queue,
};

/// Shortest time that a job may take as a multiple of its work, in thousandths.
const SLACK_MIN_PERMILLE: u64 = 1_000;

impl Configuration {
    /// Returns what is odd in the configuration.
    #[must_use]
    pub fn warnings(&self) -> Vec<ConfigurationFault> {
        let mut warnings = Vec::new();
        let mut add = |entry, reason| warnings.push(ConfigurationFault::new(entry, reason));
        for (number, queue) in self.queues.iter().enumerate() {
            for reason in self.queue_warnings(queue) {
                add(ConfigurationEntry::Queue(number), format!("queue {}: {reason}", queue.name));
            }
        }
        for (number, service) in self.services.iter().enumerate() {
            if !self.queues.iter().any(|queue| queue.service == service.name) {
                let reason = format!("service {} gets no work: no queue names it", service.name);
                add(ConfigurationEntry::Service(number), reason);
            }
        }
        for (number, organisation) in self.organisations.iter().enumerate() {
            for reason in self.organisation_warnings(organisation) {
                let reason = format!("organisation {}: {reason}", organisation.name);
                add(ConfigurationEntry::Organisation(number), reason);
            }
        }
        if self.limits.body_bytes == 0 || self.limits.header_bytes == 0 {
            let reason = "requests of callers may have no head or no body".to_owned();
            add(ConfigurationEntry::Whole, reason);
        }
        warnings
    }

    fn queue_warnings(&self, queue: &Queue) -> Vec<String> {
        let mut reasons = Vec::new();
        if !queue.path_prefix.starts_with('/') {
            reasons.push(format!(
                "no request can match the path prefix {:?}, which does not begin with /",
                queue.path_prefix
            ));
        }
        if queue.host.contains(':') {
            reasons.push(format!(
                "no request can match the host {}: requests are matched without their port",
                queue.host
            ));
        }
        if !queue.public && self.organisations.iter().all(|org| org.keys.is_empty()) {
            reasons
                .push("no caller can use it: it is not public, and there are no keys".to_owned());
        }
        if queue.attempts_max == 0 {
            reasons.push("0 attempts count as 1".to_owned());
        }
        if queue.slack_permille < SLACK_MIN_PERMILLE {
            reasons.push(format!(
                "with a slack of {} thousandths, a job that is long enough is late however it is run",
                queue.slack_permille
            ));
        }
        if let Some(advice) = &queue.advice
            && advice.valid_ms <= advice.decision_ms
        {
            reasons.push(format!(
                "approvals hold for {} ms, which is no longer than the {} ms that a decision takes",
                advice.valid_ms, advice.decision_ms
            ));
        }
        reasons
    }

    fn organisation_warnings(&self, organisation: &Organisation) -> Vec<String> {
        let mut reasons = Vec::new();
        let guaranteed = organisation.guaranteed.accelerators;
        if organisation.keys.is_empty() {
            reasons.push("no caller can act for it: it has no keys".to_owned());
        }
        if organisation.keys.iter().any(|key| key.is_empty()) {
            reasons.push("one of its keys is empty".to_owned());
        }
        if guaranteed > 0 && !self.queues.iter().any(|queue| queue.priority == 0) {
            reasons.push(format!(
                "its {guaranteed} guaranteed accelerators cannot be claimed: no queue has priority 0"
            ));
        }
        let same = self.organisations.iter().filter(|other| other.name == organisation.name);
        if same.count() > 1 {
            reasons.push("another organisation has the same name".to_owned());
        }
        reasons
    }
}
