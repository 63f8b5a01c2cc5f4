//! The tenants in force on a node.

use crate::snapshot::Snapshot;
use peatgrade_schema::documents::TenantSpec;
use std::collections::BTreeMap;

/// A tenant in force.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantEntry {
    /// Name, also the first path segment of its callers.
    pub name: String,
    /// What it runs as.
    pub spec: TenantSpec,
}

/// Tenants by name, read from a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Number of the snapshot.
    pub number: u64,
    tenants: BTreeMap<String, std::rc::Rc<TenantEntry>>,
}

impl Catalog {
    /// Reads every tenant of a snapshot. The reader validated them before they
    /// were accepted; one that cannot be read is left as it was.
    pub fn update(&mut self, snapshot: &Snapshot) {
        let mut tenants = BTreeMap::new();
        for (name, document) in snapshot.documents() {
            let parsed = serde_json::from_slice::<TenantSpec>(document);
            let entry = match parsed {
                Ok(spec) => std::rc::Rc::new(TenantEntry {
                    name: name.to_string(),
                    spec,
                }),
                Err(_) => match self.tenants.get(name) {
                    Some(known) => known.clone(),
                    None => continue,
                },
            };
            tenants.insert(name.to_string(), entry);
        }
        self.tenants = tenants;
        self.number = snapshot.number();
    }

    /// One tenant.
    pub fn tenant(&self, name: &str) -> Option<std::rc::Rc<TenantEntry>> {
        self.tenants.get(name).cloned()
    }

    /// Every tenant.
    pub fn tenants(&self) -> impl Iterator<Item = &std::rc::Rc<TenantEntry>> {
        self.tenants.values()
    }

    /// The tenant whose trainer has this name.
    pub fn trainer(&self, trainer: &str) -> Option<std::rc::Rc<TenantEntry>> {
        let fed_by = |entry: &&std::rc::Rc<TenantEntry>| {
            entry
                .spec
                .training
                .as_ref()
                .is_some_and(|t| t.trainer == trainer)
        };
        self.tenants.values().find(fed_by).cloned()
    }
}
