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
const TELL_AGAIN: Duration = Duration::from_millis(1_000);
/// Times that a member is told the same. One that still differs holds as many requests
/// as it may.
const MAX_TOLD: u32 = 3;

/// What was exchanged with members.
#[derive(Debug, Default)]
pub(super) struct CrashExchange {
    /// Digest of what a member told last: it is all known here.
    pub merged: u64,
    told: Option<Told>,
}

/// What a member was told because it lacked something.
#[derive(Debug)]
struct Told {
    member_digest: u64,
    own_digest: u64,
    at: Time,
    times: u32,
}

impl CrashExchange {
    /// Whether a member that differs is to be told now.
    fn is_due(&mut self, now: Time, member_digest: u64, own_digest: u64) -> bool {
        let same = self
            .told
            .as_mut()
            .filter(|told| (told.member_digest, told.own_digest) == (member_digest, own_digest));
        let Some(told) = same else {
            self.told = Some(Told {
                member_digest,
                own_digest,
                at: now,
                times: 1,
            });
            return true;
        };
        let is_due = told.times < MAX_TOLD && now.since(told.at) >= TELL_AGAIN;
        if is_due {
            told.at = now;
            told.times += 1;
        }
        is_due
    }
}

impl GatewayProcess {
    /// Tells all members what was learnt here since the last turn.
    pub(super) fn share_crashes(&mut self, now: Time) {
        if !self.gateway.directory.quarantine.take_changed() {
            return;
        }
        for address in self.replicas.clone() {
            self.tell_crashes(now, &address);
        }
    }

    /// Takes in what a member knows, and tells it what it lacks.
    pub(super) fn exchange_crashes(&mut self, now: Time, from: &str, reply: &MirrorReply) {
        let quarantine = &mut self.gateway.directory.quarantine;
        quarantine.merge(now, &reply.crashes, from);
        self.crashes.merged = reply.crash_digest;
        let own = quarantine.digest();
        if own != reply.crash_digest && self.crashes.is_due(now, reply.crash_digest, own) {
            self.tell_crashes(now, from);
        }
    }

    fn tell_crashes(&mut self, now: Time, address: &str) {
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
