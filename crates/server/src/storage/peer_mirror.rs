//! Store updates from other members, for a leader that cannot read the store itself.
//!
//! A leader that misses new model versions orders no engine to load them, and items that need
//! them wait. Other members may still read the store, so the leader subscribes to the objects
//! that they publish and to model versions, which a member watches only while it is asked
//! for them. A transfer of leadership would take longer: the successor may send no orders
//! until this leader's order lease expires, and all runs are interrupted.

use peatgrade_mirror::{Subscriber, SubscriberAction};
use peatgrade_ports::{ObjectKind, StoreUpdate};
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{MirrorReply, MirrorRequest};
use peatgrade_types::{Duration, Time};

use crate::settings::ServerSettings;
use crate::watcher::WatchFlag;

use super::process::StorageProcess;

/// Age of the last store update at which the leader starts to ask other members. Must exceed
/// the duration of a watch plus the time to detect a lost one.
const MAX_STORE_AGE: Duration = Duration::from_millis(1_300);
/// How long versions are watched after another member's last request for them.
const VERSION_WATCH_RETENTION: Duration = Duration::from_secs(5);

/// Store updates from other members, and the version watch kept for them.
pub(super) struct PeerMirror {
    subscriber: Subscriber,
    /// Whether other members are being asked.
    is_polling: bool,
    version_watch_until: Time,
    version_watch: WatchFlag,
}

impl PeerMirror {
    pub fn new(now: Time, settings: &ServerSettings) -> Self {
        let first_call = u64::from(rand::random::<u32>()) << 31;
        let (name, zone) = (&settings.name, &settings.zone);
        let subscriber = Subscriber::new(now, name, zone, settings.mirror_timing(), first_call);
        Self {
            subscriber: subscriber.with_versions(),
            is_polling: false,
            version_watch_until: Time(0),
            version_watch: WatchFlag::default(),
        }
    }
}

impl StorageProcess {
    /// Whether an update from the store is newer than those received from members.
    pub(super) fn is_newer(&mut self, update: &StoreUpdate) -> bool {
        self.peer_mirror.subscriber.on_watch_update(update)
    }

    /// Requests updates from other members while this leader receives none from the store, or
    /// while the log names a newer configuration than the store has sent.
    pub(super) fn poll_peers(&mut self, now: Time) {
        self.expire_version_watch(now);
        self.update_configuration_freshness(now);
        let age = now.since(self.last_store_update);
        let is_outdated = self.configuration_freshness.is_long_outdated(now);
        let is_needed = self.has_leader_session() && (age >= MAX_STORE_AGE || is_outdated);
        if is_needed != self.peer_mirror.is_polling {
            self.peer_mirror.is_polling = is_needed;
            let age = age.as_millis();
            log::info!(
                "decision=ask-members value={is_needed} store_age_ms={age} outdated={is_outdated}"
            );
            if is_needed {
                self.metrics.count("members_asked");
                self.set_peer_publishers();
            }
        }
        if !is_needed {
            return;
        }
        for action in self.peer_mirror.subscriber.tick(now) {
            if let SubscriberAction::SendRequest { address, request } = action {
                self.reply_best_effort(&address, OneOfbody::mirror_request(request));
            }
        }
    }

    /// Sets all other members as publishers.
    fn set_peer_publishers(&mut self) {
        let members = self.replica.members().into_iter();
        let others = members.filter(|member| member.address != self.settings.peer_address);
        let others = others.map(|member| (member.zone, member.address)).collect();
        self.peer_mirror.subscriber.set_publishers(others, "");
    }

    /// Applies store updates published by another member.
    pub(super) fn on_mirror_reply(&mut self, now: Time, mut reply: MirrorReply) {
        // The list includes this machine, which must not subscribe to itself.
        reply.members.clear();
        let mut actions = Vec::new();
        let subscriber = &mut self.peer_mirror.subscriber;
        for update in subscriber.on_reply(now, reply, &mut actions) {
            self.apply_update(update);
        }
    }

    /// Watches model versions while another member requests them.
    pub(super) fn watch_versions_for(&mut self, now: Time, request: &MirrorRequest) {
        if !request.wants_versions {
            return;
        }
        self.peer_mirror.version_watch_until = now + VERSION_WATCH_RETENTION;
        if !self.peer_mirror.version_watch.get() && !self.has_leader_session() {
            log::info!("decision=follow-versions value=true");
            self.peer_mirror.version_watch = WatchFlag::new(true.into());
            let active = self.peer_mirror.version_watch.clone();
            self.watch_kind(ObjectKind::Versions, active);
        }
    }

    fn expire_version_watch(&mut self, now: Time) {
        let is_over = now >= self.peer_mirror.version_watch_until;
        if is_over && self.peer_mirror.version_watch.get() {
            log::info!("decision=follow-versions value=false");
            self.peer_mirror.version_watch.set(false);
            self.publisher.remove_kind(ObjectKind::Versions);
        }
    }
}
