//! Follows the object store through the mirror of the replicas, or with a direct watch while
//! no replica is reachable.

use futures_channel::mpsc::UnboundedSender;
use peatgrade_mirror::{ServiceFilter, Subscriber, SubscriberAction};
use peatgrade_ports::{ObjectKind, StoreUpdate};
use peatgrade_runtime::Delivery;
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{MirrorReply, MirrorRequest, ReplicaMessage};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeSet;

use super::GatewayProcess;
use crate::clock::steady_now;
use crate::storage::bootstrap::read_initial_members;
use crate::storage::registration::registered_machines;
use crate::store_client::StoreClient;
use crate::watcher::{watch, ObjectCount, WatchFlag, WatchTiming};

/// Initial and longest interval between lookups of the replicas in the object store. The
/// first interval is short because the group may not have been created yet.
const INITIAL_LOOKUP_INTERVAL: Duration = Duration::from_millis(300);
const MAX_LOOKUP_INTERVAL: Duration = Duration::from_millis(8_000);
/// Time without a mirror reply after which all registered machines are looked up instead of
/// the initial members, which may all have been replaced.
const LOOKUP_ALL_AFTER: Duration = Duration::from_millis(3_000);

/// Replicas found by a lookup in the object store.
#[derive(Debug, Default)]
pub(super) struct FoundReplicas {
    /// Zone and address of each replica.
    pub replicas: Vec<(String, String)>,
}

/// Schedule of the replica lookups.
#[derive(Debug)]
pub(super) struct ReplicaLookup {
    next_at: Time,
    interval: Duration,
    /// Time of the last mirror reply; initially the start of the process.
    last_reply_at: Time,
}

impl ReplicaLookup {
    pub fn new(now: Time) -> Self {
        Self {
            next_at: now,
            interval: INITIAL_LOOKUP_INTERVAL,
            last_reply_at: now,
        }
    }
}

impl GatewayProcess {
    /// Requests updates from the publishers, and looks up the replicas if no publisher or no
    /// leader is known.
    pub(super) fn poll_store_subscription(&mut self, now: Time) {
        for action in self.subscriber.tick(now) {
            self.execute_subscriber_action(action);
        }
        let lacks_leader =
            self.gateway.needs_replica_lookup(now) && !self.subscriber.has_no_publishers();
        let lookup_needed =
            self.subscriber.has_no_publishers() || self.subscriber.watches_store() || lacks_leader;
        if !lookup_needed {
            self.replica_lookup.interval = INITIAL_LOOKUP_INTERVAL;
            return;
        }
        if now < self.replica_lookup.next_at {
            return;
        }
        let all = lacks_leader || now.since(self.replica_lookup.last_reply_at) >= LOOKUP_ALL_AFTER;
        self.replica_lookup.next_at = now + self.replica_lookup.interval;
        self.replica_lookup.interval =
            Duration(self.replica_lookup.interval.0 * 2).min(MAX_LOOKUP_INTERVAL);
        monoio::spawn(look_up_replicas(
            self.store.clone(),
            all,
            self.found_replicas.clone(),
        ));
    }

    fn execute_subscriber_action(&mut self, action: SubscriberAction) {
        match action {
            SubscriberAction::SendRequest { address, request } => {
                self.request_updates(&address, request)
            }
            SubscriberAction::WatchStore(enabled) => self.watch_store(enabled),
        }
    }

    fn request_updates(&mut self, address: &str, mut request: MirrorRequest) {
        request.crash_digest = self.crash_exchange.merged_digest;
        self.add_observations(steady_now(), &mut request);
        let message = ReplicaMessage {
            from: 0,
            to: 0,
            term: 0,
            from_address: self.settings.peer_address.clone(),
            body: OneOfbody::mirror_request(request),
        };
        self.link
            .send(address, encode(&message), Delivery::Datagram);
    }

    fn watch_store(&mut self, enabled: bool) {
        self.store_watch.set(false);
        self.store_watch = WatchFlag::new(enabled.into());
        if !enabled {
            return;
        }
        self.metrics.count("store_watched_directly");
        for (kind, timing) in [
            (
                ObjectKind::Configuration,
                WatchTiming::immediate(&self.settings),
            ),
            (ObjectKind::Engines, WatchTiming::batched(&self.settings)),
        ] {
            let (store, updates) = (self.store.clone(), self.updates.clone());
            monoio::spawn(watch(
                store,
                kind,
                timing,
                self.store_watch.clone(),
                // No other machine depends on this watch, so list times need not shorten it.
                ObjectCount::default(),
                updates,
            ));
        }
    }

    pub(super) fn on_mirror_reply(&mut self, now: Time, reply: MirrorReply) {
        self.replica_lookup.last_reply_at = now;
        self.gateway.on_replica_contact(now);
        let mut actions = Vec::new();
        for update in self.subscriber.on_reply(now, reply, &mut actions) {
            self.apply_store_update(update);
        }
        let synced_filter = self.subscriber.synced_filter();
        self.gateway
            .directory
            .retain_services(|service| synced_filter.includes(service));
        for action in actions {
            self.execute_subscriber_action(action);
        }
        if let Some(addresses) = self.subscriber.take_changed_publishers() {
            self.set_replicas(addresses);
        }
    }

    /// Applies an update of the direct watch, unless a publisher has sent a newer revision.
    pub(super) fn on_watch_update(&mut self, update: Option<StoreUpdate>) {
        if let Some(update) = update.filter(|update| self.subscriber.on_watch_update(update)) {
            self.apply_store_update(update);
        }
    }

    pub(super) fn on_replicas_found(&mut self, found: Option<FoundReplicas>) {
        let Some(found) = found.filter(|found| !found.replicas.is_empty()) else {
            return;
        };
        self.subscriber.set_publishers(found.replicas, "");
        if let Some(addresses) = self.subscriber.take_changed_publishers() {
            self.set_replicas(addresses);
        }
    }

    fn set_replicas(&mut self, addresses: Vec<String>) {
        log::info!("belief=replicas addresses={addresses:?}");
        self.replicas.clone_from(&addresses);
        self.gateway.set_replicas(addresses);
    }
}

/// Looks up the initial members of the replica group, or all registered machines.
async fn look_up_replicas(store: StoreClient, all: bool, found: UnboundedSender<FoundReplicas>) {
    let replicas = if all {
        registered_machines(&store).await
    } else {
        let group = read_initial_members(&store).await;
        group.map(|members| {
            let members = members.unwrap_or_default().into_iter();
            members
                .map(|member| (member.zone, member.address))
                .collect()
        })
    };
    match replicas {
        Ok(replicas) => {
            let _ = found.unbounded_send(FoundReplicas { replicas });
        }
        Err(reason) => log::warn!("dependency=lost kind=Replicas all={all} reason={reason}"),
    }
}

pub(super) fn new_subscriber(settings: &crate::settings::ServerSettings) -> Subscriber {
    let mut subscriber = Subscriber::new(
        steady_now(),
        &settings.name,
        &settings.zone,
        settings.mirror_timing(),
        // Random, so that request ids differ from those before a restart.
        u64::from(rand::random::<u32>()) << 31,
    );
    // The required services are known once the first configuration arrives.
    subscriber.set_filter(ServiceFilter::Services(BTreeSet::new()));
    subscriber
}
