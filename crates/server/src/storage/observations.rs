//! Distribution of engine observations. Other members receive this member's own
//! observations and those of its subscribers; subscribers also receive those of other members.
//!
//! Observations received from a member are not sent to other members, so each one crosses
//! the group once.

use peatgrade_mirror::PublisherReply;
use peatgrade_observations::{
    FeedCursor, Observation, ObservationFeed, Urgency, MAX_OBSERVATION_BYTES,
};
use peatgrade_ports::Instance;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{EngineObservations, MirrorReply, MirrorRequest};
use peatgrade_types::{Duration, Time};

use super::process::StorageProcess;
use crate::observations::ObservationSharing;
use crate::settings::ServerSettings;

/// Minimum time between two observation messages to the other members. With 0.25 s until a
/// subscriber's next reply and 800 bytes per message, a failure is known everywhere within 0.4 s,
/// at no more than 8 KB per second and member.
const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Relays observations between members and subscribers.
pub(super) struct ObservationRelay {
    sharing: ObservationSharing,
    feed: ObservationFeed,
    last_sent: Time,
}

impl ObservationRelay {
    pub fn new(settings: &ServerSettings) -> Self {
        // Differs between process starts and leaves room for later sequence numbers.
        let first_sequence = u64::from(rand::random::<u32>()) << 31;
        Self {
            sharing: ObservationSharing::new(settings),
            feed: ObservationFeed::new(first_sequence),
            last_sent: Time(0),
        }
    }

    fn publish_to_feed(&mut self, accepted: Vec<(Urgency, Observation)>, reporter: &str) {
        for (urgency, observation) in accepted {
            self.feed.put(urgency, observation, reporter);
        }
    }
}

impl StorageProcess {
    /// Handles observations sent by a subscriber.
    pub(super) fn on_subscriber_observations(
        &mut self,
        now: Time,
        address: &str,
        request: &MirrorRequest,
    ) {
        let relay = &mut self.observations;
        let reported = &request.observations;
        let applied = relay
            .sharing
            .receive(now, reported, &mut self.directory, &self.metrics);
        for (urgency, observation) in &applied.accepted {
            relay.sharing.relay(*urgency, observation.clone());
        }
        relay.publish_to_feed(applied.accepted, address);
    }

    /// Handles observations sent by another member.
    pub(super) fn on_member_observations(&mut self, now: Time, reported: &EngineObservations) {
        let relay = &mut self.observations;
        let reported = &reported.observations;
        let applied = relay
            .sharing
            .receive(now, reported, &mut self.directory, &self.metrics);
        relay.publish_to_feed(applied.accepted, "");
    }

    /// Sends new observations to the other members.
    pub(super) fn share_observations(&mut self, now: Time) {
        let relay = &mut self.observations;
        if now.since(relay.last_sent) < SEND_INTERVAL {
            return;
        }
        relay.last_sent = now;
        let own_observations = relay.sharing.collect(now, &self.directory);
        relay.publish_to_feed(own_observations, "");
        self.publisher
            .set_failure_mark(relay.feed.newest_failure_seq());
        if relay.sharing.is_outbox_empty() {
            return;
        }
        let observations = relay.sharing.take_outgoing(now, &self.metrics);
        self.metrics.count("observations_told_to_members");
        let own = self.replica.id().0;
        let others = self.replica.members().into_iter();
        for member in others.filter(|member| member.replica != own) {
            let message = EngineObservations {
                observations: observations.clone(),
            };
            let body = OneOfbody::engine_observations(message);
            self.reply_best_effort(&member.address, body);
        }
    }

    /// Adds the observations that the subscriber lacks to a reply.
    pub(super) fn add_observations(
        &self,
        now: Time,
        published: &PublisherReply,
        reply: &mut MirrorReply,
    ) {
        let (failure, load) = published.observation_marks;
        let cursor = FeedCursor { failure, load };
        let is_subscribed = |engine: &Instance| {
            let state = self.directory.get(engine);
            state.is_some_and(|state| published.filter.includes(&state.record.service))
        };
        let feed = &self.observations.feed;
        let subscriber = &published.address;
        let (reported, reached) = feed.updates_since(
            now,
            cursor,
            subscriber,
            &is_subscribed,
            MAX_OBSERVATION_BYTES,
        );
        reply.observations = reported;
        reply.failure_mark = reached.failure;
        reply.load_mark = reached.load;
    }

    /// Removes expired observations and updates metrics.
    pub(super) fn maintain_observations(&mut self, now: Time) {
        let relay = &mut self.observations;
        relay.feed.remove_expired(now);
        relay
            .sharing
            .update_metrics(now, &self.directory, &self.metrics);
        let gauges = [
            ("observations_kept", relay.feed.len() as u64),
            ("observations_pushed_out", relay.feed.dropped()),
        ];
        for (name, value) in gauges {
            self.metrics.set(name, value);
        }
    }
}
