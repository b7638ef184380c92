//! Processor time and memory of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

use eyre::{OptionExt, eyre};

/// Length of a tick in `/proc/PID/stat`; Linux reports 100 ticks a second to user space.
const TICK: Duration = Duration::from_millis(10);

/// Returns the processor time that a process has used.
pub(crate) fn processor_time(pid: u32) -> eyre::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The second field is the program name in parentheses, which may contain spaces.
    let (_, rest) = stat.rsplit_once(')').ok_or_eyre("/proc/PID/stat has no program name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| -> eyre::Result<u32> {
        Ok(fields.get(index).ok_or_eyre("/proc/PID/stat has no processor time")?.parse()?)
    };
    Ok(TICK * (ticks(11)? + ticks(12)?))
}

/// Returns a value of `/proc/PID/status`: `VmRSS` and `VmHWM` in bytes, `Threads` as a count.
pub(crate) fn proc_status(pid: u32, name: &str) -> eyre::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let line = line.ok_or_else(|| eyre!("/proc/{pid}/status has no {name}"))?;
    match line.trim().strip_suffix(" kB") {
        Some(kib) => Ok(kib.trim().parse::<u64>()? * 1024),
        None => Ok(line.trim().parse()?),
    }
}
