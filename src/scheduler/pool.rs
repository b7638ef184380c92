//! The upstreams of the data centre, and indices that find free capacity without a scan.

mod announcements;

use std::collections::{BTreeMap, BTreeSet};

pub use announcements::AnnounceOutcome;
use smallvec::SmallVec;

use super::Mask;
use super::event::{Announcement, GangId};
use super::free_index::FreeIndex;
use super::limits::{RACK_POSITIONS_LIMIT, UPSTREAM_BLOCK_LIMIT};
use super::organisation::GuaranteeId;
use super::rack::{Block, CapacityView, Rack, find_aligned, mask_at};
use crate::names::{RackName, UpstreamName};

/// Index of an upstream in the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamIx(pub u32);

impl UpstreamIx {
    /// Returns the index into a slice of upstreams.
    pub const fn get(self) -> usize {
        self.0 as usize
    }
}

/// Index of a rack in the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RackIx(pub u32);

impl RackIx {
    /// Returns the index into a slice of racks.
    pub const fn get(self) -> usize {
        self.0 as usize
    }
}

/// An upstream with the accelerators that gangs hold on it.
#[derive(Debug)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Latest known incarnation.
    pub incarnation: u64,
    /// Rack of the upstream.
    pub rack: RackIx,
    /// Position in the rack.
    pub position: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether the upstream holds its position in the rack.
    pub mounted: bool,
    /// Whether the upstream has announced itself and has not been lost since.
    pub live: bool,
    /// Latest incarnation that is leaving.
    pub leaving: Option<u64>,
    /// Whether the upstream gets no new work because of refusals or failures.
    pub suspended: bool,
    /// Accelerators held by gangs.
    pub used: Mask,
    /// Accelerators of gangs that can be neither checkpointed nor stopped and are not ending.
    pub non_reclaimable: Mask,
    /// Accelerators that belong to guaranteed blocks.
    pub reserved: Mask,
    /// Accelerators of guaranteed blocks at risk, which are not lent.
    pub withheld: Mask,
    /// Accelerators that waiting guaranteed work has claimed from borrowers.
    pub claimed: Mask,
    /// Accelerators that are drained for a waiting job; only work that can be stopped starts there.
    pub draining: Mask,
    /// Accelerators that a waiting job gets once they are free.
    pub drained: Mask,
    /// Guaranteed blocks with accelerators here.
    pub guarantees: SmallVec<[(GuaranteeId, Mask); 2]>,
    /// Gangs with a member here.
    pub gangs: SmallVec<[(GangId, Mask); 4]>,
    /// Announcement that takes effect once no gang holds accelerators here.
    pub pending_announcement: Option<Announcement>,
}

impl Upstream {
    /// Returns the mask of all accelerators.
    pub const fn whole_mask(&self) -> Mask {
        mask_at(0, self.accelerators)
    }

