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
const KEPT_FOR: Duration = Duration::from_millis(4_000);
/// Groups that are remembered; beyond it the oldest go. Several times what the largest
/// trainers have open at once.
const MAX_GROUPS: usize = 2_048;
/// Engines that are remembered of a group: more than its items fill.
const MAX_ENGINES: usize = 8;

/// Names a group over jobs: a trainer that asks for it again gives the same name.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct GroupName(u64);

impl GroupName {
    /// The name of a tenant's group of a model.
    pub fn of(tenant: &str, model: &str, group: &str) -> Self {
        let name = format!("{tenant}\0{model}\0{group}");
        Self(hash_bytes(name.as_bytes()))
    }
}

#[derive(Clone, Debug)]
struct Keeper {
    engine: Instance,
    version: u64,
    used: Time,
}

/// Which engines keep which group's prompt.
#[derive(Clone, Debug, Default)]
pub struct KeptPrompts {
    groups: HashMap<GroupName, Vec<Keeper>>,
}

impl KeptPrompts {
    /// Takes note that an engine with these weights has read a group's prompt.
    pub fn used(&mut self, now: Time, group: GroupName, engine: &Instance, version: u64) {
        if !self.groups.contains_key(&group) && self.groups.len() >= MAX_GROUPS {
            self.forget_half();
        }
        let keepers = self.groups.entry(group).or_default();
        keepers.retain(|keeper| keeper.engine != *engine);
        if keepers.len() >= MAX_ENGINES {
            keepers.remove(0);
        }
        keepers.push(Keeper {
            engine: engine.clone(),
            version,
            used: now,
        });
    }

    /// Engines that keep a group's prompt, and the weights by which they read it.
    pub fn keepers(&self, now: Time, group: GroupName) -> impl Iterator<Item = (&Instance, u64)> {
        let keepers = self.groups.get(&group).into_iter().flatten();
        let fresh = keepers.filter(move |keeper| now.since(keeper.used) < KEPT_FOR);
        fresh.map(|keeper| (&keeper.engine, keeper.version))
    }

    /// Forgets the half that was used longest ago.
    fn forget_half(&mut self) {
        let last = |keepers: &Vec<Keeper>| keepers.iter().map(|keeper| keeper.used).max();
        let mut times: Vec<_> = self.groups.values().map(last).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.groups.retain(|_, keepers| last(keepers) > median);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/placement/kept_prompts.rs"]
mod tests;
