//! Counts traffic by message kind and by whether it crosses zones.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use std::collections::HashMap;

use crate::metrics::Metrics;

/// Maximum number of gateways whose zone is cached.
const MAX_CALLER_ZONES: usize = 4_096;

/// Whether a message stays in this machine's zone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum ZoneScope {
    SameZone,
    OtherZone,
    /// The other end's zone is not known.
    Unknown,
}

impl ZoneScope {
    /// Compares two zones; an empty zone is unknown.
    pub fn between(own: &str, other: &str) -> Self {
        match other {
            "" => ZoneScope::Unknown,
            other if other == own => ZoneScope::SameZone,
            _ => ZoneScope::OtherZone,
        }
    }

    fn label(self) -> &'static str {
        match self {
            ZoneScope::SameZone => "same_zone",
            ZoneScope::OtherZone => "other_zone",
            ZoneScope::Unknown => "unknown_zone",
        }
    }
}

/// Zones of gateways by reply address.
#[derive(Debug, Default)]
pub(super) struct CallerZones {
    zones: HashMap<String, String>,
}

impl CallerZones {
    pub fn insert(&mut self, address: &str, zone: &str) {
        let known = self.zones.get(address).is_some_and(|known| known == zone);
        if known || zone.is_empty() {
            return;
        }
        if self.zones.len() >= MAX_CALLER_ZONES {
            self.zones.clear();
        }
        self.zones.insert(address.to_string(), zone.to_string());
    }

    pub fn get(&self, address: &str) -> &str {
        self.zones.get(address).map_or("", String::as_str)
    }
}

pub(super) fn count(metrics: &Metrics, kind: &str, zone_scope: ZoneScope, bytes: usize) {
    let labels = [kind, zone_scope.label()];
    metrics
        .traffic
        .with_label_values(&labels)
        .inc_by(bytes as u64);
}

/// Returns the message's `kind` label in metrics.
pub(super) fn message_kind(body: &OneOfbody) -> &'static str {
    match body {
        OneOfbody::append_request(append) if append.entries.is_empty() => "heartbeat",
        OneOfbody::append_request(_) => "log_entries",
        OneOfbody::append_response(_) => "log_answer",
        OneOfbody::job_reply(reply) if reply.results.is_empty() => "job_answer",
        OneOfbody::job_reply(_) => "job_results",
        OneOfbody::job_call(_) => "job_call",
        OneOfbody::crash_report(_) => "crash_report",
        OneOfbody::engine_observations(_) => "observations",
        _ => "membership",
    }
}

#[cfg(test)]
#[path = "../../tests/unit/traffic.rs"]
mod tests;
