//! The tenants of a configuration, found by key and by name.

use std::collections::{HashMap, HashSet};

use crate::key::KeyDigest;

/// Someone whose requests are told apart from others'.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenant {
    /// Name, as engines and usage reports have it.
    pub name: String,
    /// Keys that it may use.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, 0 first; that of the route if there is none.
    pub priority: Option<u32>,
}

/// Why nobody is known to be asking.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum AuthError {
    /// The route is not public, and no key came.
    #[error("a key is needed")]
    MissingKey,
    /// No tenant holds the key.
    #[error("the key is not known")]
    UnknownKey,
}

/// Why tenants cannot stand together; names the field.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum TenantsError {
    /// A tenant without a name.
    #[error("tenants[{position}].name: must not be empty")]
    EmptyName {
        /// Position of the tenant.
        position: usize,
    },
    /// Two tenants of one name.
    #[error("tenants[{position}].name: `{name}` stands twice")]
    DuplicateName {
        /// Position of the second.
        position: usize,
        /// The name.
        name: String,
    },
    /// Two tenants with one key.
    #[error("tenants[{position}].api_keys[{key}]: another tenant holds it too")]
    DuplicateKey {
        /// Position of the second tenant.
        position: usize,
        /// Position of the key there.
        key: usize,
    },
}

/// Tenants in the order in which they were declared.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    tenants: Vec<Tenant>,
    by_key: HashMap<KeyDigest, usize>,
    by_name: HashMap<String, usize>,
}

impl Tenants {
    /// Checks that each name and each key stands for one tenant.
    pub fn new(tenants: Vec<Tenant>) -> Result<Self, TenantsError> {
        let mut holders = HashMap::new();
        let mut names = HashSet::new();
        for (position, tenant) in tenants.iter().enumerate() {
            if tenant.name.is_empty() {
                return Err(TenantsError::EmptyName { position });
            }
            if !names.insert(tenant.name.as_str()) {
                let name = tenant.name.clone();
                return Err(TenantsError::DuplicateName { position, name });
            }
            for (key, digest) in tenant.keys.iter().enumerate() {
                let holder = holders.insert(*digest, position);
                if holder.is_some_and(|holder| holder != position) {
                    return Err(TenantsError::DuplicateKey { position, key });
                }
            }
        }
        Ok(Self::from_validated(tenants))
    }

    /// Tenants that another process has checked.
    pub fn from_validated(tenants: Vec<Tenant>) -> Self {
        let mut by_key = HashMap::new();
        let mut by_name = HashMap::new();
        for (position, tenant) in tenants.iter().enumerate() {
            by_key.extend(tenant.keys.iter().map(|digest| (*digest, position)));
            by_name.insert(tenant.name.clone(), position);
        }
        Self {
            tenants,
            by_key,
            by_name,
        }
    }

    /// The tenant that holds a key.
    pub fn authenticate(&self, key: Option<KeyDigest>) -> Result<&Tenant, AuthError> {
        let key = key.ok_or(AuthError::MissingKey)?;
        let position = self.by_key.get(&key).ok_or(AuthError::UnknownKey)?;
        self.tenants.get(*position).ok_or(AuthError::UnknownKey)
    }

    /// Rank of a tenant's requests: its own goes before the route's.
    pub fn priority_of(&self, name: &str, route: u32) -> u32 {
        let position = self.by_name.get(name);
        let tenant = position.and_then(|position| self.tenants.get(*position));
        tenant.and_then(|tenant| tenant.priority).unwrap_or(route)
    }

    /// The tenants.
    pub fn iter(&self) -> std::slice::Iter<'_, Tenant> {
        self.tenants.iter()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether none is declared: then no request needs a key.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}

/// The tables follow from the tenants.
impl PartialEq for Tenants {
    fn eq(&self, other: &Self) -> bool {
        self.tenants == other.tenants
    }
}
