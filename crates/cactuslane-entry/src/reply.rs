//! Answers of the instance itself, and every way in which a call can end without one of a target.

use std::io;
use std::time::Duration;

use cactuslane_types::Outcome;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use serde_json::{Value, json};

/// The body of an answer; an error breaks the connection.
pub type Body = BoxBody<Bytes, io::Error>;

/// Header that says whether a call that failed may have been executed.
pub const OUTCOME_HEADER: &str = "cactuslane-outcome";

/// A way in which a call ends without the answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiError {
    /// The caller has no valid token.
    Unauthorized,
    /// The caller may not use what it asks for, or there is none.
    NotFound(String),
    /// The method is not offered at the path.
    WrongMethod,
    /// The request is malformed.
    BadRequest(String),
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// A limit of the caller is reached.
    Limited(String, Duration),
    /// The bounds of the request cannot be met now.
    Overloaded(Duration),
    /// The instance itself has too many requests.
    Busy,
    /// No target serves the request now.
    NoTarget,
    /// The instance holds no current configuration.
    NotConfigured,
    /// The instance is cut off from the service and its peers.
    CutOff,
    /// The instance is leaving.
    Leaving,
    /// The idempotency key was used for another call.
    KeyMismatch,
    /// No more idempotency keys can be remembered.
    KeysFull,
    /// The idempotency key was issued too long ago for a first use.
    KeyExpired,
    /// The idempotency key was issued to another caller, or is forged.
    KeyForeign,
    /// The key could not be claimed, so the call was not sent.
    ClaimFailed,
    /// The target was not reached.
    NotSent,
    /// The resume token is not valid for this request.
    BadResume,
    /// An earlier call with the key may have been executed; its answer is not known.
    AnswerUnknown,
    /// The instance that the key is bound to is not reached.
    HolderUnreachable,
    /// The target's answer broke off or was not its own.
    Broken(String),
    /// The target did not answer in time.
    TimedOut,
}

/// One line of the table of endings: name, status, outcome and advice.
pub type ApiErrorRow = (&'static str, u16, Outcome, &'static str);

/// Holds every ending in the order of [`ApiError`].
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
    /// Returns the ending's line of the table.
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

    /// Returns the status of the answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.row().1
    }

    /// Returns whether the call may have been executed.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.row().2
    }

    /// Returns when the caller is told to come back.
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

    /// Returns the outcome of a call whose idempotency key may have been used before.
    ///
    /// A refusal that is given before anybody looked the key up says nothing of an earlier call.
    #[must_use]
    pub fn keyed_outcome(&self) -> Outcome {
        match self {
            Self::KeyMismatch | Self::KeyForeign => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// Returns the JSON body of the answer.
    #[must_use]
    pub fn body(&self) -> Value {
        self.body_with(self.outcome())
    }

    /// Returns the JSON body of the answer with an outcome.
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

    /// Builds the answer.
    #[must_use]
    pub fn response(&self) -> Response<Body> {
        self.response_with(self.outcome())
    }

    /// Builds the answer with an outcome.
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

/// Builds a JSON answer.
pub fn json_response(status: u16, value: &Value) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full(Bytes::from(value.to_string())))
        .expect("the parts of the answer are valid")
}

/// Builds a body from bytes.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}
