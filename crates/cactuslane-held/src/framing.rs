//! What ends the bodies of answers.

use hyper::Response;
use hyper::body::Body;
use hyper::header::{CONNECTION, HeaderMap, TRANSFER_ENCODING};

/// What ends the body of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Its length, which the head states, or that there is none.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Connection,
}

impl Framing {
    /// Returns the framing of an answer whose head has arrived and whose body was not read yet.
    #[must_use]
    pub fn of<B: Body>(answer: &Response<B>) -> Self {
        let body = answer.body();
        if body.is_end_stream() || body.size_hint().exact().is_some() {
            Self::Length
        } else if is_chunked(answer.headers()) {
            Self::Chunks
        } else {
            Self::Connection
        }
    }

    /// Returns the name in log lines.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Returns whether an answer says that its connection is closed after it.
#[must_use]
pub fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut options = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Returns whether the last transfer coding is `chunked`, so that the body has a last chunk.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last.and_then(|value| value.to_str().ok());
    let coding = codings.and_then(|codings| codings.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
