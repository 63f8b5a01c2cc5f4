//! Takes news of the store from publishers, and says when to watch the store instead.

use peatgrade_ports::{ObjectKind, StoreEvent, StoreUpdate};
use peatgrade_schema::replication::{MirrorReply, MirrorRequest, MirroredKind};
use peatgrade_types::{hash_bytes, Duration, Time};
use std::collections::BTreeMap;

use crate::encoding::{kind_of, object_of};
use crate::service_filter::ServiceFilter;
use crate::timing::MirrorTiming;

mod publishers;

/// Kinds that are followed.
const KINDS: [ObjectKind; 2] = [ObjectKind::Configuration, ObjectKind::Engines];

/// What a subscriber wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SubscriberAction {
    /// Send a request to a publisher.
    SendRequest {
        /// Its address.
        address: String,
        /// The request.
        request: MirrorRequest,
    },
    /// Watch the store from now on, or no more.
    WatchStore(bool),
}

/// A machine that may publish.
#[derive(Clone, Debug)]
struct PublisherState {
    address: String,
    /// Left alone until then.
    rests_until: Time,
    /// How long it is left when it is silent the next time.
    next_rest: Duration,
    /// Its last answer did not come.
    was_silent: bool,
}

/// The request under way.
#[derive(Clone, Debug)]
struct Asked {
    call: u64,
    address: String,
    at: Time,
    /// The engines that it asked for.
    filter: ServiceFilter,
}

/// What is known of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Newest revision.
    revision: u64,
    /// When the store proved it to be the newest, directly or through a publisher.
    proven: Option<Time>,
}

/// Follows the store through publishers.
#[derive(Debug)]
pub struct Subscriber {
    timing: MirrorTiming,
    zone: String,
    key: u64,
    publishers: Vec<PublisherState>,
    members_index: u64,
    known: BTreeMap<ObjectKind, Known>,
    asked: Option<Asked>,
    /// When the last request left.
    tried_at: Time,
    next_call: u64,
    started: Time,
    watches_store: bool,
    /// A publisher has answered since the start, with news or without.
    was_answered: bool,
    publishers_changed: bool,
    /// Engines that are needed.
    filter: ServiceFilter,
    /// Engines of which the newest known revision tells.
    synced_filter: ServiceFilter,
}

impl Subscriber {
    /// A subscriber on the machine `name` that knows nothing yet. Its requests are
    /// numbered from `first_call` on, which must differ from life to life.
    pub fn new(now: Time, name: &str, zone: &str, timing: MirrorTiming, first_call: u64) -> Self {
        Self {
            timing,
            zone: zone.to_string(),
            key: hash_bytes(name.as_bytes()),
            publishers: Vec::new(),
            members_index: 0,
            known: KINDS.iter().map(|kind| (*kind, Known::default())).collect(),
            asked: None,
            tried_at: Time(0),
            next_call: first_call,
            started: now,
            watches_store: false,
            was_answered: false,
            publishers_changed: false,
            filter: ServiceFilter::All,
            synced_filter: ServiceFilter::All,
        }
    }

    /// Needs these engines from now on. Those that it was not told so far are asked for
    /// with the next request.
    pub fn set_filter(&mut self, filter: ServiceFilter) {
        self.filter = filter;
    }

    /// The engines that are needed.
    pub fn filter(&self) -> &ServiceFilter {
        &self.filter
    }

    /// The engines of which the newest known revision tells: what is told of others must be
    /// left out, since nobody tells how it goes on.
    pub fn synced_filter(&self) -> &ServiceFilter {
        &self.synced_filter
    }

    /// Whether all engines that are needed have been told.
    pub fn is_synced(&self) -> bool {
        let engines = self.known.get(&ObjectKind::Engines);
        engines.is_some_and(|known| known.proven.is_some())
            && self.synced_filter.covers(&self.filter)
    }

    /// Follows the newest versions of models as well.
    pub fn with_versions(mut self) -> Self {
        self.known.entry(ObjectKind::Versions).or_default();
        self
    }

    /// Whether the store is to be watched here.
    pub fn watches_store(&self) -> bool {
        self.watches_store
    }

    /// Whether some kind was never heard of.
    fn is_starting(&self) -> bool {
        self.known.values().any(|known| known.proven.is_none())
    }

    /// Age of the oldest proof among all kinds; since the start, if there is none.
    pub fn staleness(&self, now: Time) -> Duration {
        let proofs = self.known.values();
        let oldest = proofs
            .map(|known| known.proven.unwrap_or(self.started))
            .min();
        now.since(oldest.unwrap_or(self.started))
    }

