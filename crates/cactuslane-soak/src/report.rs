//! The report of a run, as JSON for tools and as an HTML page for people.

use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

use plotters::style::{BLACK, BLUE, GREEN, RED};
use serde::Serialize;

use crate::check::{CheckCounts, Violation};
use crate::figures::{Figures, StreamFigures, Usage, WorkerFigures, format_seconds};
use crate::findings::Finding;
use crate::load::aims::TakeUpFigures;
use crate::passed::PathFigures;
use crate::plan::PlanStep;
use crate::plot;

/// The results of one run, written as `report.json`.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the plan and of the load.
    pub seed: u64,
    /// Time within which requests were sent.
    pub length: Duration,
    /// Number of instances.
    pub instances: usize,
    /// Plan of the run: faults and planned changes in the order of their times.
    pub steps: Vec<PlanStep>,
    /// Operations of the run itself that took long, during which it applied no step.
    pub stalls: Vec<String>,
    /// Guarantees that did not hold, with what was observed.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// What is known of each violation, of which the first ones are in files as well.
    pub findings: Vec<Finding>,
    /// Number of checks of each guarantee, by name.
    #[serde(rename = "checked")]
    pub check_counts: CheckCounts,
    /// What was done to the targets that run as processes.
    pub processes: WorkerFigures,
    /// Situations of streams that targets made.
    pub streams: StreamFigures,
    /// What the processes used.
    pub usage: Usage,
    /// Faults of the paths, and what instances did about them.
    pub paths: PathFigures,
    /// Number of releases of services beside instances that did not see them.
    pub releases: u64,
    /// Number of changes that one instance did not read, beside another one without links to targets.
    pub unread_changes: u64,
    /// Counts of the streams that callers took up.
    pub take_ups: TakeUpFigures,
    /// Statistics of the load.
    pub figures: Figures,
}

impl Report {
    /// Writes the report to `report.json` and `report.html` in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or the plot cannot be drawn.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let text = serde_json::to_string_pretty(self).map_err(io::Error::other)?;
        fs::write(folder.join("report.json"), text)?;
        fs::write(folder.join("report.html"), self.page()?)
    }

    /// Returns the seed and the totals in one line.
    #[must_use]
    pub fn summary(&self) -> String {
        let sent: u64 = self.figures.seconds.iter().map(|second| second.0).sum();
        let served: u64 = self.figures.seconds.iter().map(|second| second.1).sum();
        let checks: u64 = self.check_counts.values().sum();
        format!(
            "seed {}: {} steps, {served} of {sent} requests served, {checks} checks, {} broken, {} \
             target processes killed, {} answers without a length cut by it, {} faults of paths, \
             {} requests passed on, {} of them to take up a stream, {} of these with odd headers, \
             {} releases, {} changes that an instance did not read; {}",
            self.seed,
            self.steps.len(),
            self.violations.len(),
            self.processes.kills,
            self.processes.cut_without_length,
            self.paths.faults.values().sum::<u64>(),
            self.paths.passed,
            self.paths.passed_resumptions,
            self.paths.passed_odd,
            self.releases,
            self.unread_changes,
            self.take_ups.summary(),
        )
    }

    /// Returns in one line how often targets made situations that only some runs have.
    #[must_use]
    pub fn situations(&self) -> String {
        let (processes, streams) = (&self.processes, &self.streams);
        format!(
            "{} targets started again under their ids with another version, which ran {} streams before \
             their entries stated it; {} streams went on within an answer, {} runs were of long streams, {} \
             answers were ended in due form at the deadline, {} runs made events without ids, {} of \
             them not to the end",
            processes.upgraded,
            processes.before_entry,
            streams.resumed,
            streams.long,
            streams.stopped,
            streams.unnumbered,
            streams.unnumbered_cut,
        )
    }

    /// Returns the HTML page.
    fn page(&self) -> io::Result<String> {
        let mut rows = String::new();
        for step in &self.steps {
            let at = format_seconds(step.at);
            writeln!(rows, "<tr><td>{at}</td><td>{:?}</td></tr>", step.action)
                .map_err(io::Error::other)?;
        }
        let mut violations = String::new();
        for violation in &self.violations {
            let text = format!(
                "{}: {}: {}",
                violation.guarantee, violation.subject, violation.observed
            );
            let text = text.replace('<', "&lt;");
            writeln!(violations, "<li>{text}</li>").map_err(io::Error::other)?;
        }
        let mut checks = String::new();
        for (guarantee, count) in &self.check_counts {
            writeln!(checks, "<tr><td>{guarantee}</td><td>{count}</td></tr>")
                .map_err(io::Error::other)?;
        }
        let mut kinds = String::new();
        for (path, kind) in &self.figures.kinds {
            let row = writeln!(
                kinds,
                "<tr><td>{path}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:?}</td></tr>",
                kind.sent, kind.served, kind.refused, kind.failed, kind.first_ms
            );
            row.map_err(io::Error::other)?;
        }
        Ok(format!(
            "<!doctype html><meta charset=utf-8><title>Soak {}</title>\n<h1>{}</h1>\n<ul>{violations}</ul>\n{}\n\
             <p>{}</p>\n<h2>Requests</h2><table>\n<tr><th>path<th>sent<th>served<th>refused<th>failed<th>first \
             byte, ms</tr>\n{kinds}</table>\n<h2>Checks</h2><table>{checks}</table>\n\
             <h2>Faults and changes</h2><table>{rows}</table>\n",
            self.seed,
            self.summary(),
            self.plot()?,
            self.situations(),
        ))
    }

    /// Returns a plot of the requests sent (black) and served (green) per second, with vertical
    /// marks at faults (red) and planned changes (blue).
    fn plot(&self) -> io::Result<String> {
        let seconds = &self.figures.seconds;
        let max = seconds.iter().map(|second| second.0).max();
        let mut marks = Vec::new();
        for step in &self.steps {
            let color = if step.action.is_planned() { BLUE } else { RED };
            marks.push((step.at.as_secs_f64(), color));
        }
        let sent = seconds.iter().map(|second| second.0).collect();
        let served = seconds.iter().map(|second| second.1).collect();
        let series = [(sent, BLACK), (served, GREEN)];
        plot::draw(self.length.as_secs_f64(), max.unwrap_or(1), &marks, &series)
    }
}
