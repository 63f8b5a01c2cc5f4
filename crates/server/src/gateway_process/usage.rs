//! Reports to the leader which tenants' requests engines have started.

use peatgrade_metering::Meter;
use peatgrade_runtime::Delivery;
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{ReplicaMessage, UsageAck};
use peatgrade_types::Time;

use super::GatewayProcess;
use crate::clock::wall_micros;

/// Usage metering of one gateway.
#[derive(Debug, Default)]
pub(super) struct GatewayUsage {
    /// `None` if usage reporting is disabled.
    meter: Option<Meter>,
    /// Address of the leader as last reported by a replica; empty if unknown.
    leader: String,
}

impl GatewayUsage {
    /// Starts a meter with a new random id if `reporting_enabled`.
    pub fn new(reporting_enabled: bool) -> Self {
        Self {
            meter: reporting_enabled.then(|| Meter::new(rand::random())),
            leader: String::new(),
        }
    }

    /// Records that an engine started a request of `tenant`.
    pub fn record_start(&mut self, at: Time, tenant: &str) {
        if let Some(meter) = self.meter.as_mut().filter(|_| !tenant.is_empty()) {
            meter.record_start(at, tenant);
        }
    }

    pub fn on_ack(&mut self, ack: &UsageAck) {
        if let Some(meter) = &mut self.meter {
            meter.on_ack(ack.meter, ack.sequence);
        }
    }

    /// Updates the leader's address. Ignores an empty one, which means that the replica knows
    /// no leader.
    pub fn set_leader(&mut self, address: &str) {
        if !address.is_empty() {
            self.leader = address.to_string();
        }
    }

    /// Number of starts that would be lost if the process ended now.
    pub fn unacknowledged_starts(&self) -> usize {
        self.meter.as_ref().map_or(0, Meter::unacknowledged_starts)
    }
}

impl GatewayProcess {
    /// Sends the next batch of starts to the leader if one is due.
    pub(super) fn report_usage(&mut self, now: Time) {
        let Some(meter) = &mut self.usage.meter else {
            return;
        };
        if self.usage.leader.is_empty() {
            return;
        }
        let Some(batch) = meter.next_batch(now, wall_micros()) else {
            return;
        };
        log::debug!(
            "decision=tell-usage sequence={} starts={} leader={}",
            batch.sequence,
            batch.starts.len(),
            self.usage.leader
        );
        let message = ReplicaMessage {
            from: 0,
            to: 0,
            term: 0,
            from_address: self.settings.peer_address.clone(),
            body: OneOfbody::usage_batch(batch),
        };
        self.link
            .send(&self.usage.leader, encode(&message), Delivery::Datagram);
    }
}
