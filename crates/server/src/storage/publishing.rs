//! Tells other machines what this one has read of the object store.

use peatgrade_mirror::PublisherReply;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{MirrorReply, MirrorRequest};
use peatgrade_types::Time;

use super::process::StorageProcess;

impl StorageProcess {
    pub(super) fn on_mirror_request(&mut self, now: Time, address: &str, request: MirrorRequest) {
        if request.renew_connection {
            // Its datagrams come, but what went to it by connection did not arrive.
            self.link.renew(address);
            self.metrics.count("link_renewed");
        }
        self.follow_versions_for(now, &request);
        self.on_subscriber_observations(now, address, &request);
        self.publisher.on_request(now, address, request);
    }

    /// Answers machines whose requests are due.
    pub(super) fn publish(&mut self, now: Time) {
        for published in self.publisher.due_replies(now) {
            self.metrics.count("mirror_reply");
            self.send_published(now, published);
        }
    }

    fn send_published(&mut self, now: Time, mut published: PublisherReply) {
        let log = self.replica.log();
        let crash_digest = self.directory.quarantine.digest();
        let crashes = match crash_digest == published.crash_digest {
            true => Vec::new(),
            false => self.directory.quarantine.records(now),
        };
        let mut reply = MirrorReply {
            call: published.call,
            held: published.held.0,
            kinds: std::mem::take(&mut published.kinds),
            members: log.members(),
            members_index: log.members_index().max(log.base().index),
            leader_address: self.replica.leader_address().unwrap_or("").to_string(),
            crash_digest,
            crashes,
            ..MirrorReply::default()
        };
        self.add_observations(now, &published, &mut reply);
        self.reply_lightly(&published.address, OneOfbody::mirror_reply(reply));
    }
}
