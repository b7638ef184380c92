//! Figures learned from made-up runs.

use std::sync::Arc;

use smallvec::smallvec;

use super::run_times::RUN_MAX_MS;
use super::{Kind, Learned, ListRead, ListedProgress, Observer, SpellChange};
use crate::tasks::tests::sample::incarnation;
use crate::tasks::{Incarnation, JobId, UnitId};

fn kind(image: Option<&str>) -> Kind {
    Kind { queue: "batch".into(), gang: false, image: image.map(Into::into), accelerators: 1 }
}

/// A unit that is followed from its start to its end.
struct Run {
    number: u32,
    image: Option<&'static str>,
    declared_ms: u64,
    takes_ms: u64,
}

impl Run {
    fn new(number: u32, declared_ms: u64, takes_ms: u64) -> Self {
        Self { number, image: None, declared_ms, takes_ms }
    }

    fn listed(&self, on: &Incarnation, worked_ms: u64) -> ListedProgress {
        let job: JobId = format!("{:016x}", self.number).parse().expect("16 digits");
        let percent = u32::try_from(worked_ms * 100 / self.takes_ms).expect("small").min(100);
        ListedProgress {
            unit: UnitId { job, occurrence: 0, step: 0, unit: 0 },
            run: 1,
            percent,
            kind: kind(self.image),
            declared_ms: self.declared_ms,
            upstreams: smallvec![on.clone()],
            is_remote: false,
            is_done: percent == 100,
        }
    }
}

#[derive(Default)]
struct Trial {
    learned: Learned,
    observer: Observer,
    now_ms: u64,
}

impl Trial {
    fn read(&mut self, upstream: &Incarnation, runs: &[ListedProgress]) -> Option<SpellChange> {
        let read = ListRead { upstream, clock_ms: self.now_ms, runs };
        self.observer.record(&mut self.learned, &read, self.now_ms)
    }

    /// Plays runs that begin together on an upstream, whose lists are read every 200 ms.
    fn play(&mut self, on: &Incarnation, runs: &[Run]) {
        let begun_ms = self.now_ms;
        let longest_ms = runs.iter().map(|run| run.takes_ms).max().unwrap_or(0);
        while self.now_ms <= begun_ms + longest_ms + 400 {
            let worked_ms = self.now_ms - begun_ms;
            let listed: Vec<_> = runs.iter().map(|run| run.listed(on, worked_ms)).collect();
            self.read(on, &listed);
            self.now_ms += 200;
        }
    }

    fn expected_ms(&self, declared_ms: u64) -> u64 {
        self.learned.expected(&kind(None), declared_ms).run_ms
    }
}

/// Declared run times that are off by up to 0.9 either way, in a fixed order.
const WRONG: [u64; 8] = [600, 11_400, 2_000, 9_000, 900, 7_000, 4_000, 10_500];

/// Guards against trust in estimates that say nothing, and against distrust of those that are right.
#[test]
fn the_callers_word_counts_as_far_as_it_was_right() {
    let mut wrong = Trial::default();
    let mut right = Trial::default();
    for number in 0..40_u32 {
        let declared_ms = WRONG[number as usize % WRONG.len()];
        wrong.play(&incarnation(number % 4), &[Run::new(number, declared_ms, 6_000)]);
        right.play(&incarnation(number % 4), &[Run::new(number, declared_ms, declared_ms)]);
    }
    for declared_ms in [600, 11_400] {
        let expected_ms = wrong.expected_ms(declared_ms);
        assert!((4_500..8_000).contains(&expected_ms), "{declared_ms}: {expected_ms}");
        let expected_ms = right.expected_ms(declared_ms);
        let (low_ms, high_ms) = (declared_ms * 8 / 10, declared_ms * 12 / 10);
        assert!((low_ms..high_ms).contains(&expected_ms), "{declared_ms}: {expected_ms}");
    }
}

/// Guards against decisions on figures that are not known: the default and a kind without runs follow the
/// caller, whatever was declared.
#[test]
fn without_runs_the_declared_time_counts() {
    let trial = Trial::default();
    for declared_ms in [0, 1, 6_000, u64::MAX] {
        assert_eq!(trial.expected_ms(declared_ms), declared_ms);
    }
    assert!((trial.learned.speed(&incarnation(0), 0).factor - 1.0).abs() < f64::EPSILON);
}

/// Guards against figures that are spoiled by invalid input: estimates of 0 and of a century, percentages
/// above 100 and ones that fall.
#[test]
fn nothing_is_learned_from_invalid_input() {
    let century_ms = 100 * 366 * 24 * 3_600 * 1_000;
    let mut trial = Trial::default();
    for (number, declared_ms) in (0..).zip([0, century_ms, u64::MAX]) {
        trial.play(&incarnation(0), &[Run::new(number, declared_ms, 3_000)]);
    }
    assert_eq!(trial.expected_ms(3_000), 3_000);
    for (number, percents) in (10..).zip([[90, 50, 10, 5], [10, 200, 900, 4_000]]) {
        for percent in percents {
            let mut listed = Run::new(number, 3_000, 3_000).listed(&incarnation(0), 0);
            listed.percent = percent;
            trial.read(&incarnation(0), &[listed]);
            trial.now_ms += 500;
        }
    }
    assert_eq!(trial.expected_ms(3_000), 3_000);
    // An implausible estimate of a kind that is known gets the usual time.
    for number in 20..40 {
        trial.play(&incarnation(0), &[Run::new(number, 3_000, 3_000)]);
    }
    for declared_ms in [0, century_ms] {
        assert!(trial.expected_ms(declared_ms) <= RUN_MAX_MS);
        assert!((2_500..3_500).contains(&trial.expected_ms(declared_ms)));
    }
}

