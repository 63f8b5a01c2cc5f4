//! Engines with room for waiting items, looked up once a look.

use peatgrade_fleet::EngineDirectory;
use peatgrade_types::Time;
use std::collections::HashMap;

use crate::placement::{service_pace, Candidates, Need, ServicePaces};

/// Engines that could run items of each class, looked up once in a look.
pub(super) struct Rooms {
    looks: Vec<Option<Option<Candidates>>>,
    full: usize,
    /// Paces of each service, gathered once a look: for each class anew they took longer
    /// than the starts of the look.
    paces: HashMap<String, Option<ServicePaces>>,
}

impl Rooms {
    pub fn new(classes: usize) -> Self {
        Self {
            paces: HashMap::new(),
            looks: (0..classes).map(|_| None).collect(),
            full: 0,
        }
    }

    /// Whether no item of any class finds a place.
    pub fn are_full(&self) -> bool {
        self.full == self.looks.len()
    }

    /// Whether it is known that no item of this class finds a place.
    pub fn is_full(&self, class: usize) -> bool {
        matches!(self.looks.get(class), Some(Some(None)))
    }

    /// The engines weighed for a class; none if no place is free.
    pub fn look(
        &mut self,
        now: Time,
        class: usize,
        directory: &EngineDirectory,
        need: &Need<'_>,
    ) -> Option<&Candidates> {
        if class >= self.looks.len() {
            self.looks.resize_with(class + 1, || None);
        }
        if self.looks[class].is_none() {
            let service = need.service.to_string();
            let paces = self.paces.entry(service);
            let paces = *paces.or_insert_with(|| service_pace(now, directory, need.service));
            let look = Candidates::find(now, directory, need, paces);
            let look = look.has_room(now, directory, need).then_some(look);
            self.full += usize::from(look.is_none());
            self.looks[class] = Some(look);
        }
        self.looks[class].as_ref()?.as_ref()
    }

    /// Takes note that an item found no place: maybe none is left for its class.
    pub fn note_full(
        &mut self,
        now: Time,
        class: usize,
        directory: &EngineDirectory,
        need: &Need<'_>,
    ) {
        if let Some(Some(look)) = self.looks.get_mut(class) {
            if look
                .as_ref()
                .is_some_and(|look| !look.has_room(now, directory, need))
            {
                *look = None;
                self.full += 1;
            }
        }
    }
}
