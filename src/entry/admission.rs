//! Admission control: concurrency and rate limits of each organisation.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::time::Instant;

use crate::config::Organisation;
use crate::names::{OrganisationName, ServiceName};
use crate::outcome::{NotRun, NotRunCause};

type Tenant = (ServiceName, OrganisationName);

/// Concurrency and token bucket of each organisation and service at this host.
#[derive(Debug, Clone, Default)]
pub(crate) struct Admission {
    tenants: Arc<Mutex<BTreeMap<Tenant, Usage>>>,
}

#[derive(Debug)]
struct Usage {
    in_flight: u32,
    tokens: f64,
    refilled_at: Instant,
}

/// Counts one admitted request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    admission: Admission,
    tenant: Tenant,
}

impl Admission {
    /// Admits one request of an organisation under the limits of the service document.
    pub(crate) fn admit(
        &self,
        service: &ServiceName,
        limits: &Organisation,
    ) -> Result<AdmissionPermit, NotRun> {
        let tenant = (service.clone(), limits.name.clone());
        let rate = f64::from(limits.requests_per_s);
        let mut tenants = self.tenants.lock().expect("no panic while admission is locked");
        let usage = tenants.entry(tenant.clone()).or_insert_with(|| Usage::new(rate));
        usage.refill(rate);
        if usage.in_flight >= limits.concurrency_max {
            let max = limits.concurrency_max;
            return Err(over_limit(&limits.name, &format!("{max} requests in flight")));
        }
        if usage.tokens < 1.0 {
            return Err(over_limit(&limits.name, &format!("{rate} requests a second")));
        }
        usage.tokens -= 1.0;
        usage.in_flight += 1;
        drop(tenants);
        Ok(AdmissionPermit { admission: self.clone(), tenant })
    }
}

fn over_limit(organisation: &OrganisationName, limit: &str) -> NotRun {
    let detail = format!("organisation {organisation} is at its limit of {limit} at this host");
    NotRun::new(NotRunCause::OverLimit, detail)
}

impl Usage {
    fn new(rate: f64) -> Self {
        Self { in_flight: 0, tokens: rate, refilled_at: Instant::now() }
    }

    /// Adds the tokens earned since the last call, up to those of one second.
    fn refill(&mut self, rate: f64) {
        let now = Instant::now();
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * rate).min(rate.max(1.0));
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut tenants = self.admission.tenants.lock().expect("no panic while locked");
        if let Some(usage) = tenants.get_mut(&self.tenant) {
            usage.in_flight -= 1;
        }
    }
}
