//! Log lines of generations that are refused because no engine would answer in time.

use std::time::Duration;

use cactuslane_place::placer::Plan;
use log::info;

use super::StreamRequest;

impl StreamRequest {
    /// Logs a refusal with the preferred plan and the age of the load updates that it was based on.
    pub(super) fn log_overload(
        &self,
        plan: &Plan,
        excess: Duration,
        other_ms: Option<f64>,
        left: Duration,
        after: Duration,
    ) {
        let now = self.gateway.now();
        let placer = self.gateway.placer();
        let (peers, oldest) = placer.load_view.update_age(now);
        let computing = plan.prefill.as_ref().unwrap_or(&plan.decode);
        let load = placer.load_view.load(computing, now);
        info!(
            request = self.request.info.id,
            route = self.request.route.name,
            prompt = self.request.info.prompt_tokens,
            target_id = plan.decode,
            prefill = plan.prefill.as_deref().unwrap_or(""),
            uncached = plan.uncached,
            ahead = plan.ahead,
            running = load.running,
            expected_ms = plan.expected as u64,
            other_ms = other_ms.map_or(0, |other_ms| other_ms as u64),
            token_us = (placer.speed.prefill_ms(1.0) * 1000.0) as u64,
            peers,
            oldest_update_ms = oldest,
            excess_ms = excess.as_millis() as u64,
            left_ms = left.as_millis() as u64,
            come_back_ms = after.as_millis() as u64;
            "no engine would answer in time"
        );
    }
}
