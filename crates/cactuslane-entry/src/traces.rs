//! Spans of requests, one for each hop; the most recent ones are kept in memory.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, UNIX_EPOCH};

use hyper::HeaderMap;
use opentelemetry::propagation::{Extractor, TextMapPropagator};
use opentelemetry::trace::{SpanBuilder, SpanContext, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{
    SdkTracer, SdkTracerProvider, Span as SdkSpan, SpanData, SpanProcessor,
};
use serde_json::{Value, json};

/// Maximum number of spans that are kept; the oldest are dropped first.
const MAX_SPANS: usize = 8_192;
/// W3C header of the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// The recorder of spans, which can be queried by request id.
#[derive(Debug)]
pub struct Traces {
    /// Creates the spans.
    tracer: SdkTracer,
    /// The provider of the tracer, which shuts down when its last handle is dropped.
    _provider: SdkTracerProvider,
    /// The spans that ended last, shared with the span processor.
    ended: Arc<Mutex<VecDeque<SpanData>>>,
}

/// A span in progress; dropping it ends it.
#[derive(Debug)]
pub struct Span {
    /// The trace context that contains the span.
    context: Context,
}

/// A span processor that stores ended spans in a ring buffer.
#[derive(Debug)]
struct SpanBuffer {
    /// The spans that ended last, the oldest first.
    ended: Arc<Mutex<VecDeque<SpanData>>>,
}

/// An extractor of the trace context from HTTP headers.
struct HeaderExtractor<'h>(&'h HeaderMap);

impl Traces {
    /// Creates a recorder without spans.
    pub fn new() -> Self {
        let ended = Arc::new(Mutex::new(VecDeque::new()));
        let buffer = SpanBuffer {
            ended: Arc::clone(&ended),
        };
        let provider = SdkTracerProvider::builder()
            .with_span_processor(buffer)
            .build();
        let tracer = provider.tracer("cactuslane");
        Self {
            tracer,
            _provider: provider,
            ended,
        }
    }

    /// Starts the span of a request, as a child of the trace context in its headers if they have
    /// one.
    pub fn begin(&self, name: &'static str, headers: &HeaderMap) -> Span {
        let parent = TraceContextPropagator::new().extract(&HeaderExtractor(headers));
        self.start(name, &parent)
    }

    /// Starts a child of another span.
    pub fn child(&self, name: &'static str, parent: &Span) -> Span {
        self.start(name, &parent.context)
    }

    /// Returns the kept spans of a request's trace as JSON, sorted by start time; none if no span
    /// with the request id is kept.
    pub fn of_request(&self, request: &str) -> Vec<Value> {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        let is_of_request = |span: &&SpanData| {
            span.attributes
                .iter()
                .any(|pair| pair.key.as_str() == "request" && pair.value.as_str() == request)
        };
        let Some(found) = ended.iter().find(is_of_request) else {
            return Vec::new();
        };
        let trace = found.span_context.trace_id();
        let same = ended
            .iter()
            .filter(|span| span.span_context.trace_id() == trace);
        let mut spans: Vec<&SpanData> = same.collect();
        spans.sort_by_key(|span| span.start_time);
        spans.into_iter().map(span_json).collect()
    }

    /// Starts a span as a child of the span in a context.
    fn start(&self, name: &'static str, parent: &Context) -> Span {
        let span = self
            .tracer
            .build_with_context(SpanBuilder::from_name(name), parent);
        Span {
            context: parent.with_span(span),
        }
    }
}

impl Span {
    /// Sets an attribute.
    pub fn set(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.context.span().set_attribute(KeyValue::new(key, value));
    }

    /// Adds an event with the attribute `detail`.
    pub fn event(&self, name: &'static str, detail: String) {
        self.context
            .span()
            .add_event(name, vec![KeyValue::new("detail", detail)]);
    }

    /// Returns the value of the W3C header that makes this span the parent at the next hop.
    pub fn traceparent(&self) -> String {
        traceparent(self.context.span().span_context())
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.context.span().end();
    }
}

impl SpanProcessor for SpanBuffer {
    fn on_start(&self, _span: &mut SdkSpan, _cx: &Context) {}

    fn on_end(&self, span: SpanData) {
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        if ended.len() >= MAX_SPANS {
            ended.pop_front();
        }
        ended.push_back(span);
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }
}

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0
            .keys()
            .map(hyper::header::HeaderName::as_str)
            .collect()
    }
}

/// Formats a span context as the value of the W3C header.
fn traceparent(context: &SpanContext) -> String {
    let flags = context.trace_flags().to_u8();
    format!(
        "00-{}-{}-{flags:02x}",
        context.trace_id(),
        context.span_id()
    )
}

/// Returns a span as JSON, with times in milliseconds.
fn span_json(span: &SpanData) -> Value {
    let start = span
        .start_time
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let took = span
        .end_time
        .duration_since(span.start_time)
        .unwrap_or_default();
    let mut attributes = serde_json::Map::new();
    for pair in &span.attributes {
        attributes.insert(pair.key.to_string(), Value::String(pair.value.to_string()));
    }
    let mut events = Vec::new();
    for event in span.events.iter() {
        let detail = event.attributes.first().map(|pair| pair.value.to_string());
        let at = event
            .timestamp
            .duration_since(span.start_time)
            .unwrap_or_default();
        events.push(json!({ "name": event.name, "detail": detail, "at_ms": millis(at) }));
    }
    json!({
        "span": span.span_context.span_id().to_string(),
        "parent": span.parent_span_id.to_string(),
        "trace": span.span_context.trace_id().to_string(),
        "name": span.name,
        "start_ms": start.as_millis() as u64,
        "took_ms": millis(took),
        "attributes": attributes,
        "events": events,
    })
}

/// Returns a duration in milliseconds, truncated to whole microseconds.
fn millis(duration: Duration) -> f64 {
    duration.as_micros() as f64 / 1000.0
}