    /// What is due.
    pub fn tick(&mut self, now: Time) -> Vec<SubscriberAction> {
        let mut actions = Vec::new();
        self.give_up_silent(now);
        if self.asked.is_none() {
            actions.extend(self.ask(now));
        }
        let limit = match self.is_starting() && !self.publishers.is_empty() {
            true if self.was_answered => self.timing.initial_max_staleness_if_answered,
            true => self.timing.initial_max_staleness,
            false => self.timing.max_staleness,
        };
        let is_too_old = self.staleness(now) >= limit;
        if is_too_old && !self.watches_store {
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

    fn ask(&mut self, now: Time) -> Option<SubscriberAction> {
        let earliest = self.publishers.iter().map(|p| p.rests_until).min()?;
        // While all of them rest, one is tried now and then: a cut may be over.
        let tried_until = self.tried_at + self.timing.initial_backoff;
        let from = if earliest > now && now >= tried_until {
            earliest
        } else {
            now
        };
        let publishers = self.publishers.iter_mut();
        let mut awake = publishers.filter(|publisher| from >= publisher.rests_until);
        let publisher = awake.next()?;
        self.tried_at = now;
        let call = self.next_call;
        self.next_call += 1;
        self.asked = Some(Asked {
            call,
            address: publisher.address.clone(),
            at: now,
            filter: self.filter.clone(),
        });
        // Of engines that were not told before nothing is known as of any revision.
        let engines_known = self.synced_filter.covers(&self.filter);
        let revision = |kind| {
            self.known
                .get(&kind)
                .map_or(0, |known: &Known| known.revision)
        };
        let mut request = MirrorRequest {
            call,
            configuration_revision: revision(ObjectKind::Configuration),
            engines_revision: match engines_known {
                true => revision(ObjectKind::Engines),
                false => 0,
            },
            versions_revision: revision(ObjectKind::Versions),
            wants_versions: self.known.contains_key(&ObjectKind::Versions),
            wait_ms: self.timing.max_hold.as_millis(),
            renew_connection: std::mem::take(&mut publisher.was_silent),
            ..MirrorRequest::default()
        };
        self.filter.write_to(&mut request);
        Some(SubscriberAction::SendRequest {
            address: publisher.address.clone(),
            request,
        })
    }

    /// Takes a reply; the news in it.
    pub fn on_reply(
        &mut self,
        now: Time,
        reply: MirrorReply,
        actions: &mut Vec<SubscriberAction>,
    ) -> Vec<StoreUpdate> {
        let Some(asked) = self.asked.take_if(|asked| asked.call == reply.call) else {
            return Vec::new();
        };
        self.was_answered = true;
        if !reply.members.is_empty() && reply.members_index >= self.members_index {
            self.members_index = reply.members_index;
            let members = reply.members.into_iter();
            let machines = members.map(|member| (member.zone, member.address));
            self.set_publishers(machines.collect(), &reply.leader_address);
        }
        // The answer was made no earlier than this.
        let made = asked.at + Duration(reply.held);
        let mut updates = Vec::new();
        for kind in reply.kinds {
            updates.extend(self.take_kind(made, kind, &asked.filter));
        }
        self.judge(now, &asked.address, actions);
        updates
    }

    fn take_kind(
        &mut self,
        made: Time,
        told: MirroredKind,
        asked_for: &ServiceFilter,
    ) -> Option<StoreUpdate> {
        let kind = kind_of(told.kind);
        let at = Time(made.0.saturating_sub(told.age));
        let known = self.known.get_mut(&kind)?;
        if told.revision < known.revision {
            return None;
        }
        let is_news = told.whole || !told.objects.is_empty();
        if !is_news && known.proven.is_none() {
            return None;
        }
        known.revision = told.revision;
        known.proven = known.proven.max(Some(at));
        if kind == ObjectKind::Engines {
            self.synced_filter = match told.whole {
                true => asked_for.clone(),
                false => self.synced_filter.intersection(asked_for),
            };
        }
        let objects = told.objects.into_iter().map(object_of);
        let revision = told.revision;
        Some(if told.whole {
            let objects = objects.filter_map(|(name, object)| Some((name, object?)));
            StoreUpdate::Listed {
                kind,
                at,
                revision,
                objects: objects.collect(),
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

    /// Asks others next if an answer has not made all proofs young, and ends the own
    /// watch once one has.
    fn judge(&mut self, now: Time, address: &str, actions: &mut Vec<SubscriberAction>) {
        let age = self.staleness(now);
        let is_old = self.is_starting() || age >= self.timing.failover_staleness;
        // A store that answers slowly makes all of them old: no longer than one request.
        let rest = if is_old {
            self.timing.max_hold
        } else {
            Duration(0)
        };
        let first_rest = self.timing.initial_backoff;
        if let Some(publisher) = self.publisher(address) {
            publisher.rests_until = now + rest;
            publisher.next_rest = first_rest;
        }
        if is_old {
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

    /// Takes what the own watch told; false if newer is known, so that it must be left
    /// out.
    pub fn on_watch_update(&mut self, update: &StoreUpdate) -> bool {
        let (kind, at, revision) = match update {
            StoreUpdate::Listed {
                kind, at, revision, ..
            }
            | StoreUpdate::Changed {
                kind, at, revision, ..
            } => (*kind, *at, *revision),
        };
        let Some(known) = self.known.get_mut(&kind) else {
            return true;
        };
        if revision < known.revision {
            return false;
        }
        known.revision = revision;
        known.proven = known.proven.max(Some(at));
        if matches!(update, StoreUpdate::Listed { kind, .. } if *kind == ObjectKind::Engines) {
            self.synced_filter = ServiceFilter::All;
        }
        true
    }
}
