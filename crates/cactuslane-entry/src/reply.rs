//! Answers that an instance generates itself, and the errors of the API.

use std::io;
use std::time::Duration;

use cactuslane_types::Outcome;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use serde_json::{Value, json};

/// Body of an answer; an error aborts the connection.
pub type Body = BoxBody<Bytes, io::Error>;

/// Header of error answers that says whether a target may have executed the call: `not-run` or
/// `unknown`.
pub const OUTCOME_HEADER: &str = "cactuslane-outcome";

/// An error with which a call ends without the answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiError {
    /// No valid token, or no valid proof in a forwarded call.
    Unauthorized,
    /// Nothing with the name or path exists, or the caller may not use it.
    NotFound(String),
    /// Method that the path does not support.
    WrongMethod,
    /// Malformed request.
    BadRequest(String),
    /// Body larger than `max_body` of the settings.
    TooLarge,
    /// Body that did not arrive within the time limits.
    SlowBody,
    /// A limit of the caller is reached: the name of the limit and the time after which to retry.
    Limited(String, Duration),
    /// No engine can meet the latency bounds now: the time after which to retry.
    Overloaded(Duration),
    /// The instance has reached its maximum number of requests in progress.
    Busy,
    /// No target of the model or service can take the call now.
    NoTarget,
    /// The instance has no configuration confirmed as current, not that by which a call was forwarded
    /// to it, or has not read the instance list yet.
    NotConfigured,
    /// The instance has lost contact with the key-value service and all other instances.
    CutOff,
    /// The instance is leaving the fleet; only `/readyz` answers so.
    Leaving,
    /// The idempotency key was used for another call.
    KeyMismatch,
    /// The table of idempotency keys is full.
    KeysFull,
    /// The idempotency key was issued too long ago to be used for the first time.
    KeyExpired,
    /// The idempotency key was issued to another caller or is forged.
    KeyForeign,
    /// The idempotency key could not be claimed in the key-value service; the call was not sent.
    ClaimFailed,
    /// The target could not be reached, and nothing was sent to it.
    NotSent,
    /// The resume token is invalid or belongs to another request, or the id of the last received
    /// event is invalid.
    BadResume,
    /// An earlier call with the key may have been executed, and its answer is not known.
    AnswerUnknown,
    /// The instance that the key is bound to could not be reached or did not answer completely in
    /// time, or a forwarded call would have had to be forwarded again.
    HolderUnreachable,
    /// The target's answer was a failure, was cut off or malformed, or belonged to another request.
    Broken(String),
    /// No answer in time, from a target or for an earlier call with the same key.
    TimedOut,
}

/// One row of [`API_ERRORS`]: error code, HTTP status, outcome and advice to the caller.
pub type ApiErrorRow = (&'static str, u16, Outcome, &'static str);

/// All errors, in the order of the variants of [`ApiError`].
pub const API_ERRORS: [ApiErrorRow; 24] = [
    (
        "unauthorized",
        401,
        Outcome::NotRun,
        "send a valid bearer token",
    ),
    (
        "not_found",
        404,
        Outcome::NotRun,
        "check the name; /v1/models lists what you may use",
    ),
    (
        "wrong_method",
        405,
        Outcome::NotRun,
        "use the documented method",
    ),
    ("bad_request", 400, Outcome::NotRun, "correct the request"),
    ("too_large", 413, Outcome::NotRun, "send a smaller body"),
    ("slow_body", 408, Outcome::NotRun, "send the body faster"),
    (
        "limited",
        429,
        Outcome::NotRun,
        "come back after the stated time",
    ),
    (
        "overloaded",
        503,
        Outcome::NotRun,
        "come back after the stated time",
    ),
    (
        "busy",
        503,
        Outcome::NotRun,
        "come back, or use another address",
    ),
    (
        "no_target",
        503,
        Outcome::NotRun,
        "come back after the stated time",
    ),
    (
        "not_configured",
        503,
        Outcome::NotRun,
        "use another address",
    ),
    ("cut_off", 503, Outcome::NotRun, "use another address"),
    ("leaving", 503, Outcome::NotRun, "ask for addresses again"),
    (
        "key_mismatch",
        422,
        Outcome::NotRun,
        "use a new key for another call",
    ),
    (
        "keys_full",
        503,
        Outcome::Unknown,
        "come back after the stated time",
    ),
    (
        "key_expired",
        409,
        Outcome::Unknown,
        "look the result up; then ask for addresses again",
    ),
    (
        "key_foreign",
        403,
        Outcome::NotRun,
        "use a key issued to you",
    ),
    (
        "claim_failed",
        503,
        Outcome::Unknown,
        "send the call again with the same key later",
    ),
    ("not_sent", 503, Outcome::NotRun, "send the call again"),
    (
        "bad_resume",
        400,
        Outcome::NotRun,
        "send the same body with its own token",
    ),
    (
        "answer_unknown",
        409,
        Outcome::Unknown,
        "look the result up before you do it anew",
    ),
    (
        "holder_unreachable",
        502,
        Outcome::Unknown,
        "send the call again with the same key later",
    ),
    (
        "broken",
        502,
        Outcome::Unknown,
        "send the call again with the same key, or look it up",
    ),
    (
        "timed_out",
        504,
        Outcome::Unknown,
        "send the call again with the same key, or look it up",
    ),
];

