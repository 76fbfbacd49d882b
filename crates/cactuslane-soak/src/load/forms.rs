//! Unusual, but allowed forms in which callers send requests and read answers.

use std::time::Duration;

use cactuslane_platform_standin::caller::{ID_HEADER, TAKE_UP_HEADERS};
use hyper::Request;
use hyper::Version;
use hyper::header::{CONNECTION, HeaderName, HeaderValue, TRANSFER_ENCODING};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// Header that means nothing to anyone.
const OTHER_HEADER: &str = "x-kiosk";
/// Range of the numbers of blocks of a body after which a caller leaves.
const LEAVE_BLOCKS: std::ops::Range<usize> = 1..8;
/// Share of the streams that can be taken up of which a caller leaves the first attempt.
const LEAVE_SHARE: f64 = 0.4;
/// Share of the callers who left an attempt and leave the next one too.
const LEAVE_AGAIN: f64 = 0.3;
/// Time that a slow caller takes for a block of a body.
const SLOW_TIME: Duration = Duration::from_millis(70);
/// Number of times that an impatient caller repeats a refused request at once.
const REPEATS: u32 = 3;

/// The form of a caller's requests; the default is the usual one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Form {
    /// Version of HTTP.
    pub version: Version,
    /// Whether the connection is to be closed after the answer.
    pub closes: bool,
    /// Whether the body is sent in chunks.
    pub is_chunked: bool,
    /// Names of headers that the header `Connection` lists.
    pub listed: Vec<&'static str>,
    /// Names of headers that are sent twice with equal values.
    pub doubled: Vec<&'static str>,
    /// Time that the caller takes to read a block of the body.
    pub reading: Duration,
    /// Number of blocks of the body after which the caller closes the connection.
    pub leaves: Option<usize>,
    /// Number of times that a refused request is repeated at once.
    pub repeats: u32,
    /// Whether requests go to the instance of the request before until its process is gone.
    pub stays: bool,
}

impl Form {
    /// Draws a form: the usual one, or with the probability `unusual` one of the others.
    #[must_use]
    pub fn draw(rng: &mut Pcg64Mcg, unusual: f64) -> Self {
        let mut form = Self::default();
        if !rng.random_bool(unusual.clamp(0.0, 1.0)) {
            return form;
        }
        form.stays = rng.random_bool(0.3);
        match rng.random_range(0..8) {
            0 => form.version = Version::HTTP_10,
            1 => form.closes = true,
            2 => form.is_chunked = true,
            3 => {
                let names = [
                    TAKE_UP_HEADERS[0],
                    TAKE_UP_HEADERS[1],
                    ID_HEADER,
                    OTHER_HEADER,
                ];
                form.listed = names.choose_multiple(rng, 2).copied().collect();
            }
            4 => form.doubled = [&TAKE_UP_HEADERS[..], &[OTHER_HEADER]].concat(),
            5 => form.reading = SLOW_TIME,
            6 => form.leaves = Some(rng.random_range(LEAVE_BLOCKS)),
            _ => form.repeats = REPEATS,
        }
        form
    }

    /// Returns the form in which a caller takes up a stream: half of the time with odd headers of the
    /// place, and rarely to leave again.
    #[must_use]
    pub fn of_take_up(&self, rng: &mut Pcg64Mcg) -> Self {
        let mut form = self.clone();
        (form.listed, form.doubled) = (Vec::new(), Vec::new());
        form.leaves = form.leaves.filter(|_| rng.random_bool(LEAVE_AGAIN));
        if rng.random_bool(0.5) {
            let count = rng.random_range(1..=TAKE_UP_HEADERS.len());
            let names = TAKE_UP_HEADERS.choose_multiple(rng, count);
            let names = names.copied().collect();
            if rng.random_bool(0.75) {
                form.listed = names;
            } else {
                form.doubled = names;
            }
        }
        form
    }

    /// Returns whether the headers of the place are listed or come twice.
    #[must_use]
    pub fn has_odd_place(&self) -> bool {
        let mut names = self.listed.iter().chain(&self.doubled);
        names.any(|name| TAKE_UP_HEADERS.contains(name))
    }

    /// Lets the caller leave in the middle of the answer with a probability.
    pub fn leave_often(&mut self, rng: &mut Pcg64Mcg) {
        if rng.random_bool(LEAVE_SHARE) {
            self.leaves = Some(rng.random_range(LEAVE_BLOCKS));
        }
    }

    /// Returns whether requests need a connection of their own.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        let usual = Self {
            repeats: self.repeats,
            stays: self.stays,
            ..Self::default()
        };
        *self != usual
    }

    /// Gives a request the form, and the path in place of the URL, as on a connection of its own.
    pub fn apply<B>(&self, request: &mut Request<B>) {
        if let Some(path) = request.uri().path_and_query() {
            *request.uri_mut() = path.as_str().parse().unwrap_or_default();
        }
        let headers = request.headers_mut();
        if !self.listed.is_empty() || !self.doubled.is_empty() {
            headers.insert(OTHER_HEADER, HeaderValue::from_static("7"));
        }
        let mut listed: Vec<&str> = self.listed.clone();
        if self.closes {
            listed.push("close");
        }
        if !listed.is_empty() {
            headers.insert(CONNECTION, list(&listed));
        }
        for name in &self.doubled {
            let name = HeaderName::from_static(name);
            if let Some(value) = headers.get(&name).cloned() {
                headers.append(name, value);
            }
        }
        if self.is_chunked {
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        *request.version_mut() = self.version;
    }
}

/// Returns the value of a header that lists names.
fn list(names: &[&str]) -> HeaderValue {
    HeaderValue::from_str(&names.join(", ")).expect("names are header values")
}
