//! Mix of a site with many short urgent gangs, whose callers estimate badly.

use super::{KINDS, Kind, MIX};

/// Callers' estimates are off by up to the given share, and 3% of the tasks take seven times as long.
pub(super) const SHORT_GANGS: [Kind; KINDS] = [
    Kind {
        per_s: 1.33,
        tasks: (4.2, 32),
        cpu_millicores: 3_700,
        accelerators: &[1, 2, 4, 8],
        run_ms: 2_100.0,
        estimate_error: Some(0.5),
        ..MIX[0]
    },
    Kind {
        per_s: 0.2,
        tasks: (10.2, 78),
        cpu_millicores: 13_000,
        accelerators: &[1, 2, 4, 8],
        run_ms: 9_400.0,
        estimate_error: Some(0.2),
        ..MIX[1]
    },
    Kind {
        per_s: 0.255,
        tasks: (30.0, 230),
        cpu_millicores: 2_800,
        run_ms: 8_100.0,
        estimate_error: Some(0.9),
        ..MIX[2]
    },
];
