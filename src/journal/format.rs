//! Layout of records on disk: length u32, crc32 u32, index u64, kind u8, payload.
//!
//! Numbers are little-endian. The checksum covers the length, index, kind and payload. The high
//! bit of the stored kind marks the first record of a write. All data before such a record was
//! synced earlier. The records of one unsynced write, however, can reach the disk in any order.

use std::io::{self, Write};

use super::Record;

/// Size of the header in front of each payload.
pub(super) const HEADER_BYTES: usize = 17;

/// Size limit of a payload; a larger length in a file means corruption.
pub(super) const PAYLOAD_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Bit of the stored kind that marks the first record of a write.
pub(super) const FIRST_OF_WRITE: u8 = 0x80;

/// Writes an encoded record; writing to memory cannot fail.
pub(super) fn write(
    out: &mut impl Write,
    index: u64,
    stored_kind: u8,
    payload: &[u8],
) -> io::Result<()> {
    let length = u32::try_from(payload.len()).expect("payloads are bounded before they are queued");
    let crc = checksum(length, index, stored_kind, payload);
    out.write_all(&length.to_le_bytes())?;
    out.write_all(&crc.to_le_bytes())?;
    out.write_all(&index.to_le_bytes())?;
    out.write_all(&[stored_kind])?;
    out.write_all(payload)
}

/// Appends an encoded record to `out`.
pub(super) fn encode(out: &mut Vec<u8>, index: u64, stored_kind: u8, payload: &[u8]) {
    write(out, index, stored_kind, payload).expect("memory can be written");
}

fn checksum(length: u32, index: u64, stored_kind: u8, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    hasher.update(&[stored_kind]);
    hasher.update(payload);
    hasher.finalize()
}

/// A valid record found in a file.
#[derive(Debug)]
pub(super) struct Decoded {
    pub(super) record: Record,
    pub(super) first_of_write: bool,
    pub(super) size_bytes: usize,
}

/// Decodes the record at the start of `bytes`.
///
/// Returns `None` if it is incomplete, its checksum is wrong or its index is not in `indexes`.
pub(super) fn decode(bytes: &[u8], indexes: std::ops::RangeInclusive<u64>) -> Option<Decoded> {
    let header = bytes.get(..HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[0..4].try_into().ok()?);
    let crc = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let index = u64::from_le_bytes(header[8..16].try_into().ok()?);
    let stored_kind = header[16];
    let size = usize::try_from(length).ok()?;
    if size > PAYLOAD_LIMIT_BYTES || !indexes.contains(&index) {
        return None;
    }
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + size)?;
    if checksum(length, index, stored_kind, payload) != crc {
        return None;
    }
    Some(Decoded {
        record: Record { index, kind: stored_kind & !FIRST_OF_WRITE, payload: payload.to_vec() },
        first_of_write: stored_kind & FIRST_OF_WRITE != 0,
        size_bytes: HEADER_BYTES + size,
    })
}

/// Result of scanning a file.
#[derive(Debug)]
pub(super) struct Scan {
    pub(super) records: Vec<Record>,
    /// Length of the valid part, in bytes.
    pub(super) valid_bytes: usize,
    /// Offset of a synced record after the first invalid byte, which proves corruption.
    pub(super) synced_after: Option<usize>,
}

/// Reads records with consecutive indexes from `first_index` on.
pub(super) fn scan(bytes: &[u8], first_index: u64) -> Scan {
    let mut records = Vec::new();
    let mut offset = 0;
    let mut next = first_index;
    while let Some(found) = decode(&bytes[offset..], next..=next) {
        offset += found.size_bytes;
        next += 1;
        records.push(found.record);
    }
    let synced_after = find_synced_after(bytes, offset, next);
    Scan { records, valid_bytes: offset, synced_after }
}

/// Returns the offset of a record after `offset` that begins a later write.
///
/// A valid record that does not begin a write belongs to the torn write itself.
fn find_synced_after(bytes: &[u8], offset: usize, next: u64) -> Option<usize> {
    let records_max = (bytes.len() - offset) / HEADER_BYTES;
    let indexes = next..=next.saturating_add(records_max as u64);
    (offset + 1..bytes.len())
        .find(|at| decode(&bytes[*at..], indexes.clone()).is_some_and(|found| found.first_of_write))
}
