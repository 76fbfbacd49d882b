//! Prompts that a prefill engine computes and a decode engine fetches.

use std::time::Duration;

use cactuslane_flight::AttemptFailure;
use cactuslane_flight::target::Target;
use cactuslane_held::NO_CONNECTION;
use cactuslane_place::Load;
use cactuslane_place::placer::Plan;
use cactuslane_platform::engine;
use cactuslane_platform::exchange::{self, Phases, SendParams};
use hyper::StatusCode;
use log::info;
use tokio::time::Instant;

use super::StreamRequest;
use super::computed::ComputedPrompt;
use super::waiting::{PROMPT_TIMEOUT_FACTOR, with_timeout};
use crate::bodies::read_body;
use crate::ending::Told;
use crate::engines;
use crate::limits::permits::Permit;
use crate::plain::send;

/// Minimum time after which a prefill engine that has not answered counts as silent.
const MIN_PROMPT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum size of the answer to the computation of a prompt, in bytes.
const MAX_COMPUTED_BYTES: usize = 64 << 10;

impl StreamRequest {
    /// Sends the request to a prefill engine, which computes the prompt and keeps it.
    ///
    /// `left` is the time until the deadline, `last_event` the event after which the stream is to go
    /// on. A failure comes with a description of its cause.
    pub(super) async fn compute_prompt(
        &self,
        target: &Target,
        plan: &Plan,
        left: Duration,
        permit: Permit,
        last_event: Option<u64>,
    ) -> Result<ComputedPrompt, (AttemptFailure, String)> {
        let load = Load {
            prompt_tokens: plan.uncached,
            running: 1,
            kv_tokens: self.request.info.prompt_tokens,
        };
        let _load = self.gateway.track_load(&target.id, load);
        self.record_cached(target, plan.expected);
        let began = Instant::now();
        let fetch = plan.fetch.as_ref().and_then(|id| self.gateway.target(id));
        let fetch = fetch.filter(|engine| engine.has_version_of(target));
        let limit = Duration::from_secs_f64(plan.expected * PROMPT_TIMEOUT_FACTOR / 1000.0);
        let wait = left.min(limit.max(MIN_PROMPT_TIMEOUT));
        let params = SendParams {
            target: &target.id,
            priority: Some(self.request.priority),
            identity: self.request.identity(),
            phases: Phases::Prefill,
            fetch: fetch.map(|engine| engine.address),
            place: Some(self.request.info.place(last_event)),
            ..SendParams::default()
        };
        let told = Told::read(|| left);
        let exchange = async {
            let (connection, response) =
                send(&self.gateway, &self.request, target, &params, told, permit).await?;
            let keep_alive = exchange::keep_alive_timeout(response.headers());
            let status = response.status();
            connection.allow(MAX_COMPUTED_BYTES);
            let body = read_body(&self.gateway, NO_CONNECTION, response.into_body()).await?;
            self.gateway.pool.check_in(connection, keep_alive);
            if status != StatusCode::OK {
                return Err((AttemptFailure::Broken, format!("status {status}")));
            }
            engine::decode_computed(&body).map_err(|why| (AttemptFailure::Broken, why))
        };
        let result = with_timeout(wait, left, "prompt", self.unless_held(exchange)).await;
        let now = self.gateway.now();
        match result {
            Ok(computed) => {
                let elapsed = began.elapsed().as_secs_f64() * 1000.0;
                info!(
                    request = self.request.info.id,
                    target_id = target.id,
                    elapsed_ms = elapsed as u64,
                    expected_ms = plan.expected as u64;
                    "prompt computed"
                );
                let mut placer = self.gateway.placer();
                let priority = self.request.priority;
                let usual = elapsed / placer.paces.factor(&target.id, elapsed, now);
                placer
                    .speed
                    .observe(priority, plan.uncached, plan.ahead, usual);
                placer.answered(&target.id, elapsed, plan.expected, now);
                Ok(ComputedPrompt {
                    gateway: self.gateway.clone(),
                    target: target.clone(),
                    handle: computed.handle,
                    used: false,
                    refused: false,
                })
            }
            Err((ending, why)) => {
                self.gateway.record_failure(&target.id, ending);
                if ending == AttemptFailure::Rejected {
                    engines::ask_rejecting(&self.gateway, target);
                }
                Err((ending, why))
            }
        }
    }
}
