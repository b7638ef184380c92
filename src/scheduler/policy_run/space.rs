//! Free accelerators of a data centre, and the placements of gangs in them.

use super::scenario::{RACK_WORKERS, WORKER_ACCELERATORS, WORKERS};

/// Mask of accelerators for each worker; the first half of the workers is one rack.
pub type WorkerMasks = [u8; WORKERS];

/// Workers of one gang, each with the mask of its accelerators.
pub type Placement = Vec<(usize, u8)>;

/// Returns every placement of a gang of `size` accelerators, in the order of workers and
/// accelerators.
pub fn placements(free: &WorkerMasks, size: u32) -> Vec<Placement> {
    if size <= WORKER_ACCELERATORS {
        let masks = |worker: usize| {
            let step = size.next_power_of_two() as usize;
            let offsets = (0..WORKER_ACCELERATORS).step_by(step);
            let masks = offsets.map(move |offset| aligned_mask(offset, size));
            masks.filter(move |mask| free[worker] & mask == *mask)
        };
        return (0..WORKERS).flat_map(|w| masks(w).map(move |mask| vec![(w, mask)])).collect();
    }
    let count = size.div_ceil(WORKER_ACCELERATORS) as usize;
    let starts = (0..WORKERS).filter(|start| start % RACK_WORKERS + count <= RACK_WORKERS);
    let whole = starts.filter(|start| free[*start..start + count].iter().all(|m| *m == u8::MAX));
    whole.map(|start| (start..start + count).map(|w| (w, u8::MAX)).collect()).collect()
}

fn aligned_mask(offset: u32, size: u32) -> u8 {
    let ones = u8::MAX >> (WORKER_ACCELERATORS - size);
    ones << offset
}

/// Returns the number of free accelerators that no placement of a gang of any of the sizes covers.
pub fn unusable_count(free: &WorkerMasks, sizes: impl Iterator<Item = u32>) -> u32 {
    let mut uncovered = *free;
    for size in sizes {
        for (worker, mask) in placements(free, size).into_iter().flatten() {
            uncovered[worker] &= !mask;
        }
    }
    uncovered.iter().map(|mask| mask.count_ones()).sum()
}
