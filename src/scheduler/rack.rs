//! One rack: its positions, and the search for adjacent accelerators.

use smallvec::SmallVec;

use super::Mask;
use super::limits::UPSTREAM_BLOCK_LIMIT;
use super::pool::{Upstream, UpstreamIx};
use crate::names::RackName;

/// Accelerators on one or more adjacent upstreams of a rack.
pub type Block = SmallVec<[(UpstreamIx, Mask); 1]>;

/// Which accelerators a search may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CapacityView {
    /// Free accelerators outside guaranteed blocks.
    FreeUnreserved,
    /// Free accelerators, including those of guaranteed blocks that may be lent.
    Lendable,
    /// Every accelerator of [`Self::Layout`] outside guaranteed blocks, whether free or not.
    Unreserved,
    /// Every accelerator of the layout, whether free or not. The layout is all mounted upstreams,
    /// including lost ones within their retention time.
    Layout,
}

/// A rack with the upstreams mounted in it.
#[derive(Debug)]
pub struct Rack {
    /// Name of the rack.
    pub name: RackName,
    /// Upstreams by position.
    pub positions: Vec<Option<UpstreamIx>>,
}

impl Rack {
    /// Builds an empty rack.
    pub const fn new(name: RackName) -> Self {
        Self { name, positions: Vec::new() }
    }

    /// Returns the upstream at `position`.
    pub fn upstream_at(&self, position: u32) -> Option<UpstreamIx> {
        self.positions.get(position as usize).copied().flatten()
    }

    /// Mounts or unmounts the upstream at `position`.
    pub fn set_position(&mut self, position: u32, upstream: Option<UpstreamIx>) {
        let position = position as usize;
        if self.positions.len() <= position {
            self.positions.resize(position + 1, None);
        }
        self.positions[position] = upstream;
    }

    /// Returns the runs of adjacent upstreams that are fully available.
    pub fn runs<'a>(
        &'a self,
        upstreams: &'a [Upstream],
        view: CapacityView,
    ) -> impl Iterator<Item = &'a [Option<UpstreamIx>]> {
        self.positions
            .split(move |slot| !slot.is_some_and(|ix| upstreams[ix.get()].is_fully_available(view)))
            .filter(|run| !run.is_empty())
    }

    /// Returns the size of the largest run, in accelerators.
    pub fn longest_run(&self, upstreams: &[Upstream], view: CapacityView) -> u32 {
        let sizes = self.runs(upstreams, view).map(|run| accelerators(run, upstreams));
        sizes.max().unwrap_or(0)
    }

    /// Returns every choice of whole adjacent upstreams for `count` accelerators, with the size of
    /// the run that it is taken from.
    pub fn windows(
        &self,
        upstreams: &[Upstream],
        count: u32,
        view: CapacityView,
    ) -> Vec<(u32, Block)> {
        let runs = self.runs(upstreams, view);
        let windows = runs.flat_map(|run| {
            let size = accelerators(run, upstreams);
            let starts = (0..run.len()).filter_map(|i| window(&run[i..], upstreams, count, &[]));
            starts.map(move |block| (size, block)).collect::<Vec<_>>()
        });
        windows.collect()
    }

    /// Finds whole adjacent upstreams for `count` accelerators in the smallest run that fits.
    pub fn find_run(
        &self,
        upstreams: &[Upstream],
        count: u32,
        view: CapacityView,
        avoid: &[UpstreamIx],
    ) -> Option<Block> {
        let runs = self.runs(upstreams, view);
        let windows = runs.filter_map(|run| {
            let block = window(run, upstreams, count, avoid)?;
            Some((accelerators(run, upstreams), block))
        });
        windows.min_by_key(|(size, _)| *size).map(|(_, block)| block)
    }
}

fn accelerators(run: &[Option<UpstreamIx>], upstreams: &[Upstream]) -> u32 {
    run.iter().flatten().map(|ix| upstreams[ix.get()].accelerators).sum()
}

/// Returns the first part of `run` that has `count` accelerators and no avoided upstream.
fn window(
    run: &[Option<UpstreamIx>],
    upstreams: &[Upstream],
    count: u32,
    avoid: &[UpstreamIx],
) -> Option<Block> {
    let mut block = Block::new();
    let mut size = 0;
    for ix in run.iter().flatten().copied() {
        if avoid.contains(&ix) {
            block.clear();
            size = 0;
            continue;
        }
        let upstream = &upstreams[ix.get()];
        block.push((ix, upstream.whole_mask()));
        size += upstream.accelerators;
        if size >= count {
            return Some(block);
        }
    }
    None
}

/// Returns the mask of `count` accelerators from `offset` on.
pub const fn mask_at(offset: u32, count: u32) -> Mask {
    let ones = if count >= Mask::BITS { Mask::MAX } else { (1 << count) - 1 };
    ones << offset
}

/// Returns every aligned range of `count` ≤ 8 accelerators in `free`.
pub fn aligned_masks(free: Mask, count: u32) -> impl Iterator<Item = Mask> {
    let offsets = (0..Mask::BITS).step_by(count.next_power_of_two() as usize);
    let masks = offsets.map(move |offset| mask_at(offset, count));
    masks.filter(move |mask| free & mask == *mask)
}

/// Finds the aligned range of `count` ≤ 8 accelerators in `free` that breaks up the fewest larger
/// free blocks.
pub fn find_aligned(free: Mask, count: u32) -> Option<Mask> {
    let step = count.next_power_of_two();
    aligned_masks(free, count).min_by_key(|mask| broken_blocks(free, mask.trailing_zeros(), step))
}

/// Counts the fully free aligned blocks of at least `step` accelerators that contain `offset`.
fn broken_blocks(free: Mask, offset: u32, step: u32) -> u32 {
    let mut broken = 0;
    let mut size = step;
    while size <= UPSTREAM_BLOCK_LIMIT {
        let block = mask_at(offset / size * size, size);
        broken += u32::from(free & block == block);
        size *= 2;
    }
    broken
}

/// Returns the largest count ≤ 8 for which `free` has an aligned range.
pub fn largest_aligned_count(free: Mask) -> u32 {
    (1..=UPSTREAM_BLOCK_LIMIT).rev().find(|n| aligned_masks(free, *n).next().is_some()).unwrap_or(0)
}