/// Guards against one very long run that makes all others of its kind seem long.
#[test]
fn a_very_long_run_shifts_the_figures_little() {
    let mut trial = Trial::default();
    for number in 0..60 {
        let run_ms = if number % 30 == 29 { 42_000 } else { 6_000 };
        trial.play(&incarnation(number % 4), &[Run::new(number, 6_000, run_ms)]);
    }
    assert!((5_500..7_000).contains(&trial.expected_ms(6_000)), "{}", trial.expected_ms(6_000));
}

/// Guards against upstreams of different speed that are taken for equal, and against a new incarnation
/// that inherits the figures of the former one.
#[test]
fn faster_upstreams_are_told_from_slower_ones() {
    let mut trial = Trial::default();
    let (fast, slow) = (incarnation(0), incarnation(1));
    for number in 0..30 {
        trial.play(&fast, &[Run::new(2 * number, 6_000, 4_800)]);
        trial.play(&slow, &[Run::new(2 * number + 1, 6_000, 7_500)]);
    }
    let factor = |upstream: &Incarnation| trial.learned.speed(upstream, trial.now_ms).factor;
    assert!(factor(&fast) > 1.1, "{}", factor(&fast));
    assert!(factor(&slow) < 0.9, "{}", factor(&slow));
    let expected_ms = trial.expected_ms(6_000);
    assert!((5_300..6_700).contains(&expected_ms), "{expected_ms}");
    let successor = Incarnation { born_unix_ms: fast.born_unix_ms + 1, ..fast.clone() };
    assert!((factor(&successor) - 1.0).abs() < f64::EPSILON);
}

/// Reads a run of 10 s every 200 ms; from 4 s to 10 s it advances at the given pace. `late` delays the
/// answers without any change of the run. Returns the changes of the upstream's state, with their times.
fn changes_of_a_run(pace_percent: u64, late: bool) -> Vec<(u64, SpellChange)> {
    let mut trial = Trial::default();
    let upstream = incarnation(0);
    let run = Run::new(1, 1_000, 10_000);
    let mut changes = Vec::new();
    let mut worked_ms = 0;
    for read in 0..80_u64 {
        let at_ms = read * 200;
        let is_slow = (4_000..10_000).contains(&at_ms);
        worked_ms += if is_slow { 2 * pace_percent } else { 200 };
        let listed = run.listed(&upstream, worked_ms.min(9_900));
        let received_ms = at_ms + if late && is_slow { 2_000 } else { 0 };
        let read = ListRead { upstream: &upstream, clock_ms: at_ms, runs: &[listed] };
        let change = trial.observer.record(&mut trial.learned, &read, received_ms);
        changes.extend(change.map(|change| (at_ms, change)));
    }
    changes
}

/// Guards against a slow spell that is found too late or never ends; the estimate of the run is wrong by a
/// factor of ten and must not matter.
#[test]
fn a_slow_spell_is_found_by_the_runs_own_pace() {
    let changes = changes_of_a_run(33, false);
    let [(began_ms, SpellChange::Began), (ended_ms, SpellChange::Ended)] = changes[..] else {
        panic!("{changes:?}");
    };
    assert!((4_000..=7_000).contains(&began_ms), "{began_ms}");
    assert!((10_000..=12_500).contains(&ended_ms), "{ended_ms}");
}

/// Guards against lists that arrive late and are taken for slow runs, and against small changes of pace.
#[test]
fn late_lists_and_small_changes_are_no_spell() {
    assert_eq!(changes_of_a_run(100, true), []);
    assert_eq!(changes_of_a_run(75, false), []);
}

/// Guards against a noisy neighbour that is taken for a wrong estimate or a slow upstream, and against
/// pairs of images that are found by chance.
#[test]
fn images_that_slow_each_other_down_are_found() {
    let mut trial = Trial::default();
    let images = ["a", "b", "c"];
    for number in 0..180_u32 {
        let (one, other) = (images[number as usize % 3], images[(number as usize / 3) % 3]);
        let is_noisy = matches!((one, other), ("a", "b") | ("b", "a"));
        // Other causes change the run times by a fifth.
        let usual_ms = 4_000 + u64::from(number * 7 % 11) * 160;
        let run_ms = if is_noisy { usual_ms * 16 / 10 } else { usual_ms };
        let run = |image, number| Run { image: Some(image), ..Run::new(number, 5_000, run_ms) };
        trial.play(&incarnation(number % 5), &[run(one, 2 * number), run(other, 2 * number + 1)]);
    }
    let pairs = trial.learned.noisy_pairs();
    let [(one, other, factor)] = &pairs[..] else { panic!("{pairs:?}") };
    assert_eq!((&**one, &**other), ("a", "b"));
    assert!((1.3..1.9).contains(factor), "{factor}");
    let beside = |image: &str, other: &str| {
        let other: Arc<str> = other.into();
        trial.learned.slowdown(Some(&image.into()), [other].iter())
    };
    assert!(beside("b", "a") > 1.3);
    assert!((beside("b", "c") - 1.0).abs() < f64::EPSILON);
}
