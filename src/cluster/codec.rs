//! Binary encoding of messages between the system's own processes and of stored state.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) fn encode(value: &impl Serialize) -> Bytes {
    encode_vec(value).into()
}

pub(crate) fn encode_vec(value: &impl Serialize) -> Vec<u8> {
    // Encoding plain structs and enums into memory cannot fail.
    postcard::to_allocvec(value).expect("plain types can be encoded")
}

/// Decodes a value.
///
/// # Errors
/// Returns an error if the bytes are not an encoded `T`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}

/// Version of the layout of messages between processes.
const MESSAGE_VERSION: u8 = 1;

/// Size of a message's header: its version and the checksum of its content.
const MESSAGE_HEADER_BYTES: usize = 1 + size_of::<u32>();

/// Why a message of another process cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub(crate) enum MessageFault {
    #[display(
        "the message has version {version}, and this process reads version {}",
        MESSAGE_VERSION
    )]
    Version { version: u8 },
    #[display("the message is damaged")]
    Damaged,
    #[display("the message has an unknown layout: {reason}")]
    Layout { reason: String },
}

/// Encodes a message to another process, with its version and a checksum.
pub(crate) fn encode_message(value: &impl Serialize) -> Bytes {
    let content = encode(value);
    let mut message = Vec::with_capacity(MESSAGE_HEADER_BYTES + content.len());
    message.push(MESSAGE_VERSION);
    message.extend_from_slice(&checksum(&content));
    message.extend_from_slice(&content);
    message.into()
}

/// Decodes a message of another process.
///
/// # Errors
/// Returns an error if the message has another version, is damaged or has another layout.
pub(crate) fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageFault> {
    let (header, content) =
        bytes.split_at_checked(MESSAGE_HEADER_BYTES).ok_or(MessageFault::Damaged)?;
    let (version, expected) = (header[0], &header[1..]);
    if version != MESSAGE_VERSION {
        return Err(MessageFault::Version { version });
    }
    if checksum(content) != *expected {
        return Err(MessageFault::Damaged);
    }
    decode(content).map_err(|fault| MessageFault::Layout { reason: fault.to_string() })
}

fn checksum(content: &[u8]) -> [u8; 4] {
    crc32fast::hash(content).to_le_bytes()
}
