//! News of the store: taken from members of the replica group, or from the store itself
//! while none of them is heard.

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
use crate::storage::registration::{read_initial_members, registered_machines};
use crate::store_client::StoreClient;
use crate::watcher::{watch, ObjectCount, Wanted, WatchTiming};

/// Pause between two looks for the group, at first and at most. Each is a call to the
/// store; a group that nobody has founded yet is there a second after the first start.
const FIRST_SEARCH: Duration = Duration::from_millis(300);
const LONGEST_SEARCH: Duration = Duration::from_millis(8_000);
/// Time without a publisher after which all machines that ever registered are asked:
/// the first members of the group may all be gone.
const SEARCH_ALL_AFTER: Duration = Duration::from_millis(3_000);

/// Machines that may publish, as a look in the store found them.
#[derive(Debug, Default)]
pub(super) struct FoundMachines {
    /// Zones and addresses.
    pub machines: Vec<(String, String)>,
}

/// When to look for machines next.
#[derive(Debug)]
pub(super) struct MachineSearch {
    at: Time,
    pause: Duration,
    /// When the last publisher was heard, or the process began.
    heard: Time,
}

impl MachineSearch {
    pub fn new(now: Time) -> Self {
        Self {
            at: now,
            pause: FIRST_SEARCH,
            heard: now,
        }
    }
}

impl GatewayProcess {
    /// Asks publishers, and looks for them where none is known.
    pub(super) fn follow_store(&mut self, now: Time) {
        for action in self.subscriber.tick(now) {
            self.carry_out_subscription(action);
        }
        let misses_leader =
            self.gateway.needs_replica_lookup(now) && !self.subscriber.has_no_publishers();
        let is_needed =
            self.subscriber.has_no_publishers() || self.subscriber.watches_store() || misses_leader;
        if !is_needed {
            self.search.pause = FIRST_SEARCH;
            return;
        }
        if now < self.search.at {
            return;
        }
        let all = misses_leader || now.since(self.search.heard) >= SEARCH_ALL_AFTER;
        self.search.at = now + self.search.pause;
        self.search.pause = Duration(self.search.pause.0 * 2).min(LONGEST_SEARCH);
        monoio::spawn(find_machines(
            self.store.clone(),
            all,
            self.found_machines.clone(),
        ));
    }

    fn carry_out_subscription(&mut self, action: SubscriberAction) {
        match action {
            SubscriberAction::SendRequest { address, request } => {
                self.ask_publisher(&address, request)
            }
            SubscriberAction::WatchStore(wanted) => self.watch_store(wanted),
        }
    }

    fn ask_publisher(&mut self, address: &str, mut request: MirrorRequest) {
        request.crash_digest = self.crashes.merged;
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

    fn watch_store(&mut self, wanted: bool) {
        self.store_watch.set(false);
        self.store_watch = Wanted::new(wanted.into());
        if !wanted {
            return;
        }
        self.metrics.count("store_watched_directly");
        for (kind, timing) in [
            (
                ObjectKind::Configuration,
                WatchTiming::prompt(&self.settings),
            ),
            (ObjectKind::Engines, WatchTiming::batched(&self.settings)),
        ] {
            let (store, updates) = (self.store.clone(), self.updates.clone());
            monoio::spawn(watch(
                store,
                kind,
                timing,
                self.store_watch.clone(),
                // Nobody takes news from a gateway.
                ObjectCount::default(),
                updates,
            ));
        }
    }

    pub(super) fn on_mirror_reply(&mut self, now: Time, reply: MirrorReply) {
        self.search.heard = now;
        self.gateway.on_replica_contact(now);
        let mut actions = Vec::new();
        for update in self.subscriber.on_reply(now, reply, &mut actions) {
            self.take_update(update);
        }
        let covered = self.subscriber.synced_filter();
        self.gateway
            .directory
            .retain_services(|service| covered.includes(service));
        for action in actions {
            self.carry_out_subscription(action);
        }
        if let Some(addresses) = self.subscriber.take_changed_publishers() {
            self.set_replicas(addresses);
        }
    }

    /// Takes what the own watch told, unless publishers have told newer things.
    pub(super) fn on_own_update(&mut self, update: Option<StoreUpdate>) {
        if let Some(update) = update.filter(|update| self.subscriber.on_watch_update(update)) {
            self.take_update(update);
        }
    }

    pub(super) fn on_machines(&mut self, found: Option<FoundMachines>) {
        let Some(found) = found.filter(|found| !found.machines.is_empty()) else {
            return;
        };
        self.subscriber.set_publishers(found.machines, "");
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

/// Looks once for the first members, or for all machines that ever registered.
async fn find_machines(store: StoreClient, all: bool, found: UnboundedSender<FoundMachines>) {
    let machines = if all {
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
    match machines {
        Ok(machines) => {
            let _ = found.unbounded_send(FoundMachines { machines });
        }
        Err(reason) => log::warn!("dependency=lost kind=Replicas all={all} reason={reason}"),
    }
}

/// A subscriber for this process.
pub(super) fn new_subscriber(settings: &crate::settings::ServerSettings) -> Subscriber {
    let mut subscriber = Subscriber::new(
        steady_now(),
        &settings.name,
        &settings.zone,
        settings.mirror_timing(),
        // Leaves room for as many requests above it.
        u64::from(rand::random::<u32>()) << 31,
    );
    // Which engines are needed is known with the first configuration.
    subscriber.set_filter(ServiceFilter::Services(BTreeSet::new()));
    subscriber
}
