//! Objects received by a list in progress.

use peatgrade_ports::{ListCursor, StoreObject};
use peatgrade_types::hash_bytes;
use std::collections::hash_map::{Entry, HashMap};

/// Maximum number of objects of a list, which bounds its memory.
const MAX_OBJECTS: usize = 100_000;
/// Maximum number of unreadable objects that are kept, for the log. Others may have long names.
const MAX_UNREADABLE: usize = 512;

/// Objects by name, each in its newest received state.
#[derive(Debug, Default)]
pub(super) struct ReceivedObjects {
    objects: Vec<(String, StoreObject)>,
    /// Place in `objects` by hash of the name; `None` for an object that is not kept.
    places: HashMap<u64, Option<usize>>,
    unreadable: usize,
}

impl ReceivedObjects {
    /// Adds the objects of a page. Returns whether any of them was not received before.
    pub fn add(&mut self, objects: Vec<(String, StoreObject)>) -> bool {
        let known = self.places.len();
        for (name, object) in objects {
            self.add_object(name, object);
        }
        self.places.len() > known
    }

    fn add_object(&mut self, name: String, object: StoreObject) {
        let is_unreadable = matches!(object, StoreObject::Unreadable { .. });
        let is_kept = !is_unreadable || self.unreadable < MAX_UNREADABLE;
        if name.is_empty() {
            // Objects without a readable name can't be told apart.
            if is_kept {
                self.unreadable += 1;
                self.objects.push((name, object));
            }
            return;
        }
        match self.places.entry(hash_bytes(name.as_bytes())) {
            Entry::Occupied(place) => {
                if let Some(place) = place.get() {
                    self.objects[*place].1 = object;
                }
            }
            Entry::Vacant(place) => {
                place.insert(is_kept.then_some(self.objects.len()));
                if is_kept {
                    self.unreadable += usize::from(is_unreadable);
                    self.objects.push((name, object));
                }
            }
        }
    }

    /// Adds a name that cannot be read, as the cursor behind it. Returns whether it was not
    /// received before.
    pub fn add_unreadable_name(&mut self, cursor: &ListCursor) -> bool {
        match self.places.entry(hash_bytes(&cursor.0)) {
            Entry::Occupied(_) => false,
            Entry::Vacant(place) => {
                place.insert(None);
                true
            }
        }
    }

    /// Number of names received.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    pub fn is_full(&self) -> bool {
        self.places.len() >= MAX_OBJECTS
    }

    pub fn objects(&self) -> &[(String, StoreObject)] {
        &self.objects
    }

    pub fn take(&mut self) -> Vec<(String, StoreObject)> {
        std::mem::take(self).objects
    }
}

#[cfg(test)]
#[path = "../../tests/unit/received_objects.rs"]
mod tests;
