//! Sync time of the bare disk, the lower bound for storing a durable record.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Size of a written block, about that of the journal record of an intent.
pub(crate) const BLOCK_BYTES: usize = 512;

/// Appends `count` blocks to a file in `folder`, syncs each and records the times in nanoseconds.
pub(crate) fn sync_times(
    folder: &Path,
    count: u32,
    times: &mut Histogram<u64>,
) -> eyre::Result<()> {
    let path = folder.join("sync-probe");
    let mut file = File::create(&path)?;
    let block = [0x5a_u8; BLOCK_BYTES];
    for _ in 0..count {
        let started = Instant::now();
        file.write_all(&block)?;
        file.sync_data()?;
        times.record(u64::try_from(started.elapsed().as_nanos())?)?;
    }
    std::fs::remove_file(path)?;
    Ok(())
}
