//! SWIM failure detector and membership dissemination.

use crate::gossip::GossipQueue;
use crate::member::{Member, MemberChange, State};
use peatgrade_consensus::Outgoing;
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::{Ack, Digest, MemberState, MemberUpdate, Ping, PingRequest};
use peatgrade_types::{Duration, Identity, NodeId, Time};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Seeds contacted per tick; bounds the burst of probes when a node starts.
const SEED_PROBES_PER_TICK: usize = 3;

/// Timing of the failure detector.
#[derive(Clone, Debug)]
pub struct SwimSettings {
    /// Interval between two probes.
    pub probe_period: Duration,
    /// Time to wait for a direct ack before indirect probes are sent.
    pub direct_probe_timeout: Duration,
    /// Number of members asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time after which a suspect that has not refuted is declared dead.
    pub suspicion_timeout: Duration,
}

impl Default for SwimSettings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            direct_probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(4),
        }
    }
}

#[derive(Debug)]
struct Probe {
    sequence: u32,
    target: NodeId,
    sent_at: Time,
    indirect_sent: bool,
}

/// Membership view of one node.
#[derive(Debug)]
pub struct Swim {
    settings: SwimSettings,
    local: Member,
    members: BTreeMap<NodeId, Member>,
    gossip: GossipQueue,
    probe: Option<Probe>,
    next_probe: Time,
    sequence: u32,
    rounds: u32,
    probe_queue: Vec<NodeId>,
    digest: Digest,
    /// Seeds that have not been contacted yet.
    uncontacted_seeds: Vec<NodeId>,
    changes: Vec<MemberChange>,
    /// Indirect probes made for other members: local sequence number to
    /// (requester, requester's sequence number, time of the request).
    relayed: BTreeMap<u32, (NodeId, u32, Time)>,
    rng: SmallRng,
}

impl Swim {
    /// Creates a group that contains only the local node.
    pub fn new(settings: SwimSettings, local: Member, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let offset = Duration(rng.random_range(0..settings.probe_period.0));
        let mut gossip = GossipQueue::default();
        gossip.add(local.identity.node);
        Self {
            settings,
            next_probe: local.since + offset,
            local,
            members: BTreeMap::new(),
            gossip,
            probe: None,
            sequence: 0,
            rounds: 0,
            probe_queue: Vec::new(),
            digest: Digest::default(),
            uncontacted_seeds: Vec::new(),
            changes: Vec::new(),
            relayed: BTreeMap::new(),
            rng,
        }
    }

