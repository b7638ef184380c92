//! The part of a service document that concerns jobs.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::names::{OrganisationName, ServiceName};

/// Guaranteed blocks of the organisations of one service document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guarantees {
    /// Service of the document.
    pub service: ServiceName,
    /// Version of the document; a version that is not newer is ignored.
    pub version: u64,
    /// Sizes of the guaranteed blocks, in accelerators, by organisation.
    pub organisations: Vec<(OrganisationName, SmallVec<[u32; 4]>)>,
}
