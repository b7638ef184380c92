//! UTC dates with which request keys begin.

use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds in a day.
const DAY_S: u64 = 24 * 60 * 60;

/// Returns today's date in UTC as `YYYYMMDD`, the prefix of request keys.
#[must_use]
pub fn today_utc() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let (year, month, day) = civil_from_days(since_epoch.as_secs() / DAY_S);
    format!("{year:04}{month:02}{day:02}")
}

/// Converts days since 1970-01-01 to a date of the Gregorian calendar.
///
/// The algorithm counts years from March, so that the leap day is the last day of a year.
const fn civil_from_days(days: u64) -> (u64, u64, u64) {
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + if month <= 2 { 1 } else { 0 };
    (year, month, day)
}
