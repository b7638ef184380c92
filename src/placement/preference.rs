//! Which hosts a unit prefers, by what runs have shown of them.
//!
//! Load patterns: hosts that become several times slower for a while, hosts of differing speed, and
//! images that slow each other down on one host. The preference only orders hosts that a unit fits on:
//! it never keeps a unit from starting, and gives up no rule of placement.

use std::sync::Arc;

use smallvec::SmallVec;

use super::View;
use super::order::WaitingUnit;
use crate::tasks::StepSpec;

/// Difference of speeds, as a logarithm, below which two hosts count as equally fast.
const SPEED_STEP: f64 = 0.12;

/// What is known of the hosts, by their index.
#[derive(Debug)]
pub(super) struct Preferences {
    /// Whether each host is in a slow spell; empty if none is.
    slow: Vec<bool>,
    /// Steps by which each host is slower than the average; empty if speeds do not count.
    slowness: Vec<i32>,
    /// Images on each host; empty if no images are known to slow each other down.
    images: Vec<SmallVec<[Arc<str>; 4]>>,
}

impl Preferences {
    pub(super) fn of(view: &View<'_>) -> Self {
        let feeds = view.learned.feeds;
        let speed =
            |number: usize| view.learned.speed(&view.hosts[number].incarnation, view.now_ms);
        let hosts = view.hosts.len();
        let any_slow = feeds.spells && view.learned.any_slow(view.now_ms);
        let slow = if any_slow {
            (0..hosts).map(|host| speed(host).is_slow).collect()
        } else {
            Vec::new()
        };
        let slowness = if feeds.speeds {
            (0..hosts).map(|host| slowness_steps(speed(host).factor)).collect()
        } else {
            Vec::new()
        };
        let knows_pairs = feeds.interference && view.learned.knows_interference();
        let images = if knows_pairs { vec![SmallVec::new(); hosts] } else { Vec::new() };
        Self { slow, slowness, images }
    }

    /// Records that a task of a step runs on a host.
    pub(super) fn add_task(&mut self, host: usize, step: &StepSpec) {
        let Some(images) = self.images.get_mut(host) else { return };
        if let Some(image) = step.image.as_ref().filter(|image| !images.contains(image)) {
            images.push(Arc::clone(image));
        }
    }

    /// Returns how little a unit wants a host, apart from its speed; 0 is the best.
    pub(super) fn reluctance(&self, view: &View<'_>, unit: &WaitingUnit<'_>, host: usize) -> u32 {
        let is_slow = self.slow.get(host).copied().unwrap_or(false);
        let is_noisy = self.images.get(host).is_some_and(|images| {
            view.learned.slowdown(unit.step.image.as_ref(), images.iter()) > 1.0
        });
        2 * u32::from(is_slow) + u32::from(is_noisy)
    }

    /// Returns by how many steps a host is slower than the average, for work to which speed matters.
    pub(super) fn slowness(&self, unit: &WaitingUnit<'_>, host: usize) -> i32 {
        if unit.queue.priority == 0 { self.slowness.get(host).copied().unwrap_or(0) } else { 0 }
    }
}

#[expect(clippy::cast_possible_truncation, reason = "logarithms of speeds are small")]
fn slowness_steps(speed: f64) -> i32 {
    (-speed.ln() / SPEED_STEP).round() as i32
}
