//! What operators see of the organisations' shares: metrics, log lines, and a job's place in the order.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use tracing::info;

use super::Leader;
use crate::cluster::clock::{boot_ms, unix_ms};
use crate::placement::{Approvals, ShareFigures, View, standing};
use crate::tasks::{Job, State};

/// Time after which an organisation that stays beyond its part is logged again.
const LOG_AGAIN_MS: u64 = 10_000;

impl Leader {
    /// Sets the gauges of the shares, and logs organisations that have their fair part.
    pub(super) fn note_shares(&self, shares: &[ShareFigures]) {
        self.replica.metrics.set_shares(shares);
        let now_ms = boot_ms();
        let mut term_state = self.term_state();
        let logged = &mut term_state.shares_logged;
        logged.retain(|_, at_ms| now_ms < *at_ms + LOG_AGAIN_MS);
        for share in shares {
            let Some(fair_permille) = share.fair_permille else { continue };
            let key = (Arc::clone(&share.service), Arc::clone(&share.organisation));
            if share.used_permille < fair_permille || logged.insert(key, now_ms).is_some() {
                continue;
            }
            info!(
                service = %share.service, organisation = %share.organisation,
                used_permille = share.used_permille, fair_permille,
                "organisation has its fair part; its further work goes after that of others"
            );
        }
    }

    /// Returns a line on the place of a job in the order of waiting work, if it waits.
    pub(super) fn explain_place(&self, state: &State, now_ms: u64, job: &Job) -> Option<String> {
        let hosts = self.hosts(state, boot_ms());
        let learned = Arc::clone(&self.term_state().learned);
        let standing = standing(
            &View {
                state,
                hosts: &hosts,
                now_ms,
                unix_ms: unix_ms(),
                stopping: &HashSet::new(),
                progress: &HashMap::new(),
                avoid: &HashSet::new(),
                approvals: &Approvals::default(),
                learned: &learned,
                reserve_millihosts: 0,
                stop_ms: self.bounds.stop_timeout_ms,
                weighs_stops: self.weighs_stops,
                jobs_max_bytes: self.bounds.jobs_max_bytes(),
            },
            job,
        )?;
        let mut facts = vec![format!("place {} of {}", standing.place, standing.waiting)];
        if let Some(ShareFigures { used_permille, fair_permille, .. }) = standing.share {
            facts.push(format!("its organisation uses {used_permille} permille beyond guarantees"));
            facts.extend(fair_permille.map(|fair| format!("its fair part is {fair} permille")));
        }
        if standing.beyond_share {
            facts.push("it goes after the work of organisations that have less".to_owned());
        }
        Some(format!("{}: {}", job.id, facts.join("; ")))
    }
}
