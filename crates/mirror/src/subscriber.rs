//! Receives the store's contents from publishers, and decides when to watch the store
//! directly instead.

use peatgrade_ports::{ObjectKind, StoreEvent, StoreUpdate};
use peatgrade_schema::replication::{MirrorReply, MirrorRequest, MirroredKind, MirroredKindName};
use peatgrade_types::{hash_bytes, Duration, Time};
use std::collections::BTreeMap;

use crate::encoding::{decode_object, kind_from_name, kind_name};
use crate::service_filter::ServiceFilter;
use crate::timing::MirrorTiming;

mod publishers;

const REQUIRED_KINDS: [ObjectKind; 2] = [ObjectKind::Configuration, ObjectKind::Engines];

/// An action that the owner of a [`Subscriber`] must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SubscriberAction {
    /// Send a request to a publisher.
    SendRequest {
        /// Address of the publisher.
        address: String,
        /// The request.
        request: MirrorRequest,
    },
    /// Start or stop watching the store directly.
    WatchStore(bool),
}

/// What is known of a machine that may publish.
#[derive(Clone, Debug)]
struct PublisherState {
    address: String,
    backoff_until: Time,
    /// Backoff after the next timeout.
    next_backoff: Duration,
    /// Whether the last request to it timed out.
    timed_out: bool,
}

#[derive(Clone, Debug)]
struct InFlightRequest {
    call: u64,
    address: String,
    sent_at: Time,
    filter: ServiceFilter,
}

/// How current this subscriber is in one kind of object.
#[derive(Clone, Copy, Debug, Default)]
struct KindState {
    /// Newest received revision.
    revision: u64,
    /// When the store last confirmed that revision as the newest, to this machine or to a
    /// publisher.
    confirmed_at: Option<Time>,
    /// Whether objects may be missing, because a list was incomplete.
    incomplete: bool,
}

/// Keeps a machine up to date with the store through publishers.
#[derive(Debug)]
pub struct Subscriber {
    timing: MirrorTiming,
    zone: String,
    rendezvous_key: u64,
    publishers: Vec<PublisherState>,
    members_index: u64,
    kinds: BTreeMap<ObjectKind, KindState>,
    in_flight: Option<InFlightRequest>,
    last_sent_at: Time,
    next_call_id: u64,
    started: Time,
    watches_store: bool,
    /// Whether any publisher has replied since the start, with objects or without.
    has_received_reply: bool,
    publishers_changed: bool,
    /// Engines that this machine needs.
    filter: ServiceFilter,
    /// Engines that are complete as of the newest received revision.
    synced_filter: ServiceFilter,
}

impl Subscriber {
    /// Creates a subscriber without any data for the machine `name`. Its call ids count up
    /// from `first_call_id`, which must differ between process starts.
    pub fn new(
        now: Time,
        name: &str,
        zone: &str,
        timing: MirrorTiming,
        first_call_id: u64,
    ) -> Self {
        Self {
            timing,
            zone: zone.to_string(),
            rendezvous_key: hash_bytes(name.as_bytes()),
            publishers: Vec::new(),
            members_index: 0,
            kinds: REQUIRED_KINDS
                .iter()
                .map(|kind| (*kind, KindState::default()))
                .collect(),
            in_flight: None,
            last_sent_at: Time(0),
            next_call_id: first_call_id,
            started: now,
            watches_store: false,
            has_received_reply: false,
            publishers_changed: false,
            filter: ServiceFilter::All,
            synced_filter: ServiceFilter::All,
        }
    }

    /// Changes which engines are needed. Engines that are not synced yet are requested in
    /// full with the next request.
    pub fn set_filter(&mut self, filter: ServiceFilter) {
        self.filter = filter;
    }

    /// The engines that this machine needs.
    pub fn filter(&self) -> &ServiceFilter {
        &self.filter
    }

    /// The engines that are complete as of the newest received revision. Updates of other
    /// engines must be ignored, since later changes of them do not arrive.
    pub fn synced_filter(&self) -> &ServiceFilter {
        &self.synced_filter
    }

    /// Whether all needed engines have been received.
    pub fn is_synced(&self) -> bool {
        let engines = self.kinds.get(&ObjectKind::Engines);
        engines.is_some_and(|state| state.confirmed_at.is_some())
            && self.synced_filter.covers(&self.filter)
    }

