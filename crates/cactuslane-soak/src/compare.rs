//! The comparison of two loads: shares served and latencies side by side, with confidence intervals
//! and a plot.

use std::fmt::Write as _;
use std::io;

use plotters::style::{BLACK, BLUE};

use crate::figures::{Figures, KindFigures, median_ratio};
use crate::plot;

/// Seed of the resampling that estimates confidence intervals; it is fixed, so that the same
/// figures always give the same intervals.
const SEED: u64 = 1;

/// Returns a text table of two loads, with one row for each request path that occurs in both: the
/// shares served and the 95th percentiles of the time to the first byte, each before and after, and
/// the ratio of the median times with its 95 % confidence interval.
///
/// # Errors
///
/// Returns an error if the loads have no path in common.
pub fn table(before: &Figures, after: &Figures) -> Result<String, String> {
    let mut text = String::new();
    let mut push_line = |line: String| {
        text.push_str(&line);
        text.push('\n');
    };
    push_line(format!(
        "{:24} {:>9} {:>9} {:>10} {:>10}  median ratio (95 in 100)",
        "path", "served", "served", "p95 ms", "p95 ms"
    ));
    let mut shared_count = 0;
    for (path, old) in &before.kinds {
        let Some(new) = after.kinds.get(path) else {
            continue;
        };
        shared_count += 1;
        let ratio = median_ratio(&old.sample, &new.sample, SEED);
        let ratio = ratio.map_or_else(
            || "no answers".to_owned(),
            |(ratio, low, high)| format!("{ratio:.2} ({low:.2} to {high:.2})"),
        );
        push_line(format!(
            "{path:24} {:>9.3} {:>9.3} {:>10.1} {:>10.1}  {ratio}",
            served_share(old),
            served_share(new),
            p95_first_ms(old),
            p95_first_ms(new)
        ));
    }
    if shared_count == 0 {
        return Err("the loads have no request path in common".to_owned());
    }
    Ok(text)
}

/// Returns an HTML page with the table and a plot of the requests served, by the second in which
/// they were due.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn.
pub fn page(table: &str, before: &Figures, after: &Figures) -> io::Result<String> {
    let seconds = before.seconds.len().max(after.seconds.len());
    let served =
        |figures: &Figures| -> Vec<u64> { figures.seconds.iter().map(|second| second.1).collect() };
    let series = [(served(before), BLACK), (served(after), BLUE)];
    let values = series.iter().flat_map(|(values, _)| values);
    let max = values.max().copied().unwrap_or(1).max(1);
    let svg = plot::draw(seconds as f64, max, &[], &series)?;
    let mut page = String::new();
    let written = writeln!(
        page,
        "<!doctype html><meta charset=utf-8><title>Two loads</title>\n<pre>{table}</pre>\n\
         <p>Requests served a second: before in black, after in blue.</p>\n{svg}"
    );
    written.map_err(io::Error::other)?;
    Ok(page)
}

/// Returns the share of the requests that were served, from 0 to 1; 0 if none was sent.
fn served_share(kind: &KindFigures) -> f64 {
    kind.served as f64 / (kind.sent.max(1)) as f64
}

/// Returns the 95th percentile of the time to the first byte in milliseconds, or NaN if there is
/// none.
fn p95_first_ms(kind: &KindFigures) -> f64 {
    kind.first_ms.get("p95").copied().unwrap_or(f64::NAN)
}
