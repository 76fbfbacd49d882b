//! The model of an engine that batches continuously, without I/O or a clock of its own.
//!
//! One [`Batch::step`] computes a chunk of waiting prompts and one token for every stream that
//! generates, and says how long that took. The live stand-in and the benchmark share it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Number of tokens whose KV cache fills one piece of memory.
pub const BLOCK_TOKENS: u32 = 64;

/// Identifies a stream within one engine.
pub type StreamId = u64;
/// The hash of a prompt's prefix that ends at a piece's border.
pub type BlockHash = u64;

/// Holds the speeds and sizes of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineParams {
    /// The time of a step before any work, in milliseconds.
    pub step_ms: f64,
    /// The time to compute one prompt token, in milliseconds.
    pub prefill_ms: f64,
    /// The time that one generating stream adds to a step, in milliseconds.
    pub decode_ms: f64,
    /// The time that 1,000 tokens of context add to a step, in milliseconds.
    pub context_ms: f64,
    /// The factor by which a step that mixes both kinds of work is slower.
    pub mixing: f64,
    /// The number of prompt tokens that a step of a mixed engine computes at most.
    pub mixed_chunk: u32,
    /// The number of prompt tokens that a step of a prefill engine computes at most.
    pub prefill_chunk: u32,
    /// The number of streams that generate at once at most.
    pub max_streams: usize,
    /// The number of pieces of memory.
    pub blocks: u32,
    /// The time to move the KV cache of 1,000 tokens between engines, in milliseconds.
    pub transfer_ms: f64,
}

/// The work of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Identifies the stream.
    pub id: StreamId,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The length of the prompt in tokens.
    pub prompt: u32,
    /// Holds the hashes of the prompt's prefixes, one a piece.
    pub blocks: Vec<BlockHash>,
    /// The number of tokens to generate.
    pub output: u32,
    /// The number of prompt tokens whose KV cache is imported.
    pub imported: u32,
    /// Says whether the engine only computes the prompt and exports its KV cache.
    pub prefill_only: bool,
}

/// What happened to a stream at the end of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchEvent {
    /// A token was generated; the number counts from 1.
    Token(StreamId, u32),
    /// The stream has all its tokens, or its exported KV cache.
    Done(StreamId),
}

/// The result of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// How long the step took.
    pub time: Duration,
    /// Holds what happened at its end.
    pub events: Vec<BatchEvent>,
}

/// What an engine reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchLoad {
    /// The number of prompt tokens still to compute.
    pub queued: u64,
    /// The number of streams that wait or compute a prompt.
    pub waiting: u32,
    /// The number of streams that generate.
    pub running: u32,
    /// The number of free pieces of memory.
    pub free: u32,
    /// The number of tokens in the contexts of all streams.
    pub context: u64,
}

/// An engine's batch.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Holds the engine's speeds and sizes.
    pub params: EngineParams,
    /// Says whether prompts are computed in large chunks, as a prefill engine does.
    pub large_chunks: bool,
    /// Holds the streams.
    streams: BTreeMap<StreamId, Stream>,
    /// Holds the streams that wait for memory, by priority and arrival.
    waiting: BTreeSet<(u8, u64, StreamId)>,
    /// The number of arrivals so far.
    arrivals: u64,
    /// The number of pieces that streams hold.
    used: u32,
    /// The cache of prefixes.
    cache: PrefixCache,
}

/// A stream in a batch.
#[derive(Clone, Debug)]
struct Stream {
    /// Its work.
    work: Work,
    /// The order of its arrival.
    arrival: u64,
    /// The number of prompt tokens whose KV cache is there.
    computed: u32,
    /// The number of tokens generated since the prompt was computed.
    generated: u32,
    /// The number of tokens generated in all.
    emitted: u32,
    /// The number of pieces it holds; 0 while it waits.
    held: u32,
}

/// Remembers prefixes in the memory that no stream holds, the oldest leaving first.
#[derive(Clone, Debug, Default)]
struct PrefixCache {
    /// Holds the cached prefixes with the time of their last use.
    blocks: BTreeMap<BlockHash, u64>,
    /// Holds the order of use; an outdated entry is skipped.
    order: VecDeque<(BlockHash, u64)>,
    /// Counts uses.
    clock: u64,
    /// Holds prefixes stored since the last reading.
    stored: Vec<BlockHash>,
    /// Holds prefixes removed since the last reading.
    removed: Vec<BlockHash>,
}

impl Default for EngineParams {
    fn default() -> Self {
        Self {
            step_ms: 8.0,
            prefill_ms: 0.04,
            decode_ms: 0.12,
            context_ms: 0.03,
            mixing: 1.15,
            mixed_chunk: 384,
            prefill_chunk: 4096,
            max_streams: 128,
            blocks: 2000,
            transfer_ms: 4.0,
        }
    }
}

