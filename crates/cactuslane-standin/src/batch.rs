//! Simulation of an engine with continuous batching, without I/O or a clock of its own.
//!
//! One [`Batch::step`] computes a chunk of the admitted prompts and one token for each generating
//! stream, and returns the simulated duration. The live stand-in and the benchmark both use it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Number of tokens whose KV cache fills one block of memory.
pub const BLOCK_TOKENS: u32 = 64;

/// Identifier of a stream, unique within one engine.
pub type StreamId = u64;
/// Hash of a prompt prefix that ends at a block boundary.
pub type BlockHash = u64;

/// Speeds and sizes of a simulated engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineParams {
    /// The fixed part of a step's duration, in milliseconds.
    pub step_ms: f64,
    /// The time to compute one prompt token, in milliseconds.
    pub prefill_ms: f64,
    /// The time that one generating stream adds to a step, in milliseconds.
    pub decode_ms: f64,
    /// The time that 1,000 context tokens of generating streams add to a step, in milliseconds.
    pub context_ms: f64,
    /// The factor on the time of the work in a step that both computes prompts and generates.
    pub mixing: f64,
    /// The maximum number of prompt tokens per step, as on a mixed engine, without large chunks.
    pub mixed_chunk: u32,
    /// The maximum number of prompt tokens per step with large chunks, as on a prefill engine.
    pub prefill_chunk: u32,
    /// The maximum number of streams whose decoding continues in one step.
    pub max_streams: usize,
    /// The number of memory blocks, shared by the streams and the prefix cache.
    pub blocks: u32,
    /// The time to move the KV cache of 1,000 tokens between engines, in milliseconds.
    pub transfer_ms: f64,
}

/// The work of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The id of the stream, chosen by the user of the batch.
    pub id: StreamId,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The length of the prompt in tokens.
    pub prompt: u32,
    /// The hashes of the prompt's prefixes, one per full block.
    pub blocks: Vec<BlockHash>,
    /// The number of tokens to generate.
    pub output: u32,
    /// The number of prompt tokens whose KV cache is imported.
    pub imported: u32,
    /// Whether the engine only computes the prompt and exports its KV cache.
    pub prefill_only: bool,
}

/// Change in a stream at the end of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchEvent {
    /// A token was generated; its number counts from 1 and goes on after a preemption.
    Token(StreamId, u32),
    /// The stream has generated all its tokens or exported its KV cache, and has left the batch.
    Done(StreamId),
}

/// Result of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// The simulated duration.
    pub time: Duration,
    /// What changed at the end of the step, in order.
    pub events: Vec<BatchEvent>,
}

/// Load of an engine at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchLoad {
    /// The number of prompt tokens still to compute.
    pub queued_tokens: u64,
    /// The number of streams that wait for memory or whose prompt is not fully computed.
    pub waiting: u32,
    /// The number of streams that generate.
    pub running: u32,
    /// The number of memory blocks that no stream holds.
    pub free_blocks: u32,
    /// The number of computed prompt tokens and generated tokens of all streams.
    pub context_tokens: u64,
}

/// Streams and memory of a simulated engine.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The engine's speeds and sizes.
    pub params: EngineParams,
    /// Whether steps take [`EngineParams::prefill_chunk`] prompt tokens, as on a prefill engine.
    pub large_chunks: bool,
    /// The waiting and the admitted streams.
    streams: BTreeMap<StreamId, Stream>,
    /// The streams that wait for memory, as priority, number of arrival and id.
    waiting: BTreeSet<(u8, u64, StreamId)>,
    /// The number of streams added so far.
    arrivals: u64,
    /// The number of memory blocks that streams hold.
    used: u32,
    /// The prefixes cached in the memory that no stream holds.
    cache: PrefixCache,
}

/// A stream in a batch.
#[derive(Clone, Debug)]
struct Stream {
    /// The request; changed by a preemption.
    work: Work,
    /// Its number in the order of arrival.
    arrival: u64,
    /// The number of prompt tokens whose KV cache is in memory.
    computed: u32,
    /// The number of tokens generated since the stream was last admitted.
    generated: u32,
    /// The number of tokens generated in total, those before a preemption included.
    emitted: u32,
    /// The number of memory blocks that it holds; 0 while it waits.
    held: u32,
}

