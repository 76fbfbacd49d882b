//! Questions to targets whose event ids leave some out.

use std::borrow::Cow;
use std::time::Duration;

use cactuslane_flight::events::{EventError, EventScanner};
use cactuslane_flight::target::Target;
use cactuslane_flight::{Gap, ServingProcess, StatedRun};
use log::info;
use tokio::time::{Instant, sleep_until, timeout};

use super::{OpenStream, StreamRequest};
use crate::engines;

/// Maximum time for which events are held back until their target states how many it has made.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest age of what a report states.
const REPORT_AGE: Duration = Duration::from_secs(1);

/// What showed the end of a stream whose target has made more events than it sent.
pub(super) const MISSING: &str = "Missing";

impl StreamRequest {
    /// Feeds bytes of a target's stream to the scanner, and returns the events that may be given on; asks
    /// the target where their ids leave some out.
    ///
    /// # Errors
    ///
    /// Returns why the stream is not valid, or that events of it are missing.
    pub(super) async fn feed(
        &self,
        opened: &OpenStream,
        scanner: &mut EventScanner,
        gap: &mut Option<Gap>,
        bytes: &[u8],
    ) -> Result<Vec<u8>, Cow<'static, str>> {
        let mut events = scanner.feed(bytes);
        if events == Err(EventError::Missing) {
            *gap = Some(self.examine_gap(opened, scanner).await);
            scanner.accept_gap();
            events = scanner.feed(&[]);
        }
        let events = events.map_err(|error| format!("{error:?}"))?;
        let passed = match gap {
            Some(gap) => gap.pass(events, scanner.events()),
            None => Some(events),
        };
        passed.ok_or(Cow::Borrowed(MISSING))
    }

    /// Asks a target for the number of events of its run, as the scanner has found a gap in their ids.
    async fn examine_gap(&self, opened: &OpenStream, scanner: &EventScanner) -> Gap {
        let (target, asked) = (&opened.target, Instant::now());
        let stated = self.state_runs(opened).await;
        let id = &self.request.info.id;
        let runs = stated.as_deref().unwrap_or_default();
        let gap = Gap::new(scanner.clone(), id, runs, opened.resumed_after);
        info!(
            request = id,
            target_id = target.id,
            due_event = scanner.due().unwrap_or(0),
            event = scanner.rejected_id().unwrap_or(0),
            arrived = scanner.events(),
            made = gap.made(),
            why = stated.as_ref().err().map_or("", String::as_str),
            asked_ms = asked.elapsed().as_millis() as u64;
            "event ids leave some out"
        );
        if gap.made() == 0 {
            self.record_unexplained(target);
        }
        gap
    }

    /// Returns the runs that the process which sends a stream states.
    ///
    /// # Errors
    ///
    /// Returns why nothing that it states says how many events this run has made.
    async fn state_runs(&self, opened: &OpenStream) -> Result<Vec<StatedRun>, String> {
        let target = &opened.target;
        let service = self.request.config.services.get(&self.request.service);
        if service.is_none_or(|service| service.engine.is_none()) {
            return Err("no engine".to_owned());
        }
        if self.request.info.id.is_empty() {
            return Err("the request has no id".to_owned());
        }
        if self.tried.iter().filter(|id| **id == target.id).count() > 1 {
            // Before, the report may still state its earlier run of the request.
            sleep_until(opened.sent + REPORT_AGE).await;
        }
        let asking = timeout(ASK_TIMEOUT, engines::stated_runs(&self.gateway, target));
        let answer = asking
            .await
            .map_err(|_| format!("no report within {ASK_TIMEOUT:?}"))?;
        let (runs, started_at) = answer.map_err(|error| format!("{error:?}"))?;
        if opened.connection.process() != Some(ServingProcess::stated(started_at)) {
            return Err("the report is of another process".to_owned());
        }
        Ok(runs)
    }

    /// Records that a target's stream had another event than the next one, and that nothing states
    /// that events are missing.
    fn record_unexplained(&self, target: &Target) {
        let (service, version) = (target.service.as_str(), target.version.as_deref());
        let is_due = self.gateway.event_ids().record_wrong(service, version);
        if !is_due {
            info!(request = self.request.info.id, service, version, is_due; "event ids of a service");
        }
    }
}