impl Batch {
    /// Creates an empty batch.
    #[must_use]
    pub fn new(params: EngineParams) -> Self {
        Self {
            params,
            large_chunks: false,
            streams: BTreeMap::new(),
            waiting: BTreeSet::new(),
            arrivals: 0,
            used: 0,
            cache: PrefixCache::default(),
        }
    }

    /// Adds a stream.
    pub fn add(&mut self, work: Work) {
        self.arrivals += 1;
        let (id, priority) = (work.id, work.priority);
        self.waiting.insert((priority, self.arrivals, id));
        let stream = Stream {
            work,
            arrival: self.arrivals,
            computed: 0,
            generated: 0,
            emitted: 0,
            held: 0,
        };
        self.streams.insert(id, stream);
    }

    /// Removes a stream; false if there is none.
    pub fn cancel(&mut self, id: StreamId) -> bool {
        let Some(stream) = self.streams.remove(&id) else {
            return false;
        };
        self.waiting
            .remove(&(stream.work.priority, stream.arrival, id));
        self.used -= stream.held;
        true
    }

    /// Returns whether there is nothing to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the load now.
    #[must_use]
    pub fn load(&self) -> BatchLoad {
        let mut load = BatchLoad {
            free: self.params.blocks - self.used,
            ..BatchLoad::default()
        };
        for stream in self.streams.values() {
            let left = u64::from(
                stream
                    .work
                    .prompt
                    .saturating_sub(stream.computed.max(stream.work.imported)),
            );
            load.queued += left;
            if left > 0 || stream.held == 0 {
                load.waiting += 1;
            } else {
                load.running += 1;
            }
            load.context += u64::from(stream.computed + stream.generated);
        }
        load
    }

    /// Returns the ids of all streams.
    #[must_use]
    pub fn ids(&self) -> Vec<StreamId> {
        self.streams.keys().copied().collect()
    }

    /// Returns the changes of the prefix cache since the last call: stored and removed hashes.
    pub fn cache_changes(&mut self) -> (Vec<BlockHash>, Vec<BlockHash>) {
        (
            std::mem::take(&mut self.cache.stored),
            std::mem::take(&mut self.cache.removed),
        )
    }

    /// Drops the prefix cache and all streams, as a restart does.
    pub fn reset(&mut self) {
        *self = Self::new(self.params);
    }

    /// Computes one step.
    pub fn step(&mut self) -> Step {
        self.admit();
        let (chunk, finished) = self.prefill();
        let decoding = self.decoding();
        let time = self.step_time(chunk, &decoding);
        let mut events = Vec::new();
        for id in finished {
            self.finish_prompt(id, &mut events);
        }
        for id in decoding {
            self.generate(id, &mut events);
        }
        Step { time, events }
    }

    /// Gives memory to waiting streams, in order, while there is some.
    fn admit(&mut self) {
        while let Some(&(priority, arrival, id)) = self.waiting.first() {
            let stream = &self.streams[&id];
            let needed = blocks_for(stream.work.prompt + stream.generated + 1);
            if self.used + needed > self.params.blocks && self.used > 0 {
                return;
            }
            self.waiting.remove(&(priority, arrival, id));
            let cached = self.cache.hit(&self.streams[&id].work.blocks);
            let stream = self
                .streams
                .get_mut(&id)
                .expect("a waiting stream is known");
            stream.held = needed;
            // The last prompt token is always computed, to have its logits.
            let limit = stream.work.prompt.saturating_sub(1);
            stream.computed = (cached * BLOCK_TOKENS).max(stream.work.imported).min(limit);
            if stream.work.imported >= stream.work.prompt {
                stream.computed = stream.work.prompt;
            }
            self.used += needed;
            self.shrink_cache();
        }
    }

    /// Computes a chunk of prompts and returns its length and the streams whose prompt is done.
    fn prefill(&mut self) -> (u32, Vec<StreamId>) {
        let limit = if self.large_chunks {
            self.params.prefill_chunk
        } else {
            self.params.mixed_chunk
        };
        let mut left = limit;
        let mut finished = Vec::new();
        let mut order: Vec<(u8, u64, StreamId)> = Vec::new();
        for (id, stream) in &self.streams {
            if stream.held > 0 && stream.computed < stream.work.prompt {
                order.push((stream.work.priority, stream.arrival, *id));
            }
        }
        order.sort_unstable();
        for (_, _, id) in order {
            if left == 0 {
                break;
            }
            let stream = self
                .streams
                .get_mut(&id)
                .expect("an ordered stream is known");
            let part = left.min(stream.work.prompt - stream.computed);
            stream.computed += part;
            left -= part;
            if stream.computed == stream.work.prompt {
                finished.push(id);
            }
        }
        (limit - left, finished)
    }

