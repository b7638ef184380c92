//! The epoch: a counter in the data folder that is incremented at each start.

use std::fs;
use std::io;
use std::path::Path;

use crate::StepError;
use crate::journal::replace_file;

const FILE: &str = "epoch";

/// Increments the epoch and returns it once it is durable.
///
/// # Errors
/// Returns an error if the file is unreadable, or missing although the folder holds records.
pub(super) fn next(folder: &Path, has_records: bool) -> Result<u64, StepError> {
    let path = folder.join(FILE);
    let failed = |fault: io::Error| StepError::new("raise the epoch", path.display(), fault);
    let last = match fs::read_to_string(&path) {
        Ok(text) => text.trim().parse().map_err(|fault| {
            let text = format!("{text:?} is not an epoch: {fault}");
            StepError::new("raise the epoch", path.display(), text)
        })?,
        Err(fault) if fault.kind() == io::ErrorKind::NotFound && !has_records => 0,
        Err(fault) => return Err(failed(fault)),
    };
    let next: u64 = last + 1;
    replace_file(&path, format!("{next}\n").as_bytes()).map_err(failed)?;
    Ok(next)
}
