//! Engines that keep the prompt of a group: those that run its items, and those that ran
//! some not long ago with the same weights.
//!
//! An engine keeps the parts of a prompt until its memory is needed or its weights change.
//! Reading them again takes it some milliseconds, in which its other runs wait. That is
//! less than any wait for a place, so a group's items never wait for an engine that keeps
//! their prompt; they prefer one among those that end them at about the same time.

use peatgrade_ports::Instance;
use peatgrade_types::{hash_bytes, Duration, Time};
use std::collections::HashMap;

/// How long an engine is taken to keep a prompt that nothing there uses.
const PROMPT_TTL: Duration = Duration::from_millis(4_000);
/// Groups that are remembered; beyond it the oldest go. Several times what the largest
/// trainers have open at once.
const MAX_GROUPS: usize = 2_048;
/// Engines that are remembered of a group: more than its items fill.
const MAX_ENGINES: usize = 8;

/// Names a group over jobs: a trainer that asks for it again gives the same name.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct PromptGroup(u64);

impl PromptGroup {
    /// The name of a tenant's group of a model.
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

/// Which engines keep which group's prompt.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheIndex {
    groups: HashMap<PromptGroup, Vec<CachedPrompt>>,
}

impl PromptCacheIndex {
    /// Takes note that an engine with these weights has read a group's prompt.
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

    /// Engines that keep a group's prompt, and the weights by which they read it.
    pub fn engines(&self, now: Time, group: PromptGroup) -> impl Iterator<Item = (&Instance, u64)> {
        let prompts = self.groups.get(&group).into_iter().flatten();
        let fresh = prompts.filter(move |prompt| now.since(prompt.last_used) < PROMPT_TTL);
        fresh.map(|prompt| (&prompt.engine, prompt.version))
    }

    /// Forgets the half that was used longest ago.
    fn evict_older_half(&mut self) {
        let last =
            |prompts: &Vec<CachedPrompt>| prompts.iter().map(|prompt| prompt.last_used).max();
        let mut times: Vec<_> = self.groups.values().map(last).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.groups.retain(|_, prompts| last(prompts) > median);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/placement/prompt_cache.rs"]
mod tests;