    /// Returns the streams that generate a token in this step.
    fn decoding(&self) -> Vec<StreamId> {
        let ready = |stream: &Stream| {
            stream.held > 0
                && stream.computed >= stream.work.prompt
                && (stream.generated > 0 || stream.work.imported >= stream.work.prompt)
        };
        let mut order: Vec<(u8, u64, StreamId)> = Vec::new();
        for (id, stream) in &self.streams {
            if ready(stream) {
                order.push((stream.work.priority, stream.arrival, *id));
            }
        }
        order.sort_unstable();
        order.truncate(self.params.max_streams);
        order.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Returns how long a step takes.
    fn step_time(&self, chunk: u32, decoding: &[StreamId]) -> Duration {
        let p = &self.params;
        let tokens = |id: &StreamId| {
            let stream = &self.streams[id];
            f64::from(stream.work.prompt + stream.generated)
        };
        let context: f64 = decoding.iter().map(tokens).sum();
        let prefill = f64::from(chunk) * p.prefill_ms;
        let decode = decoding.len() as f64 * p.decode_ms + context / 1000.0 * p.context_ms;
        let mixed = if chunk > 0 && !decoding.is_empty() {
            p.mixing
        } else {
            1.0
        };
        Duration::from_secs_f64((p.step_ms + (prefill + decode) * mixed) / 1000.0)
    }

    /// Ends the prompt of a stream: exports it, or generates its first token.
    fn finish_prompt(&mut self, id: StreamId, events: &mut Vec<BatchEvent>) {
        let stream = &self.streams[&id];
        self.cache.store(&stream.work.blocks);
        let prefill_only = stream.work.prefill_only;
        self.shrink_cache();
        if prefill_only {
            self.cancel(id);
            events.push(BatchEvent::Done(id));
            return;
        }
        self.generate(id, events);
    }

    /// Generates one token of a stream, making room first if its memory is full.
    fn generate(&mut self, id: StreamId, events: &mut Vec<BatchEvent>) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        if stream.held == 0 {
            return;
        }
        let needed = blocks_for(stream.work.prompt + stream.generated + 1);
        if needed > stream.held && !self.grow(id) {
            return;
        }
        let stream = self
            .streams
            .get_mut(&id)
            .expect("a generating stream is known");
        stream.generated += 1;
        stream.emitted += 1;
        events.push(BatchEvent::Token(id, stream.emitted));
        if stream.generated >= stream.work.output {
            self.cancel(id);
            events.push(BatchEvent::Done(id));
        }
    }

    /// Gives a stream one more piece; false if it had to leave memory itself.
    fn grow(&mut self, id: StreamId) -> bool {
        while self.used >= self.params.blocks {
            let victim = self.streams.iter().filter(|(_, stream)| stream.held > 0);
            let victim = victim.max_by_key(|(_, stream)| (stream.work.priority, stream.arrival));
            let Some((&victim, _)) = victim else { break };
            self.preempt(victim);
            if victim == id {
                return false;
            }
        }
        let stream = self
            .streams
            .get_mut(&id)
            .expect("a growing stream is known");
        stream.held += 1;
        self.used += 1;
        self.shrink_cache();
        true
    }

    /// Takes a stream's memory away; its KV cache is computed again later.
    fn preempt(&mut self, id: StreamId) {
        let stream = self
            .streams
            .get_mut(&id)
            .expect("a preempted stream is known");
        self.used -= stream.held;
        stream.held = 0;
        // The tokens generated so far are computed again with the prompt.
        stream.work.prompt += stream.generated;
        stream.work.output -= stream.generated;
        stream.work.imported = 0;
        stream.computed = 0;
        stream.generated = 0;
        self.waiting
            .insert((stream.work.priority, stream.arrival, id));
    }

    /// Removes prefixes until the cache fits the memory that is left.
    fn shrink_cache(&mut self) {
        let room = self.params.blocks.saturating_sub(self.used) as usize;
        self.cache.shrink(room);
    }
}

impl PrefixCache {
    /// Returns the number of leading prefixes that are cached, and marks them as used.
    fn hit(&mut self, blocks: &[BlockHash]) -> u32 {
        let hits = blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count();
        for block in &blocks[..hits] {
            self.touch(*block);
        }
        hits as u32
    }

    /// Caches all prefixes of a prompt.
    fn store(&mut self, blocks: &[BlockHash]) {
        for block in blocks {
            if !self.blocks.contains_key(block) {
                self.stored.push(*block);
            }
            self.touch(*block);
        }
    }

    /// Marks a prefix as used now.
    fn touch(&mut self, block: BlockHash) {
        self.clock += 1;
        self.blocks.insert(block, self.clock);
        self.order.push_back((block, self.clock));
    }

    /// Removes the prefixes that were used longest ago.
    fn shrink(&mut self, room: usize) {
        while self.blocks.len() > room {
            let Some((block, used)) = self.order.pop_front() else {
                return;
            };
            if self.blocks.get(&block) == Some(&used) {
                self.blocks.remove(&block);
                self.removed.push(block);
            }
        }
    }
}

/// Returns the number of pieces that a number of tokens fills.
#[must_use]
pub fn blocks_for(tokens: u32) -> u32 {
    tokens.div_ceil(BLOCK_TOKENS)
}
