//! Priority classes of work.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Priority class of a request or job; interactive work is dispatched before batch work.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    Serialize,
    Deserialize,
    Default,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Work whose result a user waits for.
    #[default]
    #[display("interactive")]
    Interactive,
    /// Work that uses capacity left by interactive work, and has a small guaranteed share.
    #[display("batch")]
    Batch,
}

/// A class name that is neither `interactive` nor `batch`.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
#[display("{_0:?} is not a class: use interactive or batch")]
pub struct InvalidClass(#[error(not(source))] String);

impl FromStr for Class {
    type Err = InvalidClass;

    fn from_str(text: &str) -> Result<Self, InvalidClass> {
        match text {
            "interactive" => Ok(Self::Interactive),
            "batch" => Ok(Self::Batch),
            other => Err(InvalidClass(other.to_owned())),
        }
    }
}