    /// Also subscribes to the newest versions of models.
    pub fn with_versions(mut self) -> Self {
        self.kinds.entry(ObjectKind::Versions).or_default();
        self
    }

    /// Whether this machine should watch the store directly.
    pub fn watches_store(&self) -> bool {
        self.watches_store
    }

    /// Whether some kind has never been received.
    fn is_initializing(&self) -> bool {
        self.kinds
            .values()
            .any(|state| state.confirmed_at.is_none())
    }

    /// Time since the store confirmed the least current kind as up to date; since the start
    /// for a kind that has never been received.
    pub fn staleness(&self, now: Time) -> Duration {
        let kinds = self.kinds.values();
        let oldest = kinds
            .map(|state| state.confirmed_at.unwrap_or(self.started))
            .min();
        now.since(oldest.unwrap_or(self.started))
    }

    /// Handles timeouts and returns the actions that are due.
    pub fn tick(&mut self, now: Time) -> Vec<SubscriberAction> {
        let mut actions = Vec::new();
        self.expire_request(now);
        if self.in_flight.is_none() {
            actions.extend(self.next_request(now));
        }
        let limit = match self.is_initializing() && !self.publishers.is_empty() {
            true if self.has_received_reply => self.timing.initial_max_staleness_if_answered,
            true => self.timing.initial_max_staleness,
            false => self.timing.max_staleness,
        };
        let is_stale = self.staleness(now) >= limit;
        if is_stale && !self.watches_store {
            self.watches_store = true;
            log::warn!(
                "dependency=lost kind=mirror age_ms={} publishers={} decision=watch-store",
                self.staleness(now).as_millis(),
                self.publishers.len()
            );
            actions.push(SubscriberAction::WatchStore(true));
        }
        actions
    }

    fn next_request(&mut self, now: Time) -> Option<SubscriberAction> {
        let incomplete_kinds = self.incomplete_kinds();
        let earliest = self.publishers.iter().map(|p| p.backoff_until).min()?;
        // While all publishers are backing off, one is probed now and then, since a network
        // partition may have healed.
        let next_probe_at = self.last_sent_at + self.timing.initial_backoff;
        let eligible_at = if earliest > now && now >= next_probe_at {
            earliest
        } else {
            now
        };
        let publishers = self.publishers.iter_mut();
        let mut available = publishers.filter(|publisher| eligible_at >= publisher.backoff_until);
        let publisher = available.next()?;
        self.last_sent_at = now;
        let call = self.next_call_id;
        self.next_call_id += 1;
        self.in_flight = Some(InFlightRequest {
            call,
            address: publisher.address.clone(),
            sent_at: now,
            filter: self.filter.clone(),
        });
        // Engines outside the synced filter are not known as of any revision, so all needed
        // engines are requested in full.
        let engines_synced = self.synced_filter.covers(&self.filter);
        let revision = |kind| {
            self.kinds
                .get(&kind)
                .map_or(0, |state: &KindState| state.revision)
        };
        let mut request = MirrorRequest {
            call,
            configuration_revision: revision(ObjectKind::Configuration),
            engines_revision: match engines_synced {
                true => revision(ObjectKind::Engines),
                false => 0,
            },
            versions_revision: revision(ObjectKind::Versions),
            wants_versions: self.kinds.contains_key(&ObjectKind::Versions),
            incomplete_kinds,
            wait_ms: self.timing.max_hold.as_millis(),
            renew_connection: std::mem::take(&mut publisher.timed_out),
            ..MirrorRequest::default()
        };
        self.filter.write_to(&mut request);
        Some(SubscriberAction::SendRequest {
            address: publisher.address.clone(),
            request,
        })
    }

    /// Kinds of which objects may be missing.
    fn incomplete_kinds(&self) -> Vec<MirroredKindName> {
        let kinds = self.kinds.iter().filter(|(_, state)| state.incomplete);
        kinds.filter_map(|(kind, _)| kind_name(*kind)).collect()
    }

