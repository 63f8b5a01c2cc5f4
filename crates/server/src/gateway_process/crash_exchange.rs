//! Exchanges records of requests that crash engines with the replicas.
//!
//! A gateway sends new records to all replicas immediately. Each replica forwards them to the
//! gateways with its next mirror reply. Each reply carries a digest of the replica's records,
//! from which the gateway detects records that the replica lacks.

use peatgrade_runtime::Delivery;
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{CrashReport, MirrorReply, ReplicaMessage};
use peatgrade_types::{Duration, Time};

use super::GatewayProcess;

/// Interval between sends of the same records to a replica whose digest still differs, since
/// the link may have lost them.
const RESEND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of times the same records are sent. A replica whose digest still differs after that
/// has reached its limit of records.
const MAX_SENDS: u32 = 3;

/// State of the exchange with the replicas.
#[derive(Debug, Default)]
pub(super) struct CrashExchange {
    /// Digest of the last records received from a replica; all of them are merged here.
    pub merged_digest: u64,
    last_sent: Option<SentReport>,
}

/// The last report sent to a replica whose digest differed.
#[derive(Debug)]
struct SentReport {
    replica_digest: u64,
    own_digest: u64,
    sent_at: Time,
    count: u32,
}

impl CrashExchange {
    /// Returns whether to send records now to a replica whose digest differs, and if so,
    /// records the send.
    fn should_send(&mut self, now: Time, replica_digest: u64, own_digest: u64) -> bool {
        let previous = self
            .last_sent
            .as_mut()
            .filter(|sent| (sent.replica_digest, sent.own_digest) == (replica_digest, own_digest));
        let Some(sent) = previous else {
            self.last_sent = Some(SentReport {
                replica_digest,
                own_digest,
                sent_at: now,
                count: 1,
            });
            return true;
        };
        let should_send = sent.count < MAX_SENDS && now.since(sent.sent_at) >= RESEND_INTERVAL;
        if should_send {
            sent.sent_at = now;
            sent.count += 1;
        }
        should_send
    }
}

impl GatewayProcess {
    /// Sends records that changed since the last call to all replicas.
    pub(super) fn broadcast_crashes(&mut self, now: Time) {
        if !self.gateway.directory.quarantine.take_changed() {
            return;
        }
        for address in self.replicas.clone() {
            self.send_crashes(now, &address);
        }
    }

    /// Merges the records of a replica, and sends it the own ones if the digests differ.
    pub(super) fn sync_crashes(&mut self, now: Time, from: &str, reply: &MirrorReply) {
        let quarantine = &mut self.gateway.directory.quarantine;
        quarantine.merge(now, &reply.crashes, from);
        self.crash_exchange.merged_digest = reply.crash_digest;
        let own = quarantine.digest();
        if own != reply.crash_digest
            && self
                .crash_exchange
                .should_send(now, reply.crash_digest, own)
        {
            self.send_crashes(now, from);
        }
    }

    fn send_crashes(&mut self, now: Time, address: &str) {
        let records = self.gateway.directory.quarantine.records(now);
        let message = ReplicaMessage {
            from: 0,
            to: 0,
            term: 0,
            from_address: self.settings.peer_address.clone(),
            body: OneOfbody::crash_report(CrashReport { records }),
        };
        self.metrics.count("crash_report_sent");
        self.link.send(address, encode(&message), Delivery::Stream);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/crash_exchange.rs"]
mod tests;
