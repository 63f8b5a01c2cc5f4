//! What prompt prefixes engines are expected to hold in their caches.

use peatgrade_types::{hash_bytes, hash_pair, EngineId};
use std::collections::{HashMap, VecDeque};

/// Bytes of prompt per cache block.
pub const BLOCK_BYTES: usize = 64;
/// Blocks of one prompt that are looked at.
const MAX_BLOCKS: usize = 64;
/// Blocks remembered per engine.
const BLOCKS_PER_ENGINE: usize = 4_096;

/// Chained hashes of the whole blocks of a prompt: two prompts that share
/// their first `n` hashes share their first `n` blocks.
pub fn prefix_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut chain = 0;
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            chain = hash_pair(chain, hash_bytes(block));
            chain
        })
        .collect()
}

#[derive(Debug, Default)]
struct EngineBlocks {
    held: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    stamp: u64,
    /// Sequence number of the last cache event taken in.
    sequence: u64,
}

/// Bounded memory of the blocks that each engine was sent or said to hold.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    engines: HashMap<EngineId, EngineBlocks>,
}

impl PrefixIndex {
    /// Notes that the engine now holds these blocks.
    pub fn insert(&mut self, engine: EngineId, blocks: &[u64]) {
        let known = self.engines.entry(engine).or_default();
        for &block in blocks {
            known.stamp += 1;
            known.held.insert(block, known.stamp);
            known.order.push_back((block, known.stamp));
        }
        while known.order.len() > BLOCKS_PER_ENGINE {
            if let Some((block, stamp)) = known.order.pop_front() {
                // Only the newest entry of a block counts.
                if known.held.get(&block) == Some(&stamp) {
                    known.held.remove(&block);
                }
            }
        }
    }

    /// Takes in a cache event. After a gap in the sequence what was believed
    /// is dropped, since evictions may have been missed.
    pub fn on_event(&mut self, engine: EngineId, sequence: u64, stored: &[u64], evicted: &[u64]) {
        let known = self.engines.entry(engine).or_default();
        if sequence <= known.sequence {
            return;
        }
        if known.sequence > 0 && sequence != known.sequence + 1 {
            known.held.clear();
            known.order.clear();
        }
        known.sequence = sequence;
        for block in evicted {
            known.held.remove(block);
        }
        self.insert(engine, stored);
    }

    /// Leading blocks of a prompt that the engine is expected to hold.
    pub fn matching_blocks(&self, engine: EngineId, blocks: &[u64]) -> usize {
        let Some(known) = self.engines.get(&engine) else {
            return 0;
        };
        let held = blocks
            .iter()
            .take_while(|block| known.held.contains_key(block));
        held.count()
    }

    /// Forgets an engine, for instance after a crash or a weight change.
    pub fn remove_engine(&mut self, engine: EngineId) {
        self.engines.remove(&engine);
    }
}
