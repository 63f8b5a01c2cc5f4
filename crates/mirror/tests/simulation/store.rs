//! A versioned engine list that stands in for the object store.

use peatgrade_ports::{EngineRecord, Instance, ObjectKind, StoreEvent, StoreObject, StoreUpdate};
use peatgrade_types::{hash_pair, Time};
use std::collections::BTreeSet;

const ENGINE_COUNT: u64 = 12;

/// The engine list at each revision, with the time of the change.
pub struct Store {
    pub lists: Vec<(u64, BTreeSet<String>)>,
}

impl Store {
    pub fn revision(&self) -> u64 {
        self.lists.len() as u64 - 1
    }

    pub fn change(&mut self, now: u64) {
        let mut list = self.lists[self.lists.len() - 1].1.clone();
        let name = format!("engine-{}", hash_pair(7, self.revision()) % ENGINE_COUNT);
        if !list.remove(&name) {
            list.insert(name);
        }
        self.lists.push((now, list));
    }

    pub fn list(&self, now: u64) -> StoreUpdate {
        let revision = self.revision();
        let names = self.lists[revision as usize].1.iter();
        StoreUpdate::Listed {
            kind: ObjectKind::Engines,
            at: at(now),
            revision,
            complete: true,
            objects: names.map(|name| (name.clone(), engine(name))).collect(),
        }
    }

    pub fn changes(&self, now: u64, since: u64) -> StoreUpdate {
        let mut events = Vec::new();
        for revision in since + 1..=self.revision() {
            let previous = &self.lists[revision as usize - 1].1;
            let current = &self.lists[revision as usize].1;
            for name in previous.symmetric_difference(current) {
                let object = current.contains(name).then(|| engine(name));
                let name = name.clone();
                events.push(StoreEvent { name, object });
            }
        }
        StoreUpdate::Changed {
            kind: ObjectKind::Engines,
            at: at(now),
            revision: self.revision(),
            events,
        }
    }
}

pub fn configuration(now: u64, revision: u64) -> StoreUpdate {
    StoreUpdate::Listed {
        kind: ObjectKind::Configuration,
        at: at(now),
        revision,
        complete: true,
        objects: Vec::new(),
    }
}

fn engine(name: &str) -> StoreObject {
    StoreObject::Engine(EngineRecord {
        instance: Instance(name.into()),
        ..EngineRecord::default()
    })
}

pub fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}
