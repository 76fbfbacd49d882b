//! Tests of the simulated batch: order of tokens, prefix cache, KV transfer and cancellation.

use std::collections::BTreeMap;

use cactuslane_standin::batch::blocks_for;
use cactuslane_standin::{Batch, BatchEvent, EngineParams, Work};
use yare::parameterized;

/// Returns work with the lengths of its prompt and output in tokens, one prefix hash per block.
fn work(id: u64, prompt: u32, output: u32) -> Work {
    let blocks = (0..u64::from(prompt / 64))
        .map(|block| id << 32 | block)
        .collect();
    Work {
        id,
        priority: 1,
        prompt,
        blocks,
        output,
        imported: 0,
        prefill_only: false,
    }
}

/// Steps until a batch is idle.
///
/// Returns the numbers of each stream's tokens and the simulated time in milliseconds.
fn drain(batch: &mut Batch) -> (BTreeMap<u64, Vec<u32>>, f64) {
    let mut tokens: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    let mut time = 0.0;
    while !batch.is_idle() {
        let step = batch.step();
        time += step.time.as_secs_f64() * 1_000.0;
        for event in step.events {
            if let BatchEvent::Token(id, number) = event {
                tokens.entry(id).or_default().push(number);
            }
        }
    }
    (tokens, time)
}

/// Guards against tokens that are lost, repeated or out of order, and against memory that is not
/// freed, when streams are preempted for lack of memory.
#[parameterized(
    roomy = { 2_000, 20 },
    tight = { 60, 20 },
    one_at_a_time = { 20, 5 },
)]
fn every_token_comes_once(memory: u32, streams: u64) {
    let mut batch = Batch::new(EngineParams {
        blocks: memory,
        ..EngineParams::default()
    });
    for id in 0..streams {
        batch.add(work(id, 700, 100));
    }
    let (tokens, _) = drain(&mut batch);
    assert_eq!(tokens.len() as u64, streams);
    let expected: Vec<u32> = (1..=100).collect();
    assert!(tokens.values().all(|numbers| *numbers == expected));
    assert_eq!(batch.load().free_blocks, memory);
}

/// Guards against recomputing a prompt whose prefix is cached.
#[test]
fn a_cached_prefix_saves_time() {
    let mut batch = Batch::new(EngineParams::default());
    batch.add(work(1, 6_400, 1));
    let (_, first) = drain(&mut batch);
    let again = Work {
        id: 2,
        ..work(1, 6_400, 1)
    };
    batch.add(again);
    let (_, second) = drain(&mut batch);
    assert!(second < first / 3.0, "{second} after {first}");
}

/// Guards against tokens generated after an export of the KV cache, and against recomputing a
/// prompt whose KV cache was imported.
#[test]
fn a_transferred_kv_cache_is_not_recomputed() {
    let mut prefill = Batch::new(EngineParams::default());
    prefill.large_chunks = true;
    prefill.add(Work {
        prefill_only: true,
        ..work(1, 6_400, 50)
    });
    assert!(drain(&mut prefill).0.is_empty());
    let mut decode = Batch::new(EngineParams::default());
    decode.add(Work {
        imported: 6_400,
        blocks: Vec::new(),
        ..work(1, 6_400, 50)
    });
    let (tokens, time) = drain(&mut decode);
    assert_eq!(tokens[&1].len(), 50);
    assert!(time < 50.0 * 12.0, "{time}");
}

/// Guards against a cancelled stream that keeps its memory or stays in the batch.
#[test]
fn a_cancelled_stream_frees_its_memory() {
    let mut batch = Batch::new(EngineParams::default());
    batch.add(work(1, 700, 100));
    batch.step();
    assert!(batch.load().free_blocks < 2_000 - blocks_for(600));
    assert!(batch.cancel(1) && !batch.cancel(1));
    assert!(batch.is_idle());
    assert_eq!(batch.load().free_blocks, 2_000);
}
