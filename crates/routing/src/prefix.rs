//! Index of the prompt prefixes that engines are expected to have cached.

use peatgrade_types::{hash_bytes, hash_pair, EngineId};
use std::collections::{HashMap, VecDeque};

/// Bytes of prompt per cache block.
pub const BLOCK_BYTES: usize = 64;
/// Maximum number of blocks of a prompt that are considered.
const MAX_BLOCKS_PER_PROMPT: usize = 64;
/// Maximum number of blocks tracked per engine.
const MAX_BLOCKS_PER_ENGINE: usize = 4_096;

/// Chained hashes of the complete blocks of a prompt. Prompts that share their first `n` hashes
/// share their first `n` blocks.
pub fn prefix_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut chain = 0;
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS_PER_PROMPT);
    blocks
        .map(|block| {
            chain = hash_pair(chain, hash_bytes(block));
            chain
        })
        .collect()
}

#[derive(Debug, Default)]
struct EngineBlocks {
    /// Stamp of the latest insertion of each block.
    cached: HashMap<u64, u64>,
    /// Insertions in order, as pairs of block and stamp.
    order: VecDeque<(u64, u64)>,
    last_stamp: u64,
    /// Sequence number of the last applied cache event.
    sequence: u64,
}

/// Bounded index of the blocks that each engine was sent or has reported as cached.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    engines: HashMap<EngineId, EngineBlocks>,
}

impl PrefixIndex {
    /// Records that the engine has cached these blocks.
    pub fn insert(&mut self, engine: EngineId, blocks: &[u64]) {
        let entry = self.engines.entry(engine).or_default();
        for &block in blocks {
            entry.last_stamp += 1;
            entry.cached.insert(block, entry.last_stamp);
            entry.order.push_back((block, entry.last_stamp));
        }
        while entry.order.len() > MAX_BLOCKS_PER_ENGINE {
            if let Some((block, stamp)) = entry.order.pop_front() {
                // A block that was inserted again later stays.
                if entry.cached.get(&block) == Some(&stamp) {
                    entry.cached.remove(&block);
                }
            }
        }
    }

    /// Applies a cache event. A gap in the sequence clears the engine's blocks, since evictions
    /// may have been missed.
    pub fn on_event(&mut self, engine: EngineId, sequence: u64, stored: &[u64], evicted: &[u64]) {
        let entry = self.engines.entry(engine).or_default();
        if sequence <= entry.sequence {
            return;
        }
        if entry.sequence > 0 && sequence != entry.sequence + 1 {
            entry.cached.clear();
            entry.order.clear();
        }
        entry.sequence = sequence;
        for block in evicted {
            entry.cached.remove(block);
        }
        self.insert(engine, stored);
    }

    /// Number of leading blocks of a prompt that the engine is expected to have cached.
    pub fn matching_blocks(&self, engine: EngineId, blocks: &[u64]) -> usize {
        let Some(entry) = self.engines.get(&engine) else {
            return 0;
        };
        let matching = blocks
            .iter()
            .take_while(|block| entry.cached.contains_key(block));
        matching.count()
    }

    /// Removes an engine, for instance after a crash or a weight change.
    pub fn remove_engine(&mut self, engine: EngineId) {
        self.engines.remove(&engine);
    }
}
