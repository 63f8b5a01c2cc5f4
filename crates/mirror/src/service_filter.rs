//! What of the engine list a subscriber needs.

use peatgrade_ports::StoreObject;
use peatgrade_schema::replication::MirrorRequest;
use std::collections::BTreeSet;

use crate::followed::service_of;

/// The engines that a machine wants to be told.
///
/// The load: hundreds of gateways before thousands of engines, of which single requests
/// reach one in twenty. Told of all, each of them holds and is sent twenty times as much.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ServiceFilter {
    /// All engines.
    #[default]
    All,
    /// Engines of these services.
    Services(BTreeSet<String>),
}

impl ServiceFilter {
    /// What a request asks for.
    pub fn from_request(request: &MirrorRequest) -> Self {
        match request.only_services {
            true => Self::Services(request.services.iter().cloned().collect()),
            false => Self::All,
        }
    }

    /// Writes it into a request.
    pub(crate) fn write_to(&self, request: &mut MirrorRequest) {
        if let Self::Services(services) = self {
            request.only_services = true;
            request.services = services.iter().cloned().collect();
        }
    }

    /// The services, if not all engines are of interest.
    pub fn services(&self) -> Option<&BTreeSet<String>> {
        match self {
            Self::All => None,
            Self::Services(services) => Some(services),
        }
    }

    /// Whether engines of a service are of interest.
    pub fn includes(&self, service: &str) -> bool {
        self.services().is_none_or(|known| known.contains(service))
    }

    pub(crate) fn includes_any(&self, services: &BTreeSet<String>) -> bool {
        services.is_empty() || services.iter().any(|service| self.includes(service))
    }

    /// Whether an object is of interest; all that are no engines are.
    pub(crate) fn includes_object(&self, object: &StoreObject) -> bool {
        service_of(object).is_none_or(|service| self.includes(service))
    }

    /// Whether all that another interest asks for is part of this one.
    pub fn covers(&self, other: &Self) -> bool {
        match (self.services(), other.services()) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(own), Some(other)) => other.is_subset(own),
        }
    }

    /// What is part of both.
    pub(crate) fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::All, one) | (one, Self::All) => one.clone(),
            (Self::Services(one), Self::Services(other)) => {
                Self::Services(one.intersection(other).cloned().collect())
            }
        }
    }
}
