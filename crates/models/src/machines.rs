//! The platform's lagging list of machines.

use peatgrade_config::Machine;
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

/// How late the list shows a change.
pub const LIST_LAG: Duration = Duration::from_secs(2);

/// Machines, and changes of them that the list does not show yet.
#[derive(Debug, Default)]
pub struct MachineList {
    version: u64,
    shown: BTreeMap<String, Machine>,
    pending: Vec<(Time, String, Option<Machine>)>,
}

impl MachineList {
    /// Adds or changes a machine; the list shows it later.
    pub fn set(&mut self, now: Time, machine: Machine) {
        self.pending
            .push((now + LIST_LAG, machine.name.clone(), Some(machine)));
    }

    /// Adds a machine that the list shows from the start.
    pub fn set_at_start(&mut self, machine: Machine) {
        self.version += 1;
        self.shown.insert(machine.name.clone(), machine);
    }

    /// Removes a machine; the list shows it later.
    pub fn remove(&mut self, now: Time, name: &str) {
        self.pending.push((now + LIST_LAG, name.to_string(), None));
    }

    /// One machine, as the list shows it.
    pub fn get(&self, name: &str) -> Option<&Machine> {
        self.shown.get(name)
    }

    /// Number and content of the list as of `now`.
    pub fn list(&mut self, now: Time) -> (u64, Vec<Machine>) {
        let due: Vec<_> = self
            .pending
            .extract_if(.., |(at, _, _)| *at <= now)
            .collect();
        for (_, name, machine) in due {
            self.version += 1;
            match machine {
                Some(machine) => self.shown.insert(name, machine),
                None => self.shown.remove(&name),
            };
        }
        (self.version, self.shown.values().cloned().collect())
    }
}
