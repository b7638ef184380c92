//! What a leader that falls behind sheds.

use crate::cluster::leader::lag::{Lag, Shedding};

/// Guards against shedding in another order than the stated one, after a single late measurement, or for
/// longer than the leader is behind.
#[test]
fn work_is_shed_in_the_stated_order() {
    let lag = Lag::default();
    lag.record(500);
    assert_eq!(lag.shedding(), Shedding::Nothing, "a single late measurement");
    lag.record(500);
    assert_eq!(lag.shedding(), Shedding::Optional);
    (0..12).for_each(|_| lag.record(1_000));
    assert_eq!(lag.shedding(), Shedding::Submissions);
    lag.record(0);
    assert_eq!(lag.shedding(), Shedding::Optional);
    (0..40).for_each(|_| lag.record(0));
    assert_eq!((lag.shedding(), lag.smoothed_ms()), (Shedding::Nothing, 0));
}
