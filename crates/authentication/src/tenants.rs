//! Tenants of a configuration, indexed by API key and by name.

use std::collections::{HashMap, HashSet};

use crate::key::KeyDigest;

/// A customer or team whose requests are authenticated and accounted for separately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenant {
    /// Name passed to engines and used in usage reports.
    pub name: String,
    /// Digests of the accepted API keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, 0 being the highest; `None` to use the route's priority.
    pub priority: Option<u32>,
}

/// Authentication failure.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum AuthError {
    /// A key is required, but the request carries none.
    #[error("a key is needed")]
    MissingKey,
    /// The key belongs to no tenant.
    #[error("the key is not known")]
    UnknownKey,
}

/// Validation error of the tenants in a configuration; the message starts with the field.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum TenantsError {
    /// The name of a tenant is empty.
    #[error("tenants[{position}].name: must not be empty")]
    EmptyName {
        /// Position of the tenant.
        position: usize,
    },
    /// Two tenants have the same name.
    #[error("tenants[{position}].name: duplicate tenant name `{name}`")]
    DuplicateName {
        /// Position of the second tenant with the name.
        position: usize,
        /// Duplicate name.
        name: String,
    },
    /// Two tenants share a key.
    #[error("tenants[{position}].api_keys[{key}]: key already belongs to another tenant")]
    DuplicateKey {
        /// Position of the second tenant with the key.
        position: usize,
        /// Position of the key in that tenant's list.
        key: usize,
    },
}

/// Tenants in order of declaration, with lookup indexes.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    tenants: Vec<Tenant>,
    by_key: HashMap<KeyDigest, usize>,
    by_name: HashMap<String, usize>,
}

impl Tenants {
    /// Validates that names and keys are unique to one tenant.
    pub fn new(tenants: Vec<Tenant>) -> Result<Self, TenantsError> {
        let mut owners = HashMap::new();
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
                let owner = owners.insert(*digest, position);
                if owner.is_some_and(|owner| owner != position) {
                    return Err(TenantsError::DuplicateKey { position, key });
                }
            }
        }
        Ok(Self::from_validated(tenants))
    }

    /// Creates tenants that another process has validated.
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

    /// Finds the tenant that a key belongs to.
    pub fn authenticate(&self, key: Option<KeyDigest>) -> Result<&Tenant, AuthError> {
        let key = key.ok_or(AuthError::MissingKey)?;
        let position = self.by_key.get(&key).ok_or(AuthError::UnknownKey)?;
        self.tenants.get(*position).ok_or(AuthError::UnknownKey)
    }

    /// Priority of a tenant's requests: its own if set, otherwise that of the route.
    pub fn priority_of(&self, name: &str, route_priority: u32) -> u32 {
        let position = self.by_name.get(name);
        let tenant = position.and_then(|position| self.tenants.get(*position));
        tenant
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route_priority)
    }

    pub fn iter(&self) -> std::slice::Iter<'_, Tenant> {
        self.tenants.iter()
    }

    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no tenant is declared, in which case requests need no key.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}

/// Compares the tenants only; the indexes are derived from them.
impl PartialEq for Tenants {
    fn eq(&self, other: &Self) -> bool {
        self.tenants == other.tenants
    }
}