    /// The local member.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// All other known members, including dead ones.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The local member and all others that are not dead.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        let others = self.members.values().filter(|member| member.reachable());
        std::iter::once(&self.local).chain(others)
    }

    /// The members, including the local one, that may be given work.
    pub fn usable(&self) -> impl Iterator<Item = &Member> {
        self.reachable().filter(|member| member.usable())
    }

    /// Looks up a member, which may be the local one.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        if node == self.local.identity.node {
            return Some(&self.local);
        }
        self.members.get(&node)
    }

    /// Whether this generation of a node is known to have ended.
    pub fn is_dead(&self, identity: Identity) -> bool {
        match self.member(identity.node) {
            None => false,
            Some(member) => {
                member.identity.generation > identity.generation
                    || (member.identity == identity && member.state == State::Dead)
            }
        }
    }

    /// Sets the digest that every probe and ack carries.
    pub fn set_digest(&mut self, digest: Digest) {
        self.digest = digest;
    }

    /// Takes the state changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Announces that the local node accepts no new work.
    pub fn leave(&mut self) {
        self.local.state = State::Leaving;
        self.local.refutation += 1;
        self.gossip.add(self.local.identity.node);
    }

    /// Adds a node from a machine list, of which only the name, address and zone are known.
    pub fn add_seed(&mut self, now: Time, member: Member) {
        let node = member.identity.node;
        if node == self.local.identity.node || self.members.contains_key(&node) {
            return;
        }
        let member = Member {
            since: now,
            ..member
        };
        self.members.insert(node, member);
        self.uncontacted_seeds.push(node);
    }

    /// Sends due direct and indirect probes and declares expired suspects dead.
    pub fn tick(&mut self, now: Time) -> Vec<Outgoing> {
        let mut outgoing = self.probe_seeds();
        self.expire_suspects(now);
        self.relayed
            .retain(|_, (_, _, requested_at)| now.since(*requested_at) < Duration::from_secs(2));
        let direct_probe_timed_out = self.probe.as_ref().is_some_and(|probe| {
            !probe.indirect_sent && now.since(probe.sent_at) >= self.settings.direct_probe_timeout
        });
        if direct_probe_timed_out {
            outgoing.extend(self.send_indirect_probes());
        }
        if now >= self.next_probe {
            if let Some(probe) = self.probe.take() {
                self.suspect(now, probe.target);
            }
            outgoing.extend(self.start_probe(now));
            self.next_probe += self.settings.probe_period;
            if self.next_probe < now {
                self.next_probe = now + self.settings.probe_period;
            }
        }
        outgoing
    }

    /// Creates a probe outside the regular schedule and returns the sequence
    /// number that its ack will carry.
    pub fn probe(&mut self, target: NodeId) -> (u32, Outgoing) {
        self.sequence += 1;
        let sequence = self.sequence;
        (sequence, self.ping(target, sequence, NodeId::default()))
    }

    /// Handles a probe. A sender with an unknown generation gets all members that
    /// are not dead.
    pub fn on_ping(&mut self, now: Time, from: Identity, ping: &Ping) -> Vec<Outgoing> {
        let known = self.members.get(&from.node);
        let is_new = known.is_none_or(|m| m.identity.generation < from.generation);
        self.apply_updates(now, &ping.updates);
        let mut ack = Ack {
            sequence: ping.sequence,
            digest: Some(self.digest.clone()),
            updates: self.next_updates(from.node),
            subject: self.local.identity.node.0,
        };
        if is_new {
            ack.updates = self.reachable().map(Member::to_update).collect();
        }
        vec![Outgoing::new(from.node, OneOfbody::ack(ack))]
    }

    /// Handles the ack of a probe. The ack of an indirect probe is relayed to
    /// its requester.
    pub fn on_ack(&mut self, now: Time, from: Identity, ack: &Ack) -> Vec<Outgoing> {
        self.apply_updates(now, &ack.updates);
        if let Some((requester, sequence, _)) = self.relayed.remove(&ack.sequence) {
            let relayed = Ack {
                sequence,
                digest: Some(self.digest.clone()),
                updates: Vec::new(),
                subject: from.node.0,
            };
            return vec![Outgoing::new(requester, OneOfbody::ack(relayed))];
        }
        let subject = NodeId(ack.subject);
        let matches_probe =
            |probe: &Probe| probe.sequence == ack.sequence && probe.target == subject;
        if self.probe.as_ref().is_some_and(matches_probe) {
            self.probe = None;
        }
        Vec::new()
    }

    /// Handles a request for an indirect probe.
    pub fn on_ping_request(
        &mut self,
        now: Time,
        from: Identity,
        request: &PingRequest,
    ) -> Vec<Outgoing> {
        let target = NodeId(request.target);
        if !self.members.contains_key(&target) {
            return Vec::new();
        }
        self.sequence += 1;
        self.relayed
            .insert(self.sequence, (from.node, request.sequence, now));
        vec![self.ping(target, self.sequence, from.node)]
    }

    /// Probes a few seeds; their acks carry the other members.
    fn probe_seeds(&mut self) -> Vec<Outgoing> {
        let count = self.uncontacted_seeds.len().min(SEED_PROBES_PER_TICK);
        let seeds: Vec<NodeId> = self.uncontacted_seeds.drain(..count).collect();
        let is_unknown = |node: &NodeId| {
            let member = self.members.get(node);
            member.is_some_and(|member| member.identity.generation == 0)
        };
        let unknown: Vec<NodeId> = seeds.into_iter().filter(is_unknown).collect();
        let mut outgoing = Vec::new();
        for node in unknown {
            self.sequence += 1;
            outgoing.push(self.ping(node, self.sequence, NodeId::default()));
        }
        outgoing
    }

    fn start_probe(&mut self, now: Time) -> Option<Outgoing> {
        self.rounds = self.rounds.wrapping_add(1);
        let target = self.next_target()?;
        self.sequence += 1;
        let alive = self.members.get(&target).is_some_and(Member::reachable);
        if alive {
            self.probe = Some(Probe {
                sequence: self.sequence,
                target,
                sent_at: now,
                indirect_sent: false,
            });
        }
        Some(self.ping(target, self.sequence, NodeId::default()))
    }

    /// Selects the next member to probe. Every tenth round probes a dead member,
    /// so that the group merges again after a network partition. Every fourth
    /// round probes a member of another zone.
    fn next_target(&mut self) -> Option<NodeId> {
        if self.rounds.is_multiple_of(10) {
            let dead: Vec<NodeId> = self.member_ids(|member| !member.reachable());
            if !dead.is_empty() {
                return Some(dead[self.rng.random_range(0..dead.len())]);
            }
        }
        if self.rounds.is_multiple_of(4) {
            let remote = self.member_ids(|m| m.reachable() && m.zone != self.local.zone);
            if !remote.is_empty() {
                return Some(remote[self.rng.random_range(0..remote.len())]);
            }
        }
        while let Some(node) = self.probe_queue.pop() {
            if self.members.get(&node).is_some_and(Member::reachable) {
                return Some(node);
            }
        }
        self.probe_queue = self.member_ids(|m| m.reachable() && m.zone == self.local.zone);
        if self.probe_queue.is_empty() {
            self.probe_queue = self.member_ids(Member::reachable);
        }
        if self.probe_queue.is_empty() {
            self.probe_queue = self.member_ids(|_| true);
        }
        self.probe_queue.shuffle(&mut self.rng);
        self.probe_queue.pop()
    }

    fn member_ids(&self, predicate: impl Fn(&Member) -> bool) -> Vec<NodeId> {
        let matching = self.members.values().filter(|member| predicate(member));
        matching.map(|member| member.identity.node).collect()
    }

    fn send_indirect_probes(&mut self) -> Vec<Outgoing> {
        let Some(probe) = &mut self.probe else {
            return Vec::new();
        };
        probe.indirect_sent = true;
        let (sequence, target) = (probe.sequence, probe.target);
        let mut relays = self.member_ids(|m| m.state == State::Alive && m.identity.node != target);
        relays.shuffle(&mut self.rng);
        let request = PingRequest {
            sequence,
            target: target.0,
        };
        relays
            .into_iter()
            .take(self.settings.indirect_probes)
            .map(|relay| Outgoing::new(relay, OneOfbody::ping_request(request.clone())))
            .collect()
    }

    fn ping(&mut self, target: NodeId, sequence: u32, on_behalf_of: NodeId) -> Outgoing {
        let mut updates = self.next_updates(target);
        let is_unknown = self
            .members
            .get(&target)
            .is_none_or(|m| m.identity.generation == 0);
        if is_unknown {
            updates.retain(|update| update.node != self.local.identity.node.0);
            updates.push(self.local.to_update());
        }
        let ping = Ping {
            sequence,
            digest: Some(self.digest.clone()),
            updates,
            on_behalf_of: on_behalf_of.0,
        };
        Outgoing::new(target, OneOfbody::ping(ping))
    }

    /// Updates for one message. A receiver that is suspected or declared dead is
    /// always told so, since only the receiver can refute it.
    fn next_updates(&mut self, receiver: NodeId) -> Vec<MemberUpdate> {
        let mut nodes = self.gossip.take(self.members.len() + 1);
        let receiver_suspected = self
            .members
            .get(&receiver)
            .is_some_and(|m| matches!(m.state, State::Suspect | State::Dead));
        if receiver_suspected && !nodes.contains(&receiver) {
            nodes.push(receiver);
        }
        let known = nodes.into_iter().filter_map(|node| self.member(node));
        known.map(Member::to_update).collect()
    }

    fn apply_updates(&mut self, now: Time, updates: &[MemberUpdate]) {
        for update in updates {
            self.apply_update(now, update);
        }
    }

    fn apply_update(&mut self, now: Time, update: &MemberUpdate) {
        let node = NodeId(update.node);
        if node == self.local.identity.node {
            self.refute(update);
            return;
        }
        let Some(member) = self.members.get_mut(&node) else {
            self.add_member(now, update);
            return;
        };
        if !member.superseded_by(update) {
            return;
        }
        member.identity.generation = update.generation;
        member.refutation = update.refutation;
        if !update.peer_address.is_empty() {
            member.name.clone_from(&update.name);
            member.zone.clone_from(&update.zone);
            member.peer_address.clone_from(&update.peer_address);
            member.has_storage = update.bulk;
        }
        self.set_state(now, node, update.state.into());
    }

    fn add_member(&mut self, now: Time, update: &MemberUpdate) {
        if update.peer_address.is_empty() {
            return;
        }
        let node = NodeId(update.node);
        let member = Member {
            identity: Identity {
                node,
                generation: update.generation,
            },
            refutation: update.refutation,
            state: State::Dead,
            since: now,
            name: update.name.clone(),
            zone: update.zone.clone(),
            peer_address: update.peer_address.clone(),
            has_storage: update.bulk,
        };
        self.members.insert(node, member);
        self.set_state(now, node, update.state.into());
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let same_generation = update.generation == self.local.identity.generation;
        let reported_failed = matches!(update.state, MemberState::SUSPECT | MemberState::DEAD);
        if same_generation && reported_failed && update.refutation >= self.local.refutation {
            self.local.refutation = update.refutation + 1;
            self.gossip.add(self.local.identity.node);
        }
        // The sender knows only an earlier generation of this node, or only its
        // address. Queue the current state again: its update may already have
        // reached its transmission limit.
        if update.generation < self.local.identity.generation {
            self.gossip.add(self.local.identity.node);
        }
    }

    fn suspect(&mut self, now: Time, node: NodeId) {
        let state = self.members.get(&node).map(|member| member.state);
        if matches!(state, Some(State::Alive | State::Leaving)) {
            self.set_state(now, node, State::Suspect);
        }
    }

    fn expire_suspects(&mut self, now: Time) {
        let timeout = self.settings.suspicion_timeout;
        let expired = self.member_ids(|member| {
            member.state == State::Suspect && now.since(member.since) >= timeout
        });
        for node in expired {
            self.set_state(now, node, State::Dead);
        }
    }

    fn set_state(&mut self, now: Time, node: NodeId, state: State) {
        let Some(member) = self.members.get_mut(&node) else {
            return;
        };
        member.state = state;
        member.since = now;
        self.gossip.add(node);
        self.changes.push(MemberChange { node, state });
    }
}
