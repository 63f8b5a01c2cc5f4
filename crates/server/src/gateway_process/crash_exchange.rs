//! What gateways know of requests that end engines, shared through members of the group.
//!
//! A gateway tells all members what it has learnt, at once; each of them tells every
//! gateway with its next news, within 0.25 s. With each piece of news goes a digest of
//! what the member knows, so that a gateway sees which of the two lacks something.

use peatgrade_runtime::Delivery;
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{CrashReport, MirrorReply, ReplicaMessage};
use peatgrade_types::{Duration, Time};

use super::GatewayProcess;

/// Pause before a member that still lacks something is told again: the link may have lost
/// it, and all machines must know within a contact time, which is 3 s.
const RESEND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Times that a member is told the same. One that still differs holds as many requests
/// as it may.
const MAX_SENDS: u32 = 3;

/// What was exchanged with members.
#[derive(Debug, Default)]
pub(super) struct CrashExchange {
    /// Digest of what a member told last: it is all known here.
    pub merged_digest: u64,
    last_sent: Option<SentReport>,
}

/// What a member was told because it lacked something.
#[derive(Debug)]
struct SentReport {
    replica_digest: u64,
    own_digest: u64,
    sent_at: Time,
    count: u32,
}

impl CrashExchange {
    /// Whether a member that differs is to be told now.
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
    /// Tells all members what was learnt here since the last turn.
    pub(super) fn broadcast_crashes(&mut self, now: Time) {
        if !self.gateway.directory.quarantine.take_changed() {
            return;
        }
        for address in self.replicas.clone() {
            self.send_crashes(now, &address);
        }
    }

    /// Takes in what a member knows, and tells it what it lacks.
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
        self.link
            .send(address, encode(&message), Delivery::Connected);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/crash_exchange.rs"]
mod tests;
