//! Service documents: guarantees that take effect, or are refused because they do not fit.

use super::document::Guarantees;
use super::limits::{ACCELERATORS_LIMIT, POOL_DISCOVERY_MS};
use super::organisation::GuaranteeId;
use super::packing::RepackScope;
use super::{Decision, JobRecord, Scheduler};

impl Scheduler {
    /// Applies a document, or defers it until the upstreams have had time to announce themselves.
    pub(super) fn on_document(&mut self, document: Guarantees, now_ms: u64) {
        if !self.organisations.is_newer(&document) {
            return;
        }
        if let Some(reason) = oversized_block_reason(&document) {
            return self.refuse_document(document, reason);
        }
        if now_ms < self.started_ms + POOL_DISCOVERY_MS {
            self.pending_documents.push(document);
            return;
        }
        self.apply_document(document, now_ms);
    }

    /// Handles what was deferred until the upstreams had time to announce themselves.
    pub(super) fn on_discovery_ended(&mut self, now_ms: u64) {
        for document in std::mem::take(&mut self.pending_documents) {
            self.on_document(document, now_ms);
        }
        self.refuse_unrunnable(now_ms);
        self.end_jobs_failed_everywhere(now_ms);
        self.queue.retry_all();
    }

    /// Applies a document. If a new block does not fit, all blocks without running guaranteed
    /// work are moved, because their present accelerators may be what it lacks.
    fn apply_document(&mut self, document: Guarantees, now_ms: u64) {
        let before = self.organisations.clone();
        let change = self.organisations.apply(&document);
        let records_before = self.pending_records.len();
        self.persist(JobRecord::Guarantees(document.clone()));
        for (id, guarantee) in &change.removed {
            self.clear_reservation(*id, &guarantee.reservation);
            self.clear_own_guarantee(&guarantee.gangs);
        }
        let mut placed = self.reserve_guarantees(change.added, RepackScope::Unused);
        if placed.is_err() {
            placed = self.repack(RepackScope::Unused, None).map(|_| ());
        }
        if let Err(reason) = placed {
            self.restore(before);
            self.pending_records.truncate(records_before);
            return self.refuse_document(document, reason);
        }
        for id in self.guarantee_ids() {
            self.review_guarantee(id, now_ms);
        }
        self.refuse_unrunnable(now_ms);
        self.queue.retry_all();
    }

    fn refuse_document(&mut self, document: Guarantees, reason: String) {
        let (service, version) = (document.service, document.version);
        self.emit(Decision::DocumentRefused { service, version, reason });
    }

    pub(super) fn guarantee_ids(&self) -> Vec<GuaranteeId> {
        self.organisations.guarantees.keys().copied().collect()
    }

    pub(super) fn clear_own_guarantee<'a>(
        &mut self,
        gangs: impl IntoIterator<Item = &'a super::GangId>,
    ) {
        for gang in gangs {
            self.gangs.get_mut(gang).map(|g| g.own_guarantee.take());
        }
    }
}

fn oversized_block_reason(document: &Guarantees) -> Option<String> {
    let blocks = document
        .organisations
        .iter()
        .flat_map(|(name, sizes)| sizes.iter().map(move |size| (name, *size)));
    let (name, size) = blocks.into_iter().find(|(_, size)| *size > ACCELERATORS_LIMIT)?;
    Some(format!(
        "the guaranteed block of {size} accelerators of {name} exceeds the limit of \
         {ACCELERATORS_LIMIT} adjacent ones"
    ))
}
