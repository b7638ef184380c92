//! Encoding of what the system's own processes exchange and store.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a value.
pub(crate) fn encode(value: &impl Serialize) -> Bytes {
    // The types in use are plain structs and enums, for which encoding into memory cannot fail.
    postcard::to_allocvec(value).expect("plain types can be encoded").into()
}

/// Decodes a value.
///
/// # Errors
/// Returns an error if the bytes hold no such value.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