impl ApiError {
    /// Returns the row of the error in [`API_ERRORS`].
    #[must_use]
    pub fn row(&self) -> &'static ApiErrorRow {
        let index = match self {
            Self::Unauthorized => 0,
            Self::NotFound(_) => 1,
            Self::WrongMethod => 2,
            Self::BadRequest(_) => 3,
            Self::TooLarge => 4,
            Self::SlowBody => 5,
            Self::Limited(..) => 6,
            Self::Overloaded(_) => 7,
            Self::Busy => 8,
            Self::NoTarget => 9,
            Self::NotConfigured => 10,
            Self::CutOff => 11,
            Self::Leaving => 12,
            Self::KeyMismatch => 13,
            Self::KeysFull => 14,
            Self::KeyExpired => 15,
            Self::KeyForeign => 16,
            Self::ClaimFailed => 17,
            Self::NotSent => 18,
            Self::BadResume => 19,
            Self::AnswerUnknown => 20,
            Self::HolderUnreachable => 21,
            Self::Broken(_) => 22,
            Self::TimedOut => 23,
        };
        &API_ERRORS[index]
    }

    /// Returns the HTTP status of the answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.row().1
    }

    /// Returns whether a target may have executed the call; says nothing of earlier calls with its
    /// key.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.row().2
    }

    /// Returns the time after which the caller may retry, if the answer has a `retry-after` header.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Limited(_, wait) | Self::Overloaded(wait) => Some(*wait),
            Self::Busy
            | Self::NoTarget
            | Self::NotConfigured
            | Self::CutOff
            | Self::Leaving
            | Self::ClaimFailed
            | Self::NotSent
            | Self::HolderUnreachable => Some(Duration::from_secs(1)),
            Self::KeysFull => Some(Duration::from_secs(30)),
            _ => None,
        }
    }

    /// Returns the outcome of a call with an idempotency key that was refused before the key was
    /// verified.
    ///
    /// Such a refusal says nothing of an earlier call with the key, so the outcome is unknown. A
    /// key of another call or caller, however, cannot have been used for this call.
    #[must_use]
    pub fn keyed_outcome(&self) -> Outcome {
        match self {
            Self::KeyMismatch | Self::KeyForeign => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// Returns the JSON body of the answer with the error's own outcome.
    #[must_use]
    pub fn body(&self) -> Value {
        self.body_with(self.outcome())
    }

    /// Returns the JSON body of the answer with a given outcome.
    fn body_with(&self, outcome: Outcome) -> Value {
        let (name, _, _, advice) = *self.row();
        let detail = match self {
            Self::NotFound(detail)
            | Self::BadRequest(detail)
            | Self::Limited(detail, _)
            | Self::Broken(detail) => format!("{}: {detail}", name.replace('_', " ")),
            _ => name.replace('_', " "),
        };
        json!({ "error": {
            "message": format!("{detail} ({advice})"),
            "type": name,
            "code": name,
            "outcome": outcome.as_str(),
        }})
    }

    /// Builds the answer with the error's own outcome.
    #[must_use]
    pub fn response(&self) -> Response<Body> {
        self.response_with(self.outcome())
    }

    /// Builds the answer with a given outcome.
    #[must_use]
    pub fn response_with(&self, outcome: Outcome) -> Response<Body> {
        let mut response = json_response(self.status(), &self.body_with(outcome));
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
        if let Some(wait) = self.retry_after() {
            let seconds = wait.as_millis().div_ceil(1000).max(1);
            headers.insert("retry-after", HeaderValue::from(seconds as u64));
        }
        if *self == Self::Unauthorized {
            headers.insert("www-authenticate", HeaderValue::from_static("Bearer"));
        }
        response
    }
}

/// Builds an answer with a status and a JSON body.
pub fn json_response(status: u16, value: &Value) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full(Bytes::from(value.to_string())))
        .expect("the parts of the answer are valid")
}

/// Builds a body from bytes in memory.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}
