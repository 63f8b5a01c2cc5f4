//! News of the store from other members, while the store turns this leader away.
//!
//! A leader that does not hear of new weights brings them to no engine, and items that
//! need them wait: with the store refusing the leader alone for 7 s, 208 items of a step
//! found no engine for 2 to 3 s, and each of three trainers fell behind by as much (a day
//! of 81 machines and 45 engines). The other members still hear the store, so the leader
//! takes from them what gateways take from members anyway, and the versions of models,
//! which a member follows for as long as it is asked for them.
//!
//! Handing the lead over was weighed: the successor may order no engine until the lease of
//! this leader's orders is over, 3.4 s, and all runs are broken off.

use peatgrade_mirror::{Subscriber, SubscriberAction};
use peatgrade_ports::{ObjectKind, StoreUpdate};
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{MirrorReply, MirrorRequest};
use peatgrade_types::{Duration, Time};

use crate::settings::ServerSettings;
use crate::watcher::WatchFlag;

use super::process::StorageProcess;

/// Age of the own news of the store from which on others are asked. Watches end each
/// 0.5 to 0.75 s, and one that was lost without a sign is noticed half a second later.
const MAX_STORE_AGE: Duration = Duration::from_millis(1_300);
/// How long versions are followed for another machine after it asked last.
const VERSION_WATCH_RETENTION: Duration = Duration::from_secs(5);

/// News taken from other members, and versions followed for them.
pub(super) struct PeerMirror {
    subscriber: Subscriber,
    /// Others are asked just now.
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
    /// Whether what the store told is news: others may have told newer things.
    pub(super) fn is_newer(&mut self, update: &StoreUpdate) -> bool {
        self.peer_mirror.subscriber.on_watch_update(update)
    }

    /// Asks others while this machine leads and hears nothing from the store.
    pub(super) fn poll_peers(&mut self, now: Time) {
        self.expire_version_watch(now);
        let age = now.since(self.last_store_update);
        let is_needed = self.has_leader_session() && age >= MAX_STORE_AGE;
        if is_needed != self.peer_mirror.is_polling {
            self.peer_mirror.is_polling = is_needed;
            let age = age.as_millis();
            log::info!("decision=ask-members value={is_needed} store_age_ms={age}");
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

    /// All members but this one.
    fn set_peer_publishers(&mut self) {
        let members = self.replica.members().into_iter();
        let others = members.filter(|member| member.address != self.settings.peer_address);
        let others = others.map(|member| (member.zone, member.address)).collect();
        self.peer_mirror.subscriber.set_publishers(others, "");
    }

    /// Another member tells what it has read of the store.
    pub(super) fn on_mirror_reply(&mut self, now: Time, mut reply: MirrorReply) {
        // It names this machine as a member too, which has nothing to tell itself.
        reply.members.clear();
        let mut actions = Vec::new();
        let subscriber = &mut self.peer_mirror.subscriber;
        for update in subscriber.on_reply(now, reply, &mut actions) {
            self.apply_update(update);
        }
    }

    /// Follows versions for a machine that needs them, for a while.
    pub(super) fn watch_versions_for(&mut self, now: Time, request: &MirrorRequest) {
        if !request.wants_versions {
            return;
        }
        self.peer_mirror.version_watch_until = now + VERSION_WATCH_RETENTION;
        if !self.peer_mirror.version_watch.get() && !self.has_leader_session() {
            log::info!("decision=follow-versions value=true");
            self.peer_mirror.version_watch = WatchFlag::new(true.into());
            let wanted = self.peer_mirror.version_watch.clone();
            self.watch_kind(ObjectKind::Versions, wanted);
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
