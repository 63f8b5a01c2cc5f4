//! Tells the leader which requests of tenants engines began.

use peatgrade_metering::Meter;
use peatgrade_runtime::Delivery;
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{ReplicaMessage, UsageAck};
use peatgrade_types::Time;

use super::GatewayProcess;
use crate::clock::wall_micros;

/// Usage at one gateway.
#[derive(Debug, Default)]
pub(super) struct GatewayUsage {
    /// Where usage is reported.
    meter: Option<Meter>,
    /// Address of the leader, as a member of the group told last.
    leader: String,
}

impl GatewayUsage {
    /// Counts of a new life.
    pub fn new(is_reported: bool) -> Self {
        Self {
            meter: is_reported.then(|| Meter::new(rand::random())),
            leader: String::new(),
        }
    }

    /// An engine began a request.
    pub fn began(&mut self, at: Time, tenant: &str) {
        if let Some(meter) = self.meter.as_mut().filter(|_| !tenant.is_empty()) {
            meter.record_start(at, tenant);
        }
    }

    pub fn acknowledged(&mut self, ack: &UsageAck) {
        if let Some(meter) = &mut self.meter {
            meter.on_ack(ack.meter, ack.sequence);
        }
    }

    /// A member of the group names the leader, if it knows one.
    pub fn leader_told(&mut self, address: &str) {
        if !address.is_empty() {
            self.leader = address.to_string();
        }
    }

    /// Counts that are lost if this process ends now.
    pub fn unacknowledged(&self) -> usize {
        self.meter.as_ref().map_or(0, Meter::unacknowledged_starts)
    }
}

impl GatewayProcess {
    /// Tells what is due.
    pub(super) fn tell_usage(&mut self, now: Time) {
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
