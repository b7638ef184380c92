//! Choice of hosts by what runs have shown of them.

use super::pool_view::{Inputs, decide, starts};
use crate::tasks::StepSpec;
use crate::tasks::tests::sample::{Sample, gang, incarnation, step};

fn with_image(image: &str, step: StepSpec) -> StepSpec {
    StepSpec { image: Some(image.into()), ..step }
}

/// Guards against work that starts on a host in a slow spell while others are free, and against work that
/// waits because only such hosts are free.
#[test]
fn hosts_in_a_slow_spell_are_taken_last() {
    let mut sample = Sample::with_hosts(2);
    let mut inputs = Inputs::default();
    inputs.learned.assume_speed(&incarnation(0), (1.0, 0.3), sample.state.now_ms);
    sample.accept(1, "batch", vec![step(1, 8)]);
    insta::assert_snapshot!(starts(&decide(&sample, &inputs)).join("\n"), @"0000000000000001.0.0.0 run 1: host-01");
    sample.accept(2, "batch", vec![step(1, 8)]);
    assert_eq!(starts(&decide(&sample, &inputs)).len(), 2);
}

/// Guards against urgent work on slow hosts while faster ones are free; other work fills the fullest host,
/// so that whole hosts stay free.
#[test]
fn urgent_work_takes_fast_hosts() {
    let mut sample = Sample::with_hosts(2);
    let mut inputs = Inputs::default();
    inputs.learned.assume_speed(&incarnation(1), (1.25, 1.0), sample.state.now_ms);
    let before = sample.accept(100, "batch", vec![step(1, 1)]);
    sample.start(&before, 0, 1, &[0]);
    sample.accept(1, "urgent", vec![step(1, 1)]);
    insta::assert_snapshot!(starts(&decide(&sample, &inputs)).join("\n"), @"0000000000000001.0.0.0 run 1: host-01");
    let mut sample = Sample::with_hosts(2);
    let before = sample.accept(100, "batch", vec![step(1, 1)]);
    sample.start(&before, 0, 1, &[0]);
    sample.accept(1, "batch", vec![step(1, 1)]);
    insta::assert_snapshot!(starts(&decide(&sample, &inputs)).join("\n"), @"0000000000000001.0.0.0 run 1: host-00");
}

/// Guards against images that slow each other down side by side where there is room elsewhere, and against a
/// task or gang that does not start because there is none.
#[test]
fn noisy_images_are_kept_apart_where_there_is_room() {
    let mut sample = Sample::with_hosts(2);
    let mut inputs = Inputs::default();
    inputs.learned.assume_noisy(&"a".into(), &"b".into(), 1.6);
    let before = sample.accept(100, "batch", vec![with_image("a", step(1, 1))]);
    sample.start(&before, 0, 1, &[0]);
    sample.accept(1, "batch", vec![with_image("b", step(1, 1))]);
    insta::assert_snapshot!(starts(&decide(&sample, &inputs)).join("\n"), @"0000000000000001.0.0.0 run 1: host-01");
    let other = sample.accept(101, "batch", vec![with_image("a", step(1, 1))]);
    sample.start(&other, 0, 1, &[1]);
    assert_eq!(starts(&decide(&sample, &inputs)).len(), 1);
    sample.accept(2, "normal", vec![with_image("b", gang(2, 6))]);
    assert_eq!(starts(&decide(&sample, &inputs)).len(), 2);
}
