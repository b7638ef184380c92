//! The date of issue in a request key or a job name, `YYYYMMDD-ID`.

use crate::control::clock::DAY_MS;

/// Age from which a key is refused, counted from midnight UTC of its date.
pub(super) const KEY_AGE_LIMIT_MS: u64 = 7 * DAY_MS;

/// Maximum time by which midnight UTC of a key's date may lie in the future.
const KEY_AHEAD_LIMIT_MS: u64 = DAY_MS;

/// Returns midnight UTC of the key's date in Unix milliseconds.
pub(in crate::control) fn issued_ms(id: &str) -> Option<u64> {
    let (date, rest) = id.split_once('-')?;
    let well_formed = date.len() == 8 && date.bytes().all(|b| b.is_ascii_digit());
    if !well_formed || rest.is_empty() {
        return None;
    }
    let year: u64 = date[..4].parse().ok()?;
    let month: u64 = date[4..6].parse().ok()?;
    let day: u64 = date[6..].parse().ok()?;
    if year < 1970 || !(1..=12).contains(&month) || day < 1 || day > days_in(year, month) {
        return None;
    }
    Some(days_since_1970(year, month, day) * DAY_MS)
}

/// Returns whether a key issued at this time is refused at `now_ms`.
pub(in crate::control) fn is_expired(issued_ms: u64, now_ms: u64) -> bool {
    issued_ms + KEY_AGE_LIMIT_MS < now_ms || now_ms + KEY_AHEAD_LIMIT_MS < issued_ms
}

const fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

const fn days_in(year: u64, month: u64) -> u64 {
    match month {
        4 | 6 | 9 | 11 => 30,
        2 if is_leap(year) => 29,
        2 => 28,
        _ => 31,
    }
}

fn days_since_1970(year: u64, month: u64, day: u64) -> u64 {
    let years: u64 = (1970..year).map(|y| if is_leap(y) { 366 } else { 365 }).sum();
    let months: u64 = (1..month).map(|m| days_in(year, m)).sum();
    years + months + day - 1
}
