//! Identities of jobs, tasks and units.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identity of a job, chosen by its caller.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
pub struct JobId(Arc<str>);

/// Number of hexadecimal digits in a job's identity.
const JOB_ID_DIGITS: usize = 16;

impl FromStr for JobId {
    type Err = InvalidTaskId;

    fn from_str(text: &str) -> Result<Self, InvalidTaskId> {
        let valid =
            text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if valid { Ok(Self(text.into())) } else { Err(InvalidTaskId) }
    }
}

/// A text is not the identity of a job or task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("not the identity of a job or task")]
pub struct InvalidTaskId;

/// One task of one occurrence of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job of the task.
    pub job: JobId,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Index among the tasks of the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = InvalidTaskId;

    fn from_str(text: &str) -> Result<Self, InvalidTaskId> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(InvalidTaskId)?.parse()?;
        let mut number = || -> Result<u32, InvalidTaskId> {
            parts.next().and_then(|part| part.parse().ok()).ok_or(InvalidTaskId)
        };
        let (occurrence, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(InvalidTaskId);
        }
        Ok(Self { job, occurrence, step, index })
    }
}

/// Unit of scheduling: a single task, or a gang as a whole.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnitId {
    /// Job of the unit.
    pub job: JobId,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Index of the task; 0 for a gang.
    pub unit: u32,
}

impl UnitId {
    /// Returns the task of a member of the unit; a single task has only member 0.
    pub(crate) fn task(&self, member: u32) -> TaskId {
        let index = self.unit + member;
        TaskId { job: self.job.clone(), occurrence: self.occurrence, step: self.step, index }
    }
}

impl fmt::Display for UnitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.unit)
    }
}
