//! A job as callers submit it.

use serde::{Deserialize, Serialize};

use crate::config::{JobShape, ServiceDocument};
use crate::names::{JobName, OrganisationName, ServiceName, ShapeName};
use crate::outcome::{NotRun, NotRunCause};
use crate::scheduler::JobSpec;
use crate::upstream_http::GangWork;

/// Longest `kind`; it is stored with each job and is a key of the learned run times.
const KIND_LIMIT_BYTES: usize = 64;

/// Body of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Submission {
    pub(crate) name: JobName,
    pub(crate) organisation: OrganisationName,
    pub(crate) service: ServiceName,
    /// Number of adjacent accelerators, unless a shape gives it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    accelerators: Option<u32>,
    /// Shape of the service document that gives what the submission leaves out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    shape: Option<ShapeName>,
    #[serde(default)]
    guaranteed: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    can_checkpoint: Option<bool>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    can_stop: Option<bool>,
    #[serde(default)]
    kind: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    declared_run_ms: Option<u64>,
    /// Time for which the stand-in runs each member, in milliseconds.
    #[serde(default)]
    run_ms: u64,
    /// Whether each member on the stand-in fails at its end.
    #[serde(default)]
    fails: bool,
}

/// A submission completed from the document of its service.
#[derive(Debug)]
pub(super) struct ResolvedSubmission {
    pub(super) spec: JobSpec,
    /// Whether the job may wait; otherwise it is refused unless it starts at once.
    pub(super) may_wait: bool,
}

impl Submission {
    /// Parses a submission from JSON.
    ///
    /// # Errors
    /// Returns a message that names the unknown, missing or malformed key.
    pub(crate) fn parse(json: &str) -> Result<Self, NotRun> {
        let submission: Self = serde_json::from_str(json)
            .map_err(|fault| bad_request(format!("the job cannot be read: {fault}")))?;
        if submission.kind.len() > KIND_LIMIT_BYTES {
            return Err(bad_request(format!("kind is longer than {KIND_LIMIT_BYTES} bytes")));
        }
        Ok(submission)
    }

    /// Returns the work that upstreams run.
    pub(super) const fn work(&self) -> GangWork {
        GangWork { run_ms: self.run_ms, fails: self.fails }
    }

    /// Returns the job that the core schedules.
    ///
    /// # Errors
    /// Returns why the job does not fit the document of its service.
    pub(super) fn resolve(
        &self,
        document: Option<&ServiceDocument>,
    ) -> Result<ResolvedSubmission, NotRun> {
        let shape = self.find_shape(self.check_organisation(document)?)?;
        let accelerators = match (self.accelerators, shape) {
            (Some(accelerators), None) => accelerators,
            (None, Some(shape)) => shape.accelerators,
            (None, None) => {
                return Err(bad_request("the job needs either accelerators or a shape"));
            }
            (Some(_), Some(_)) => {
                return Err(bad_request(
                    "the job has both accelerators and a shape; give one of them",
                ));
            }
        };
        let can_checkpoint = shape.is_some_and(|shape| shape.can_checkpoint);
        let can_stop = shape.is_some_and(|shape| shape.can_stop);
        let spec = JobSpec {
            name: self.name.clone(),
            organisation: self.organisation.clone(),
            service: self.service.clone(),
            accelerators,
            guaranteed: self.guaranteed,
            can_checkpoint: self.can_checkpoint.unwrap_or(can_checkpoint),
            can_stop: self.can_stop.unwrap_or(can_stop),
            kind: self.kind.clone(),
            declared_run_ms: self.declared_run_ms,
        };
        Ok(ResolvedSubmission { spec, may_wait: shape.is_none_or(|shape| shape.may_wait) })
    }

    /// Checks the organisation. Entry hosts check it too, but receive a document later.
    fn check_organisation<'a>(
        &self,
        document: Option<&'a ServiceDocument>,
    ) -> Result<&'a ServiceDocument, NotRun> {
        let (service, organisation) = (&self.service, &self.organisation);
        let document = document.ok_or_else(|| {
            let detail = format!("service {service} has no document in this data centre");
            NotRun::new(NotRunCause::UnknownService, detail)
        })?;
        let known = document.organisations.iter().any(|known| known.name == *organisation);
        known.then_some(document).ok_or_else(|| {
            let detail = format!("organisation {organisation} has no part in service {service}");
            NotRun::new(NotRunCause::Forbidden, detail)
        })
    }

    fn find_shape<'a>(
        &self,
        document: &'a ServiceDocument,
    ) -> Result<Option<&'a JobShape>, NotRun> {
        let Some(name) = &self.shape else { return Ok(None) };
        let shape = document.job_shapes.iter().find(|shape| shape.name == *name);
        let missing = || {
            bad_request(format!("the document of service {} has no job shape {name}", self.service))
        };
        shape.map(Some).ok_or_else(missing)
    }
}

fn bad_request(detail: impl Into<String>) -> NotRun {
    NotRun::new(NotRunCause::BadRequest, detail)
}
