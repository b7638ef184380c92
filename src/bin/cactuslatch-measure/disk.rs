//! The disk's own sync time, the floor under every durable record.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Size of the written block: a begun record in the journal takes about this much.
pub(crate) const BLOCK_BYTES: usize = 512;

/// Appends `count` blocks to a file in `folder`, each synced, and records the time of each.
pub(crate) fn sync_times(folder: &Path, count: u32, into: &mut Histogram<u64>) -> eyre::Result<()> {
    let path = folder.join("sync-probe");
    let mut file = File::create(&path)?;
    let block = [0x5a_u8; BLOCK_BYTES];
    for _ in 0..count {
        let started = Instant::now();
        file.write_all(&block)?;
        file.sync_data()?;
        into.record(u64::try_from(started.elapsed().as_nanos())?)?;
    }
    std::fs::remove_file(path)?;
    Ok(())
}
