//! Selects the engines that a subscriber receives.

use peatgrade_ports::StoreObject;
use peatgrade_schema::replication::MirrorRequest;
use std::collections::BTreeSet;

use crate::watch_cache::engine_service;

/// Restricts the engines sent to a subscriber to those of some services.
///
/// With hundreds of gateways and thousands of engines, sending every engine to every gateway
/// would multiply memory and traffic: a gateway routes requests to few of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ServiceFilter {
    /// All engines.
    #[default]
    All,
    /// Engines of these services.
    Services(BTreeSet<String>),
}

impl ServiceFilter {
    pub fn from_request(request: &MirrorRequest) -> Self {
        match request.only_services {
            true => Self::Services(request.services.iter().cloned().collect()),
            false => Self::All,
        }
    }

    pub(crate) fn write_to(&self, request: &mut MirrorRequest) {
        if let Self::Services(services) = self {
            request.only_services = true;
            request.services = services.iter().cloned().collect();
        }
    }

    /// The included services; none if all are.
    pub fn services(&self) -> Option<&BTreeSet<String>> {
        match self {
            Self::All => None,
            Self::Services(services) => Some(services),
        }
    }

    /// Whether engines of a service are included.
    pub fn includes(&self, service: &str) -> bool {
        self.services().is_none_or(|names| names.contains(service))
    }

    /// Whether any of the services is included; true if there are none.
    pub(crate) fn includes_any(&self, services: &BTreeSet<String>) -> bool {
        services.is_empty() || services.iter().any(|service| self.includes(service))
    }

    /// Whether an object is included. Objects other than engines always are.
    pub(crate) fn includes_object(&self, object: &StoreObject) -> bool {
        engine_service(object).is_none_or(|service| self.includes(service))
    }

    /// Whether every engine that `other` includes is included here.
    pub fn covers(&self, other: &Self) -> bool {
        match (self.services(), other.services()) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(own), Some(other)) => other.is_subset(own),
        }
    }

    /// The engines that both filters include.
    pub(crate) fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::All, filter) | (filter, Self::All) => filter.clone(),
            (Self::Services(own), Self::Services(other)) => {
                Self::Services(own.intersection(other).cloned().collect())
            }
        }
    }
}
