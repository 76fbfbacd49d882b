//! Maintenance windows in local time.

use jiff::Timestamp;
use jiff::tz::TimeZone;

/// A daily maintenance window, which ends on the next day if `until` is earlier than `from`, and is
/// never open if both are equal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DailyWindow {
    /// The days on which the window starts, from 1 for Monday to 7 for Sunday.
    pub days: Vec<i8>,
    /// The start, in minutes after local midnight.
    pub from: u16,
    /// The end, in minutes after local midnight, exclusive.
    pub until: u16,
}

/// Returns whether any window is open at the wall-clock time `wall_ms`, in milliseconds since 1970;
/// without windows, the result is always `true`.
///
/// Windows follow the local clock: on the night when daylight saving time begins or ends, a window
/// that spans the change is an hour shorter or longer. `margin_s` seconds are cut off both ends of
/// each window, since the clock that gave `wall_ms` may be wrong by as much.
///
/// # Errors
///
/// Returns a message if the time zone is unknown or the time is out of range.
pub fn is_open(
    zone: &str,
    windows: &[DailyWindow],
    wall_ms: u64,
    margin_s: u64,
) -> Result<bool, String> {
    if windows.is_empty() {
        return Ok(true);
    }
    let zone = TimeZone::get(zone).map_err(|error| error.to_string())?;
    let at = |ms: u64| {
        let timestamp =
            Timestamp::from_millisecond(ms as i64).map_err(|error| error.to_string())?;
        Ok::<_, String>(timestamp.to_zoned(zone.clone()))
    };
    let early = at(wall_ms.saturating_sub(margin_s * 1000))?;
    let late = at(wall_ms + margin_s * 1000)?;
    Ok(windows
        .iter()
        .any(|window| window.contains(&early) && window.contains(&late)))
}

impl DailyWindow {
    /// Returns whether a local time lies within the window, on a day for which it is set.
    fn contains(&self, time: &jiff::Zoned) -> bool {
        let minute = time.hour() as u16 * 60 + time.minute() as u16;
        let today = time.weekday().to_monday_one_offset();
        let yesterday = if today == 1 { 7 } else { today - 1 };
        if self.from <= self.until {
            return self.days.contains(&today) && (self.from..self.until).contains(&minute);
        }
        let before_midnight = self.days.contains(&today) && minute >= self.from;
        let after_midnight = self.days.contains(&yesterday) && minute < self.until;
        before_midnight || after_midnight
    }
}
