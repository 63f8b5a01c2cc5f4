//! Numbered sets of objects that only move forward.

use peatgrade_schema::peer::{Channel, ConfigObject, ConfigReply};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    version: u64,
    deleted: bool,
    document: Vec<u8>,
}

/// A set of objects with the number of its last change.
///
/// The number never falls: a reply for a lower or equal number is ignored,
/// whoever sends it and however late. Deleted objects stay as markers, so that
/// a set of changes says what to remove.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    number: u64,
    objects: BTreeMap<String, Entry>,
}

impl Snapshot {
    /// Number of the last change.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Name and document of every object that is not deleted.
    pub fn documents(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let present = self.objects.iter().filter(|(_, entry)| !entry.deleted);
        present.map(|(name, entry)| (name.as_str(), entry.document.as_slice()))
    }

    /// Document of one object.
    pub fn document(&self, name: &str) -> Option<&[u8]> {
        let entry = self.objects.get(name).filter(|entry| !entry.deleted)?;
        Some(&entry.document)
    }

    /// Moves to `number` with exactly these documents. Returns whether
    /// anything was taken; a number that is not higher is refused.
    pub fn advance(&mut self, number: u64, documents: BTreeMap<String, Vec<u8>>) -> bool {
        if number <= self.number {
            return false;
        }
        for (name, entry) in &mut self.objects {
            if !entry.deleted && !documents.contains_key(name) {
                entry.deleted = true;
                entry.version = number;
                entry.document.clear();
            }
        }
        for (name, document) in documents {
            let entry = self.objects.entry(name).or_insert(Entry {
                version: 0,
                deleted: true,
                document: Vec::new(),
            });
            if entry.deleted || entry.document != document {
                *entry = Entry {
                    version: number,
                    deleted: false,
                    document,
                };
            }
        }
        self.number = number;
        true
    }

    /// The changes since `base`; everything if `base` is 0 or unknown here.
    pub fn changes_since(&self, base: u64, channel: Channel) -> ConfigReply {
        let base = if base > self.number { 0 } else { base };
        let changed = self
            .objects
            .iter()
            .filter(|(_, entry)| entry.version > base && !(base == 0 && entry.deleted));
        let objects = changed
            .map(|(name, entry)| ConfigObject {
                name: name.clone(),
                version: entry.version,
                deleted: entry.deleted,
                document: entry.document.clone(),
            })
            .collect();
        ConfigReply {
            base,
            number: self.number,
            objects,
            channel,
        }
    }

    /// Takes in changes. They apply on top of their base or of any number
    /// between it and theirs; base 0 is everything and applies on any lower
    /// number. Returns whether it moved.
    pub fn apply(&mut self, reply: &ConfigReply) -> bool {
        let fits = reply.base <= self.number;
        if reply.number <= self.number || !fits {
            return false;
        }
        if reply.base == 0 {
            self.objects.clear();
        }
        for object in &reply.objects {
            let entry = Entry {
                version: object.version,
                deleted: object.deleted,
                document: object.document.clone(),
            };
            self.objects.insert(object.name.clone(), entry);
        }
        self.number = reply.number;
        true
    }
}
