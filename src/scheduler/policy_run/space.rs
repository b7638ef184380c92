//! Free accelerators of a data centre, and the places of shapes in them.

use super::scenario::{RACK_WORKERS, WORKER_ACCELERATORS, WORKERS};

/// Accelerators by worker, one bit each; the first half of the workers is one rack.
pub type Free = [u8; WORKERS];

/// Accelerators of one gang by worker.
pub type Place = Vec<(usize, u8)>;

/// Returns every place for a shape, in the order of workers and accelerators.
pub fn places(free: &Free, size: u32) -> Vec<Place> {
    if size <= WORKER_ACCELERATORS {
        let masks = |worker: usize| {
            let step = size.next_power_of_two() as usize;
            let offsets = (0..WORKER_ACCELERATORS).step_by(step);
            let masks = offsets.map(move |offset| aligned(offset, size));
            masks.filter(move |mask| free[worker] & mask == *mask)
        };
        return (0..WORKERS).flat_map(|w| masks(w).map(move |mask| vec![(w, mask)])).collect();
    }
    let count = size.div_ceil(WORKER_ACCELERATORS) as usize;
    let starts = (0..WORKERS).filter(|start| start % RACK_WORKERS + count <= RACK_WORKERS);
    let whole = starts.filter(|start| free[*start..start + count].iter().all(|m| *m == u8::MAX));
    whole.map(|start| (start..start + count).map(|w| (w, u8::MAX)).collect()).collect()
}

fn aligned(offset: u32, size: u32) -> u8 {
    let ones = u8::MAX >> (WORKER_ACCELERATORS - size);
    ones << offset
}

/// Counts the free accelerators that no place of any of the shapes covers.
pub fn unusable(free: &Free, sizes: impl Iterator<Item = u32>) -> u32 {
    let mut left = *free;
    for size in sizes {
        for (worker, mask) in places(free, size).into_iter().flatten() {
            left[worker] &= !mask;
        }
    }
    left.iter().map(|mask| mask.count_ones()).sum()
}
