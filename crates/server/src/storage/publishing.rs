//! Publishes this machine's view of the object store to subscribers.

use peatgrade_mirror::PublisherReply;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{MirrorReply, MirrorRequest};
use peatgrade_types::Time;

use super::process::StorageProcess;

impl StorageProcess {
    pub(super) fn on_mirror_request(&mut self, now: Time, address: &str, request: MirrorRequest) {
        if request.renew_connection {
            // Datagrams arrive, but messages sent over the connection do not.
            self.link.reconnect(address);
            self.metrics.count("link_renewed");
        }
        self.watch_versions_for(now, &request);
        self.on_subscriber_observations(now, address, &request);
        self.publisher.on_request(now, address, request);
    }

    pub(super) fn send_due_replies(&mut self, now: Time) {
        for pending_reply in self.publisher.due_replies(now) {
            self.metrics.count("mirror_reply");
            self.send_mirror_reply(now, pending_reply);
        }
    }

    fn send_mirror_reply(&mut self, now: Time, mut pending_reply: PublisherReply) {
        let log = self.replica.log();
        let crash_digest = self.directory.quarantine.digest();
        let crashes = match crash_digest == pending_reply.crash_digest {
            true => Vec::new(),
            false => self.directory.quarantine.records(now),
        };
        let mut reply = MirrorReply {
            call: pending_reply.call,
            held: pending_reply.held.0,
            kinds: std::mem::take(&mut pending_reply.kinds),
            members: log.members(),
            members_index: log.members_index().max(log.base().index),
            leader_address: self.replica.leader_address().unwrap_or("").to_string(),
            crash_digest,
            crashes,
            ..MirrorReply::default()
        };
        self.add_observations(now, &pending_reply, &mut reply);
        self.reply_best_effort(&pending_reply.address, OneOfbody::mirror_reply(reply));
    }
}
