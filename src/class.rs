//! Classes of work, which decide who goes first.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Class of a request or job; interactive work goes before batch work.
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
    /// Somebody waits for the answer.
    #[default]
    #[display("interactive")]
    Interactive,
    /// Nobody waits; runs with what interactive work leaves, and with a small share at least.
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
