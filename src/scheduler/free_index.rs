//! An index that finds upstreams and racks with enough free accelerators without a scan.

use std::collections::BTreeSet;

use super::Mask;
use super::pool::{RackIx, UpstreamIx};
use super::rack::largest_aligned_count;

/// Key of an upstream: largest aligned block that fits, free accelerators, upstream.
pub(super) type UpstreamKey = (u32, u32, UpstreamIx);

/// Index of free capacity under one view.
#[derive(Debug, Default)]
pub(super) struct FreeIndex {
    pub(super) upstreams: BTreeSet<UpstreamKey>,
    upstream_keys: Vec<Option<UpstreamKey>>,
    pub(super) racks: BTreeSet<(u32, RackIx)>,
    rack_keys: Vec<u32>,
}

impl FreeIndex {
    pub(super) fn set_upstream(&mut self, ix: UpstreamIx, free: Mask) {
        let key = (free != 0).then(|| (largest_aligned_count(free), free.count_ones(), ix));
        if self.upstream_keys.len() <= ix.get() {
            self.upstream_keys.resize(ix.get() + 1, None);
        }
        let old = std::mem::replace(&mut self.upstream_keys[ix.get()], key);
        if old != key {
            old.map(|k| self.upstreams.remove(&k));
            key.map(|k| self.upstreams.insert(k));
        }
    }

    pub(super) fn set_rack(&mut self, ix: RackIx, run: u32) {
        if self.rack_keys.len() <= ix.get() {
            self.rack_keys.resize(ix.get() + 1, 0);
        }
        let old = std::mem::replace(&mut self.rack_keys[ix.get()], run);
        if old != run {
            self.racks.remove(&(old, ix));
            self.racks.insert((run, ix));
        }
    }
}
