//! Attempts that a target ended before it had sent an event.

use log::info;
use tokio::time::Instant;

use super::StreamRequest;

impl StreamRequest {
    /// Logs that a target ended an attempt before a complete event, with the parts of the prompt
    /// that other requests may share.
    pub(super) fn log_lost(&self, target: &str, sent: Instant, why: &str) {
        let parts = self.request.info.shared_parts();
        let parts: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
        info!(
            request = self.request.info.id,
            route = self.request.route.name,
            target_id = target,
            parts = parts.join(","),
            sent_ms_ago = sent.elapsed().as_millis() as u64,
            why;
            "lost before its first event"
        );
    }
}