/// LRU cache of prefixes, kept in the memory that no stream holds.
#[derive(Clone, Debug, Default)]
struct PrefixCache {
    /// The cached prefixes, each with the value of `clock` at its last use.
    blocks: BTreeMap<BlockHash, u64>,
    /// The uses in order; the entry of a prefix that was used again later is skipped.
    order: VecDeque<(BlockHash, u64)>,
    /// The number of uses so far.
    clock: u64,
    /// The prefixes added since the last [`Batch::cache_changes`].
    stored: Vec<BlockHash>,
    /// The prefixes evicted since the last [`Batch::cache_changes`].
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
    /// Creates an empty batch with small chunks.
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

    /// Adds a stream; it waits until a step admits it.
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

    /// Removes a stream and frees its memory; returns false if there is no such stream.
    pub fn cancel(&mut self, id: StreamId) -> bool {
        let Some(stream) = self.streams.remove(&id) else {
            return false;
        };
        self.waiting
            .remove(&(stream.work.priority, stream.arrival, id));
        self.used -= stream.held;
        true
    }

    /// Returns whether there are no streams.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> BatchLoad {
        let mut load = BatchLoad {
            free_blocks: self.params.blocks - self.used,
            ..BatchLoad::default()
        };
        for stream in self.streams.values() {
            let left = u64::from(
                stream
                    .work
                    .prompt
                    .saturating_sub(stream.computed.max(stream.work.imported)),
            );
            load.queued_tokens += left;
            if left > 0 || stream.held == 0 {
                load.waiting += 1;
            } else {
                load.running += 1;
            }
            load.context_tokens += u64::from(stream.computed + stream.generated);
        }
        load
    }

    /// Returns the ids of all streams, in ascending order.
    #[must_use]
    pub fn ids(&self) -> Vec<StreamId> {
        self.streams.keys().copied().collect()
    }

    /// Returns the hashes that the prefix cache has added and evicted since the last call.
    pub fn cache_changes(&mut self) -> (Vec<BlockHash>, Vec<BlockHash>) {
        (
            std::mem::take(&mut self.cache.stored),
            std::mem::take(&mut self.cache.removed),
        )
    }

    /// Drops all streams and the prefix cache, as a restart does, and returns to small chunks.
    pub fn reset(&mut self) {
        *self = Self::new(self.params);
    }

    /// Simulates one step.
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

    /// Admits waiting streams by priority and arrival while they fit; empty memory takes any one.
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
            // The last prompt token is always computed, since its logits give the first token.
            let limit = stream.work.prompt.saturating_sub(1);
            stream.computed = (cached * BLOCK_TOKENS).max(stream.work.imported).min(limit);
            if stream.work.imported >= stream.work.prompt {
                stream.computed = stream.work.prompt;
            }
            self.used += needed;
            self.shrink_cache();
        }
    }

    /// Computes a chunk of prompts; returns its length and the streams whose prompt is complete.
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

    /// Returns the streams that decode in this step, without those whose prompt it completes.
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

    /// Returns the duration of a step that computes `chunk` prompt tokens.
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

    /// Caches a completed prompt, then exports its KV cache or generates the first token.
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

    /// Generates one token of a stream, with one more memory block if its blocks are full.
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

    /// Gives a stream one more memory block, preempting the least urgent streams, among equals the
    /// newest, if none is free; returns false if the stream itself was preempted.
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

    /// Frees a stream's memory and lets it wait again; its KV cache is recomputed once admitted.
    fn preempt(&mut self, id: StreamId) {
        let stream = self
            .streams
            .get_mut(&id)
            .expect("a preempted stream is known");
        self.used -= stream.held;
        stream.held = 0;
        // The tokens generated so far become part of the prompt and are recomputed with it.
        stream.work.prompt += stream.generated;
        stream.work.output -= stream.generated;
        stream.work.imported = 0;
        stream.computed = 0;
        stream.generated = 0;
        self.waiting
            .insert((stream.work.priority, stream.arrival, id));
    }

    /// Evicts prefixes until the cache fits the memory that no stream holds.
    fn shrink_cache(&mut self) {
        let room = self.params.blocks.saturating_sub(self.used) as usize;
        self.cache.shrink(room);
    }
}

impl PrefixCache {
    /// Returns how many leading prefixes are cached, and marks these as used.
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

    /// Caches a prefix, or marks it as the most recently used.
    fn touch(&mut self, block: BlockHash) {
        self.clock += 1;
        self.blocks.insert(block, self.clock);
        self.order.push_back((block, self.clock));
    }

    /// Evicts the least recently used prefixes until at most `room` blocks are left.
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

/// Returns the number of memory blocks that a number of tokens needs.
#[must_use]
pub fn blocks_for(tokens: u32) -> u32 {
    tokens.div_ceil(BLOCK_TOKENS)
}
