//! Tracks which engines are expected to have a group's prompt in their prompt cache.
//!
//! An engine caches a prompt until it needs the memory or its weights change. Reading a
//! prompt again costs less than waiting for a slot, so items never wait for an engine with
//! their prompt; they only prefer it among engines with similar expected ends.

use peatgrade_ports::Instance;
use peatgrade_types::{hash_bytes, Duration, Time};
use std::collections::HashMap;

/// How long an unused prompt is assumed to stay in an engine's cache.
const PROMPT_TTL: Duration = Duration::from_millis(4_000);
/// Maximum number of tracked groups.
const MAX_GROUPS: usize = 2_048;
/// Maximum number of tracked engines per group.
const MAX_ENGINES: usize = 8;

/// Identifies a group across jobs; a trainer that resubmits a group uses the same name.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct PromptGroup(u64);

impl PromptGroup {
    pub fn of(tenant: &str, model: &str, group: &str) -> Self {
        let name = format!("{tenant}\0{model}\0{group}");
        Self(hash_bytes(name.as_bytes()))
    }
}

#[derive(Clone, Debug)]
struct CachedPrompt {
    engine: Instance,
    version: u64,
    last_used: Time,
}

/// Engines with a cached prompt, by group. Each list is ordered by last use.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheIndex {
    groups: HashMap<PromptGroup, Vec<CachedPrompt>>,
}

impl PromptCacheIndex {
    /// Records that an engine with this weights version has read a group's prompt.
    pub fn record_use(&mut self, now: Time, group: PromptGroup, engine: &Instance, version: u64) {
        if !self.groups.contains_key(&group) && self.groups.len() >= MAX_GROUPS {
            self.evict_older_half();
        }
        let prompts = self.groups.entry(group).or_default();
        prompts.retain(|prompt| prompt.engine != *engine);
        if prompts.len() >= MAX_ENGINES {
            prompts.remove(0);
        }
        prompts.push(CachedPrompt {
            engine: engine.clone(),
            version,
            last_used: now,
        });
    }

    /// Engines with a group's prompt, and the weights version with which they read it.
    pub fn engines(&self, now: Time, group: PromptGroup) -> impl Iterator<Item = (&Instance, u64)> {
        let prompts = self.groups.get(&group).into_iter().flatten();
        let fresh = prompts.filter(move |prompt| now.since(prompt.last_used) < PROMPT_TTL);
        fresh.map(|prompt| (&prompt.engine, prompt.version))
    }

    /// Removes the least recently used half of the groups.
    fn evict_older_half(&mut self) {
        let last_used =
            |prompts: &Vec<CachedPrompt>| prompts.iter().map(|prompt| prompt.last_used).max();
        let mut times: Vec<_> = self.groups.values().map(last_used).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.groups.retain(|_, prompts| last_used(prompts) > median);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/placement/kept_prompts.rs"]
mod tests;