    /// Returns whether the current incarnation is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|incarnation| incarnation >= self.incarnation)
    }

    /// Returns whether new work may be placed here.
    pub fn is_usable(&self) -> bool {
        self.is_in_service() && !self.suspended
    }

    /// Returns whether the upstream can hold guaranteed blocks. A suspended one can, because a
    /// short pause after a refusal is no reason to move them.
    pub fn is_in_service(&self) -> bool {
        self.mounted && self.live && !self.is_leaving() && self.pending_announcement.is_none()
    }

    /// Reserves accelerators for a guaranteed block.
    ///
    /// # Panics
    /// Panics if another block has one of them, because both could not be provided together.
    pub fn reserve(&mut self, guarantee: GuaranteeId, mask: Mask) {
        assert!(self.reserved & mask == 0, "two guaranteed blocks share {}", self.name);
        self.reserved |= mask;
        self.guarantees.push((guarantee, mask));
    }

    /// Releases accelerators reserved for a guaranteed block.
    pub fn unreserve(&mut self, guarantee: GuaranteeId, mask: Mask) {
        self.reserved &= !mask;
        self.withheld &= !mask;
        self.guarantees.retain(|(id, _)| *id != guarantee);
    }

    /// Releases the accelerators in `within` that are reserved for a block, if there are any.
    pub fn unreserve_within(&mut self, guarantee: GuaranteeId, within: Mask) {
        let held = self.guarantees.iter().filter(|(id, _)| *id == guarantee);
        let mask = held.fold(0, |mask, (_, held)| mask | held) & within;
        self.unreserve(guarantee, mask);
    }

    /// Sets whether accelerators are withheld from lending.
    pub fn set_withheld(&mut self, mask: Mask, withheld: bool) {
        self.withheld = if withheld { self.withheld | mask } else { self.withheld & !mask };
    }

    /// Returns the accelerators that `view` may take.
    pub fn available(&self, view: CapacityView) -> Mask {
        match view {
            CapacityView::Layout if self.mounted => self.whole_mask(),
            CapacityView::Unreserved if self.mounted => self.whole_mask() & !self.reserved,
            CapacityView::FreeUnreserved if self.is_usable() => {
                self.whole_mask() & !self.used & !self.reserved & !self.draining
            }
            CapacityView::Lendable if self.is_usable() => {
                self.whole_mask() & !self.used & !self.withheld & !self.claimed & !self.drained
            }
            _ => 0,
        }
    }

    /// Returns whether `view` may take every accelerator.
    pub fn is_fully_available(&self, view: CapacityView) -> bool {
        self.accelerators > 0 && self.available(view) == self.whole_mask()
    }
}

/// Number of fully free upstreams among which one is chosen for a small block. Runs are at most a
/// rack long, so that a few racks contain a short one; scanning a whole pool would take too long.
const FREE_UPSTREAM_SCAN_LIMIT: usize = 32;

const VIEWS: [CapacityView; 4] = [
    CapacityView::FreeUnreserved,
    CapacityView::Lendable,
    CapacityView::Unreserved,
    CapacityView::Layout,
];

/// All upstreams and racks of the data centre.
#[derive(Debug, Default)]
pub struct Pool {
    /// Upstreams by index; an index is never used for another name.
    pub upstreams: Vec<Upstream>,
    /// Racks by index.
    pub racks: Vec<Rack>,
    names: BTreeMap<UpstreamName, UpstreamIx>,
    rack_names: BTreeMap<RackName, RackIx>,
    free: [FreeIndex; VIEWS.len()],
    unmounted: BTreeSet<UpstreamIx>,
    live: usize,
    /// Upstreams whose position or size changed, for a review of the guaranteed blocks on them.
    pub moved: Vec<UpstreamIx>,
}

impl Pool {
    /// Returns the index of the upstream with this name.
    pub fn find(&self, name: &UpstreamName) -> Option<UpstreamIx> {
        self.names.get(name).copied()
    }

    /// Returns the number of live upstreams.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Returns whether every mounted upstream is in service, so that missing capacity is not just
    /// a temporary loss.
    pub fn is_complete(&self) -> bool {
        self.upstreams.iter().all(|u| !u.mounted || u.is_in_service())
    }

    /// Returns the upstream with this index.
    pub fn upstream(&self, ix: UpstreamIx) -> &Upstream {
        &self.upstreams[ix.get()]
    }

    /// Returns the rack of the upstream.
    pub fn rack_of(&self, ix: UpstreamIx) -> RackIx {
        self.upstreams[ix.get()].rack
    }

    /// Updates an upstream and refreshes the indices.
    pub fn update(&mut self, ix: UpstreamIx, update: impl FnOnce(&mut Upstream)) {
        let was_live = self.upstream(ix).live;
        update(&mut self.upstreams[ix.get()]);
        match (was_live, self.upstream(ix).live) {
            (false, true) => self.live += 1,
            (true, false) => self.live -= 1,
            _ => {}
        }
        self.refresh(ix);
    }

