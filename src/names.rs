//! Validated names and request keys, stored as shared strings that are cheap to clone.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes; names appear in headers, metric labels and log fields.
pub const NAME_LIMIT_BYTES: usize = 64;

/// Longest accepted identifier after the data centre in a [`RequestKey`], in bytes.
pub const KEY_ID_LIMIT_BYTES: usize = 128;

/// A name or key that does not match its format.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
#[display("{kind} {text:?} is not valid: {rule}")]
pub struct InvalidName {
    kind: &'static str,
    text: String,
    rule: &'static str,
}

const NAME_RULE: &str = "use 1 to 64 letters, digits, '-', '_' or '.'";
const KEY_RULE: &str =
    "use DATA_CENTRE/ID with an ID of 1 to 128 letters, digits, '-', '_', '.' or ':'";

fn is_name(text: &str, limit_bytes: usize, extra: &[char]) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c) || extra.contains(&c);
    !text.is_empty() && text.len() <= limit_bytes && text.chars().all(allowed)
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, InvalidName> {
                if is_name(text, NAME_LIMIT_BYTES, &[]) {
                    Ok(Self(text.into()))
                } else {
                    Err(InvalidName { kind: $kind, text: text.to_owned(), rule: NAME_RULE })
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(text: String) -> Result<Self, InvalidName> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }
    };
}

name!(
    /// Name of a machine that runs a process of the system.
    HostName, "host name"
);
name!(
    /// Name of a data centre.
    DataCentreName, "data centre name"
);
name!(
    /// Name of an organisation that holds guarantees and sends work.
    OrganisationName, "organisation name"
);
name!(
    /// Name under which an upstream announces itself.
    UpstreamName, "upstream name"
);
name!(
    /// Name of a service, which has one service document.
    ServiceName, "service name"
);
name!(
    /// Name of a rack of upstreams within a data centre.
    RackName, "rack name"
);
name!(
    /// Name of a job shape within a service document.
    ShapeName, "shape name"
);
name!(
    /// Name of a job, chosen by the caller and unique within a data centre.
    JobName, "job name"
);

/// Key of a caller's request: the data centre that owns it and the caller's identifier.
///
/// Resends have the same key, and only the owning data centre decides whether the request runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{data_centre}/{id}")]
#[serde(try_from = "String", into = "String")]
pub struct RequestKey {
    data_centre: DataCentreName,
    id: Arc<str>,
}

impl RequestKey {
    /// Builds a key from its two parts.
    ///
    /// # Errors
    /// Returns an error if `id` is empty, too long or has characters outside the allowed set.
    pub fn new(data_centre: DataCentreName, id: &str) -> Result<Self, InvalidName> {
        if is_name(id, KEY_ID_LIMIT_BYTES, &[':']) {
            Ok(Self { data_centre, id: id.into() })
        } else {
            Err(InvalidName { kind: "request key", text: id.to_owned(), rule: KEY_RULE })
        }
    }

    /// Returns the data centre that owns this key.
    #[must_use]
    pub fn data_centre(&self) -> &DataCentreName {
        &self.data_centre
    }

    /// Returns the caller's part of the key.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }
}

impl FromStr for RequestKey {
    type Err = InvalidName;

    fn from_str(text: &str) -> Result<Self, InvalidName> {
        let invalid = || InvalidName { kind: "request key", text: text.to_owned(), rule: KEY_RULE };
        let (data_centre, id) = text.split_once('/').ok_or_else(invalid)?;
        Self::new(data_centre.parse()?, id)
    }
}

impl TryFrom<String> for RequestKey {
    type Error = InvalidName;

    fn try_from(text: String) -> Result<Self, InvalidName> {
        text.parse()
    }
}

impl From<RequestKey> for String {
    fn from(key: RequestKey) -> Self {
        key.to_string()
    }
}
