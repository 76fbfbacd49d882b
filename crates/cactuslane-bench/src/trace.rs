//! Random traces of requests, reproducible by seed.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{Scenario, Shape};

/// Number of callers among which the requests are distributed.
pub const CALLERS: usize = 8;
/// Number of tokens per KV block.
const BLOCK_TOKENS: u32 = 64;

/// Request of a trace with its known answer length.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Arrival time since the start of the trace, in microseconds.
    pub at: u64,
    /// Index of the caller.
    pub caller: usize,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Length of the answer, in tokens. Only the policy `clairvoyant` knows it in advance.
    pub output: u32,
    /// Maximum number of output tokens that the caller allows.
    pub max_output: u32,
    /// Hashes of the prompt's prefixes, one per full KV block, shortest prefix first.
    pub block_hashes: Vec<u64>,
}

/// Kind of request by the lengths of prompt and answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Long prompt, 3,000 to 11,000 tokens, with a short answer, 50 to 150 tokens.
    LongPrompt,
    /// Short prompt, 150 to 850 tokens, with a longer answer, 200 to 700 tokens.
    ShortPrompt,
}

/// Generates the requests of a scenario by arrival time, with exponentially distributed gaps.
#[must_use]
pub fn generate(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut requests = Vec::new();
    let end = scenario.seconds as f64;
    let mut at = 0.0;
    let mut number = 0_u64;
    loop {
        let share = long_prompt_share(scenario.shape, at, end);
        let rate = base_rate(scenario, share) * load_factor(scenario.shape, at, end);
        let uniform: f64 = random.random_range(1e-12..1.0);
        at += -uniform.ln() / rate;
        if at >= end {
            return requests;
        }
        let kind = if random.random_bool(share) {
            Kind::LongPrompt
        } else {
            Kind::ShortPrompt
        };
        number += 1;
        let request = request(scenario, kind, at, end, number, &mut random);
        requests.push(request);
    }
}

/// Returns the prompt and output tokens per millisecond of the requests that arrive from `from` to
/// before `until`, both in microseconds, for a planner that knows the trace.
#[must_use]
pub fn demand_between(requests: &[Request], from: u64, until: u64) -> (f64, f64) {
    let first = requests.partition_point(|request| request.at < from);
    let (mut prompt, mut output) = (0.0, 0.0);
    for request in &requests[first..] {
        if request.at >= until {
            break;
        }
        prompt += f64::from(request.prompt);
        output += f64::from(request.output);
    }
    let span = (until - from) as f64 / 1000.0;
    (prompt / span, output / span)
}

/// Returns the share of requests with long prompts at a time, in seconds like `end`.
fn long_prompt_share(shape: Shape, at: f64, end: f64) -> f64 {
    match shape {
        Shape::LongPrompts => 0.9,
        Shape::SlowShift => 0.1 + 0.8 * at / end,
        _ => {
            // Oscillates with a period of 240 s, and with a smaller amplitude with one of 75 s.
            let slow = (at * std::f64::consts::TAU / 240.0).sin();
            let fast = (at * std::f64::consts::TAU / 75.0).sin();
            (0.45 + 0.3 * slow + 0.12 * fast).clamp(0.05, 0.95)
        }
    }
}

/// Returns the factor on the base rate of requests at a time, in seconds like `end`.
fn load_factor(shape: Shape, at: f64, end: f64) -> f64 {
    let day = 0.75 + 0.25 * (at / end * std::f64::consts::PI).sin();
    let burst = match shape {
        Shape::Bursts if (at as u64) % 60 < 6 => 2.5,
        Shape::WildCaller if in_middle_third(at, end) => 3.0,
        _ => 1.0,
    };
    day * burst
}

/// Returns whether a time lies in the middle third of a trace that ends at `end`.
fn in_middle_third(at: f64, end: f64) -> bool {
    at > end / 3.0 && at < end * 2.0 / 3.0
}

/// Returns the requests per second that make up the scenario's load when `share` of them have long
/// prompts.
fn base_rate(scenario: &Scenario, share: f64) -> f64 {
    /// Mean prompt and output tokens of a request with a long prompt.
    const LONG_PROMPT: (f64, f64) = (7_000.0, 100.0);
    /// Mean prompt and output tokens of a request with a short prompt.
    const SHORT_PROMPT: (f64, f64) = (500.0, 450.0);
    /// Engine time for 1,000 prompt tokens and for 1,000 output tokens, in seconds.
    const COST: (f64, f64) = (0.065, 0.3);
    let prompt = share * LONG_PROMPT.0 + (1.0 - share) * SHORT_PROMPT.0;
    let output = share * LONG_PROMPT.1 + (1.0 - share) * SHORT_PROMPT.1;
    let seconds = prompt / 1000.0 * COST.0 + output / 1000.0 * COST.1;
    scenario.load * scenario.fleet.engines as f64 / seconds
}

/// Draws the lengths, the caller and the prefixes of a request.
fn request(
    scenario: &Scenario,
    kind: Kind,
    at: f64,
    end: f64,
    number: u64,
    random: &mut Pcg64Mcg,
) -> Request {
    let (prompt, output) = match kind {
        Kind::LongPrompt => (
            random.random_range(3_000..11_000),
            random.random_range(50..150),
        ),
        Kind::ShortPrompt => (random.random_range(150..850), random.random_range(200..700)),
    };
    let wild = scenario.shape == Shape::WildCaller && in_middle_third(at, end);
    let caller = if wild && random.random_bool(2.0 / 3.0) {
        0
    } else {
        random.random_range(0..CALLERS)
    };
    let block_hashes = prefix_hashes(scenario.shape, kind, prompt, number, random);
    let max_output = match kind {
        Kind::LongPrompt => 200,
        Kind::ShortPrompt => 1_000,
    };
    Request {
        at: (at * 1e6) as u64,
        caller,
        prompt,
        output,
        max_output,
        block_hashes,
    }
}

/// Draws the prefix hashes of a prompt. A share of its blocks, from the start, belongs to one of
/// several shared prefixes; the others are unique to the request `number`.
fn prefix_hashes(
    shape: Shape,
    kind: Kind,
    prompt: u32,
    number: u64,
    random: &mut Pcg64Mcg,
) -> Vec<u64> {
    let count = prompt / BLOCK_TOKENS;
    let (prefixes, shared_share) = match (shape, kind) {
        (Shape::HotPrefixes, Kind::LongPrompt) => (12, 0.8),
        (Shape::HotPrefixes, Kind::ShortPrompt) => (6, 0.7),
        (_, Kind::LongPrompt) => (400, 0.3),
        (_, Kind::ShortPrompt) => (40, 0.3),
    };
    let prefix: u64 =
        random.random_range(0..prefixes) + if kind == Kind::LongPrompt { 1_000 } else { 0 };
    let shared = (f64::from(count) * shared_share) as u32;
    let mut block_hashes = Vec::new();
    for index in 0..count {
        let prefix_number = if index < shared {
            prefix
        } else {
            1_000_000 + number
        };
        block_hashes.push(prefix_number << 20 | u64::from(index));
    }
    block_hashes
}
