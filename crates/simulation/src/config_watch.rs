//! Watches that what was accepted is in force everywhere.

use peatgrade_models::objects::ObjectStore;
use peatgrade_oracle::{Oracle, CONFIG_LIMIT};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, BTreeSet};

use crate::process::Process;

/// Time for which a node must have been up, reachable and running before it
/// is expected to keep up.
const SOUND_FOR: Duration = Duration::from_secs(15);

/// Accepted versions and when operators first saw them accepted.
#[derive(Debug, Default)]
pub(crate) struct ConfigWatch {
    accepted: BTreeMap<u64, Time>,
    reported: BTreeMap<(String, u64), u64>,
    changed: BTreeSet<u64>,
    /// Time from a change until the last sound node had it in force.
    pub spread: Vec<Duration>,
    open: BTreeMap<u64, Time>,
}

impl ConfigWatch {
    /// Looks at the store and at all nodes.
    pub fn observe(
        &mut self,
        now: Time,
        store: &ObjectStore,
        nodes: &mut [Process],
        oracle: &mut Oracle,
    ) {
        for object in store.objects() {
            let version = object.resource_version;
            let status = object.status.as_ref();
            let current = status.filter(|status| status.observed_version == version);
            if current.is_some_and(|status| status.error.is_some()) {
                self.changed.remove(&version);
                self.open.remove(&version);
                continue;
            }
            if current.is_some_and(|status| status.accepted) {
                self.accepted.entry(version).or_insert(now);
            }
            if !self.changed.contains(&version) {
                self.changed.insert(version);
                self.open.insert(version, now);
            }
        }
        let mut lowest = u64::MAX;
        for node in nodes.iter_mut() {
            if !node.active(now) {
                continue;
            }
            let Some(core) = node.core.as_mut() else {
                continue;
            };
            let number = core.status().config;
            oracle.on_config_seen(now, &node.name, node.generation, number);
            if now.since(node.sound_since) < SOUND_FOR {
                continue;
            }
            lowest = lowest.min(number);
            self.check_late(now, node, number, oracle);
        }
        let closed: Vec<u64> = self
            .open
            .range(..=lowest)
            .map(|(version, _)| *version)
            .collect();
        for version in closed {
            let since = self.open.remove(&version);
            self.spread.extend(since.map(|since| now.since(since)));
        }
    }

    fn check_late(&mut self, now: Time, node: &Process, number: u64, oracle: &mut Oracle) {
        let due = self
            .accepted
            .iter()
            .rev()
            .find(|(_, at)| now.since(**at) > CONFIG_LIMIT)
            .map(|(version, _)| *version);
        let Some(due) = due.filter(|due| *due > number) else {
            return;
        };
        let key = (node.name.clone(), node.generation);
        if self.reported.get(&key) != Some(&due) {
            self.reported.insert(key, due);
            oracle.on_config_late(now, &node.name, number, due);
        }
    }
}