    /// Processes a reply and returns the store updates that it contains.
    pub fn on_reply(
        &mut self,
        now: Time,
        reply: MirrorReply,
        actions: &mut Vec<SubscriberAction>,
    ) -> Vec<StoreUpdate> {
        let Some(request) = self.in_flight.take_if(|request| request.call == reply.call) else {
            return Vec::new();
        };
        self.has_received_reply = true;
        if !reply.members.is_empty() && reply.members_index >= self.members_index {
            self.members_index = reply.members_index;
            let members = reply.members.into_iter();
            let machines = members.map(|member| (member.zone, member.address));
            self.set_publishers(machines.collect(), &reply.leader_address);
        }
        // A lower bound: the publisher cannot have generated the reply earlier.
        let generated_at = request.sent_at + Duration(reply.held);
        let mut updates = Vec::new();
        for kind in reply.kinds {
            updates.extend(self.apply_kind(generated_at, kind, &request.filter));
        }
        self.update_publisher(now, &request.address, actions);
        updates
    }

    fn apply_kind(
        &mut self,
        generated_at: Time,
        message: MirroredKind,
        requested: &ServiceFilter,
    ) -> Option<StoreUpdate> {
        let kind = kind_from_name(message.kind);
        let at = Time(generated_at.0.saturating_sub(message.age));
        let state = self.kinds.get_mut(&kind)?;
        if message.revision < state.revision {
            return None;
        }
        let has_content = message.whole || !message.objects.is_empty();
        if !has_content && state.confirmed_at.is_none() {
            return None;
        }
        state.revision = message.revision;
        state.confirmed_at = state.confirmed_at.max(Some(at));
        state.incomplete = message.incomplete || (state.incomplete && !message.whole);
        if kind == ObjectKind::Engines {
            self.synced_filter = match message.whole {
                true => requested.clone(),
                false => self.synced_filter.intersection(requested),
            };
        }
        let objects = message.objects.into_iter().map(decode_object);
        let revision = message.revision;
        Some(if message.whole {
            let objects = objects.filter_map(|(name, object)| Some((name, object?)));
            StoreUpdate::Listed {
                kind,
                at,
                revision,
                objects: objects.collect(),
                complete: !message.incomplete,
            }
        } else {
            StoreUpdate::Changed {
                kind,
                at,
                revision,
                events: objects
                    .map(|(name, object)| StoreEvent { name, object })
                    .collect(),
            }
        })
    }

    /// Backs off from a publisher whose reply left this machine stale, so that another is
    /// asked next. Stops the direct watch once a reply brings it up to date.
    fn update_publisher(&mut self, now: Time, address: &str, actions: &mut Vec<SubscriberAction>) {
        let age = self.staleness(now);
        let is_stale = self.is_initializing() || age >= self.timing.failover_staleness;
        // Limited to one hold time, since a slow store makes all publishers stale.
        let backoff = if is_stale {
            self.timing.max_hold
        } else {
            Duration(0)
        };
        let initial_backoff = self.timing.initial_backoff;
        if let Some(publisher) = self.publisher(address) {
            publisher.backoff_until = now + backoff;
            publisher.next_backoff = initial_backoff;
        }
        if is_stale {
            log::debug!(
                "belief=publisher-old address={address} age_ms={}",
                age.as_millis()
            );
        } else if self.watches_store {
            self.watches_store = false;
            log::info!(
                "dependency=regained kind=mirror age_ms={} publisher={address}",
                age.as_millis()
            );
            actions.push(SubscriberAction::WatchStore(false));
        }
    }

    /// Records an update from this machine's own watch. Returns false if a newer revision is
    /// known, in which case the update must be ignored.
    pub fn on_watch_update(&mut self, update: &StoreUpdate) -> bool {
        let (kind, at, revision) = match update {
            StoreUpdate::Listed {
                kind, at, revision, ..
            }
            | StoreUpdate::Changed {
                kind, at, revision, ..
            } => (*kind, *at, *revision),
        };
        let Some(state) = self.kinds.get_mut(&kind) else {
            return true;
        };
        if revision < state.revision {
            return false;
        }
        state.revision = revision;
        state.confirmed_at = state.confirmed_at.max(Some(at));
        if let StoreUpdate::Listed { complete, .. } = update {
            state.incomplete = !complete;
        }
        if matches!(update, StoreUpdate::Listed { kind, .. } if *kind == ObjectKind::Engines) {
            self.synced_filter = ServiceFilter::All;
        }
        true
    }
}