    /// Adds an upstream that is not live yet.
    pub fn insert(&mut self, a: &Announcement) -> UpstreamIx {
        let ix = UpstreamIx(u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX));
        let rack = self.rack_or_insert(&a.rack);
        self.upstreams.push(Upstream {
            name: a.name.clone(),
            incarnation: a.incarnation,
            rack,
            position: a.position,
            accelerators: a.accelerators,
            mounted: false,
            live: false,
            leaving: None,
            suspended: false,
            used: 0,
            non_reclaimable: 0,
            reserved: 0,
            withheld: 0,
            claimed: 0,
            draining: 0,
            drained: 0,
            guarantees: SmallVec::new(),
            gangs: SmallVec::new(),
            pending_announcement: None,
        });
        self.names.insert(a.name.clone(), ix);
        self.unmounted.insert(ix);
        self.mount(ix);
        ix
    }

    fn rack_or_insert(&mut self, name: &RackName) -> RackIx {
        if let Some(ix) = self.rack_names.get(name) {
            return *ix;
        }
        let ix = RackIx(u32::try_from(self.racks.len()).unwrap_or(u32::MAX));
        self.racks.push(Rack::new(name.clone()));
        self.rack_names.insert(name.clone(), ix);
        ix
    }

    /// Mounts an upstream if its position is free or held by an unused lost upstream.
    fn mount(&mut self, ix: UpstreamIx) {
        let (rack, position) = (self.upstream(ix).rack, self.upstream(ix).position);
        if let Some(holder) = self.racks[rack.get()].upstream_at(position) {
            let holder_state = self.upstream(holder);
            if holder_state.live || holder_state.used != 0 {
                return;
            }
            self.unmount(holder);
        }
        self.racks[rack.get()].set_position(position, Some(ix));
        self.unmounted.remove(&ix);
        self.update(ix, |u| u.mounted = true);
    }

    /// Removes an upstream from its rack position.
    pub fn unmount(&mut self, ix: UpstreamIx) {
        let u = self.upstream(ix);
        let (rack, position) = (u.rack, u.position);
        if u.mounted {
            self.racks[rack.get()].set_position(position, None);
            self.update(ix, |u| u.mounted = false);
        }
        if self.upstream(ix).live {
            self.unmounted.insert(ix);
        }
    }

    /// Applies a pending change of position or size, and mounts the upstreams that wait for a
    /// position which is free now.
    fn mount_pending(&mut self, ix: UpstreamIx) {
        if self.upstream(ix).used == 0
            && let Some(a) = self.upstreams[ix.get()].pending_announcement.take()
        {
            self.unmount(ix);
            self.moved.push(ix);
            let rack = self.rack_or_insert(&a.rack);
            self.update(ix, |u| {
                u.rack = rack;
                u.position = a.position;
                u.accelerators = a.accelerators;
            });
        }
        if self.upstream(ix).live && !self.upstream(ix).mounted {
            self.unmounted.insert(ix);
        }
        for waiting in self.unmounted.clone() {
            self.mount(waiting);
        }
    }

    /// Marks an upstream as lost after its lease has ended.
    pub fn mark_lost(&mut self, ix: UpstreamIx) {
        self.update(ix, |u| u.live = false);
        self.unmounted.remove(&ix);
        self.mount_pending(ix);
    }

    /// Allocates the accelerators of `block` to a gang.
    ///
    /// # Panics
    /// Panics if another gang holds one of them, because both would run on it.
    pub fn allocate(&mut self, gang: GangId, block: &[(UpstreamIx, Mask)], non_reclaimable: bool) {
        for &(ix, mask) in block {
            assert!(
                self.upstream(ix).used & mask == 0,
                "gang {gang} was given accelerators {mask:#x} of {} that are in use",
                self.upstream(ix).name
            );
            self.update(ix, |u| {
                u.used |= mask;
                u.non_reclaimable |= if non_reclaimable { mask } else { 0 };
                u.gangs.push((gang, mask));
            });
        }
    }

    /// Marks accelerators as reclaimable, because the gang on them is ending.
    pub fn mark_reclaimable(&mut self, ix: UpstreamIx, mask: Mask) {
        self.upstreams[ix.get()].non_reclaimable &= !mask;
    }

    /// Returns the upstreams where an aligned block of `count` ≤ 8 accelerators fits.
    pub fn upstreams_fitting(
        &self,
        count: u32,
        view: CapacityView,
    ) -> impl Iterator<Item = UpstreamIx> {
        let fits = self.free[view as usize].upstreams.range((count, 0, UpstreamIx(0))..);
        fits.map(|(.., ix)| *ix)
    }

    /// Returns the racks where a block of `count` > 8 accelerators fits.
    pub fn racks_fitting(&self, count: u32, view: CapacityView) -> impl Iterator<Item = RackIx> {
        let fits = self.free[view as usize].racks.range((count, RackIx(0))..);
        fits.map(|(_, ix)| *ix)
    }

    /// Releases the accelerators of a gang that has certainly ended.
    pub fn release(&mut self, gang: GangId, ix: UpstreamIx, mask: Mask) {
        self.update(ix, |u| {
            u.used &= !mask;
            u.non_reclaimable &= !mask;
            u.gangs.retain(|(id, _)| *id != gang);
        });
        if !self.unmounted.is_empty() || self.upstream(ix).pending_announcement.is_some() {
            self.mount_pending(ix);
        }
    }

    fn refresh(&mut self, ix: UpstreamIx) {
        let rack = self.upstream(ix).rack;
        for (index, view) in self.free.iter_mut().zip(VIEWS) {
            index.set_upstream(ix, self.upstreams[ix.get()].available(view));
            let run = self.racks[rack.get()].longest_run(&self.upstreams, view);
            index.set_rack(rack, run);
        }
    }

    /// Finds `count` accelerators under `view` whose use breaks up the smallest free blocks.
    pub fn find_block(
        &self,
        count: u32,
        view: CapacityView,
        avoid: &[UpstreamIx],
    ) -> Option<Block> {
        let index = &self.free[view as usize];
        if count > UPSTREAM_BLOCK_LIMIT {
            let racks = index.racks.range((count, RackIx(0))..);
            let mut blocks = racks.filter_map(|(_, rack)| {
                self.racks[rack.get()].find_run(&self.upstreams, count, view, avoid)
            });
            return blocks.next();
        }
        let fits = index.upstreams.range((count, 0, UpstreamIx(0))..);
        let mut fits = fits.filter(|(.., ix)| !avoid.contains(ix));
        let &(.., ix) = fits.next()?;
        if self.upstream(ix).is_fully_available(view) {
            let free = std::iter::once(ix).chain(fits.map(|(.., ix)| *ix));
            return self.block_in_free_upstream(free.take(FREE_UPSTREAM_SCAN_LIMIT), count, view);
        }
        let mask = find_aligned(self.upstream(ix).available(view), count)?;
        Some(Block::from_iter([(ix, mask)]))
    }

    /// Finds a block in the fully free upstream whose use breaks up the smallest run of such ones.
    fn block_in_free_upstream(
        &self,
        upstreams: impl Iterator<Item = UpstreamIx>,
        count: u32,
        view: CapacityView,
    ) -> Option<Block> {
        let free = upstreams.filter(|ix| self.upstream(*ix).is_fully_available(view));
        let ix = free.min_by_key(|ix| self.run_cost(*ix, view))?;
        let mask = find_aligned(self.upstream(ix).available(view), count)?;
        Some(Block::from_iter([(ix, mask)]))
    }

    /// Returns the length of the run of fully free upstreams around one, and its distance to the
    /// nearer end of the run, because taking an upstream at an end leaves the longest rest.
    fn run_cost(&self, ix: UpstreamIx, view: CapacityView) -> (usize, usize) {
        let (rack, position) = (&self.racks[self.rack_of(ix).get()], self.upstream(ix).position);
        let is_free = |position: u32| {
            let neighbour = rack.upstream_at(position);
            neighbour.is_some_and(|neighbour| self.upstream(neighbour).is_fully_available(view))
        };
        let before = (0..position).rev().take_while(|p| is_free(*p)).count();
        let after = (position + 1..RACK_POSITIONS_LIMIT).take_while(|p| is_free(*p)).count();
        (before + after, before.min(after))
    }

    /// Returns the size of the largest block available under `view`.
    pub fn largest_block(&self, view: CapacityView) -> u32 {
        let index = &self.free[view as usize];
        let run = index.racks.last().map_or(0, |(run, _)| *run);
        let aligned = index.upstreams.last().map_or(0, |(count, ..)| *count);
        run.max(aligned)
    }
}
