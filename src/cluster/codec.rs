//! Binary encoding of messages between the system's own processes and of stored state.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) fn encode(value: &impl Serialize) -> Bytes {
    // Encoding plain structs and enums into memory cannot fail.
    postcard::to_allocvec(value).expect("plain types can be encoded").into()
}

/// Decodes a value.
///
/// # Errors
/// Returns an error if the bytes are not an encoded `T`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
