//! Failure detection in the manner of SWIM.

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

/// Nodes greeted in one tick; bounds the burst when a node starts.
const GREETINGS_PER_TICK: usize = 3;

/// Timing of the failure detector.
#[derive(Clone, Debug)]
pub struct SwimSettings {
    /// Time between two probes.
    pub probe_period: Duration,
    /// Wait for a direct answer before others are asked to probe.
    pub direct_probe_timeout: Duration,
    /// Members asked to probe on one's behalf.
    pub indirect_probes: usize,
    /// Time a suspect has to refute.
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
    sent: Time,
    indirect_sent: bool,
}

/// Membership as seen by one node.
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
    queue: Vec<NodeId>,
    digest: Digest,
    /// Nodes known by address only, to be probed at once.
    greet: Vec<NodeId>,
    changes: Vec<MemberChange>,
    /// Probes made for others: own sequence to (asker, asker's sequence).
    relayed: BTreeMap<u32, (NodeId, u32, Time)>,
    random: SmallRng,
}

impl Swim {
    /// A group of one.
    pub fn new(settings: SwimSettings, local: Member, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let offset = Duration(random.random_range(0..settings.probe_period.0));
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
            queue: Vec::new(),
            digest: Digest::default(),
            greet: Vec::new(),
            changes: Vec::new(),
            relayed: BTreeMap::new(),
            random,
        }
    }

    /// This node.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Every other member known, dead ones included.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// This node and every other that is not dead.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        let others = self.members.values().filter(|member| member.reachable());
        std::iter::once(&self.local).chain(others)
    }

    /// This node and every other that may be given work.
    pub fn usable(&self) -> impl Iterator<Item = &Member> {
        self.reachable().filter(|member| member.usable())
    }

    /// What is known of a node.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        if node == self.local.identity.node {
            return Some(&self.local);
        }
        self.members.get(&node)
    }

    /// Whether this life of a node is over, as far as is known.
    pub fn is_dead(&self, identity: Identity) -> bool {
        match self.member(identity.node) {
            None => false,
            Some(member) => {
                member.identity.generation > identity.generation
                    || (member.identity == identity && member.state == State::Dead)
            }
        }
    }

    /// Sets the numbers that ride on every probe.
    pub fn set_digest(&mut self, digest: Digest) {
        self.digest = digest;
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Tells the group that this node takes no new work.
    pub fn leave(&mut self) {
        self.local.state = State::Leaving;
        self.local.refutation += 1;
        self.gossip.add(self.local.identity.node);
    }

    /// Adds a node of which only the address is known, from a machine list.
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
        self.greet.push(node);
    }

    /// Probes, asks others to probe, and ends suspicions that ran out.
    pub fn tick(&mut self, now: Time) -> Vec<Outgoing> {
        let mut outgoing = self.greet();
        self.expire_suspects(now);
        self.relayed
            .retain(|_, (_, _, sent)| now.since(*sent) < Duration::from_secs(2));
        let late = self.probe.as_ref().is_some_and(|probe| {
            !probe.indirect_sent && now.since(probe.sent) >= self.settings.direct_probe_timeout
        });
        if late {
            outgoing.extend(self.ask_others());
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

    /// A probe outside the detector's turn, with the number of its answer.
    pub fn probe(&mut self, target: NodeId) -> (u32, Outgoing) {
        self.sequence += 1;
        let sequence = self.sequence;
        (sequence, self.ping(target, sequence, NodeId::default()))
    }

    /// Answers a probe.
    pub fn on_ping(&mut self, now: Time, from: Identity, ping: &Ping) -> Vec<Outgoing> {
        let known = self.members.get(&from.node);
        let newcomer = known.is_none_or(|m| m.identity.generation < from.generation);
        self.apply_all(now, &ping.updates);
        let mut ack = Ack {
            sequence: ping.sequence,
            digest: Some(self.digest.clone()),
            updates: self.updates(from.node),
            subject: self.local.identity.node.0,
        };
        if newcomer {
            ack.updates = self.reachable().map(Member::to_update).collect();
        }
        vec![Outgoing::new(from.node, OneOfbody::ack(ack))]
    }

    /// Takes in the answer to a probe.
    pub fn on_ack(&mut self, now: Time, from: Identity, ack: &Ack) -> Vec<Outgoing> {
        self.apply_all(now, &ack.updates);
        if let Some((asker, sequence, _)) = self.relayed.remove(&ack.sequence) {
            let relayed = Ack {
                sequence,
                digest: Some(self.digest.clone()),
                updates: Vec::new(),
                subject: from.node.0,
            };
            return vec![Outgoing::new(asker, OneOfbody::ack(relayed))];
        }
        let subject = NodeId(ack.subject);
        let answered = |probe: &Probe| probe.sequence == ack.sequence && probe.target == subject;
        if self.probe.as_ref().is_some_and(answered) {
            self.probe = None;
        }
        Vec::new()
    }

    /// Probes a member for another.
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

    /// Probes a few of the nodes known by address only, whose answers tell of
    /// the others.
    fn greet(&mut self) -> Vec<Outgoing> {
        let count = self.greet.len().min(GREETINGS_PER_TICK);
        let greeted: Vec<NodeId> = self.greet.drain(..count).collect();
        let unknown = |node: &NodeId| {
            let member = self.members.get(node);
            member.is_some_and(|member| member.identity.generation == 0)
        };
        let unknown: Vec<NodeId> = greeted.into_iter().filter(unknown).collect();
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
                sent: now,
                indirect_sent: false,
            });
        }
        Some(self.ping(target, self.sequence, NodeId::default()))
    }

    /// Every tenth round goes to a dead member, so that two halves of a group
    /// that lost each other find together again.
    fn next_target(&mut self) -> Option<NodeId> {
        if self.rounds.is_multiple_of(10) {
            let dead: Vec<NodeId> = self.ids(|member| !member.reachable());
            if !dead.is_empty() {
                return Some(dead[self.random.random_range(0..dead.len())]);
            }
        }
        if self.rounds.is_multiple_of(4) {
            let far = self.ids(|m| m.reachable() && m.zone != self.local.zone);
            if !far.is_empty() {
                return Some(far[self.random.random_range(0..far.len())]);
            }
        }
        while let Some(node) = self.queue.pop() {
            if self.members.get(&node).is_some_and(Member::reachable) {
                return Some(node);
            }
        }
        self.queue = self.ids(|m| m.reachable() && m.zone == self.local.zone);
        if self.queue.is_empty() {
            self.queue = self.ids(Member::reachable);
        }
        if self.queue.is_empty() {
            self.queue = self.ids(|_| true);
        }
        self.queue.shuffle(&mut self.random);
        self.queue.pop()
    }

    fn ids(&self, keep: impl Fn(&Member) -> bool) -> Vec<NodeId> {
        let kept = self.members.values().filter(|member| keep(member));
        kept.map(|member| member.identity.node).collect()
    }

    fn ask_others(&mut self) -> Vec<Outgoing> {
        let Some(probe) = &mut self.probe else {
            return Vec::new();
        };
        probe.indirect_sent = true;
        let (sequence, target) = (probe.sequence, probe.target);
        let mut helpers = self.ids(|m| m.state == State::Alive && m.identity.node != target);
        helpers.shuffle(&mut self.random);
        let request = PingRequest {
            sequence,
            target: target.0,
        };
        helpers
            .into_iter()
            .take(self.settings.indirect_probes)
            .map(|helper| Outgoing::new(helper, OneOfbody::ping_request(request.clone())))
            .collect()
    }

    fn ping(&mut self, target: NodeId, sequence: u32, on_behalf_of: NodeId) -> Outgoing {
        let mut updates = self.updates(target);
        let stranger = self
            .members
            .get(&target)
            .is_none_or(|m| m.identity.generation == 0);
        if stranger {
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

    /// Updates for one message. The receiver is always told when it is held
    /// for suspect or dead, since only it can refute.
    fn updates(&mut self, receiver: NodeId) -> Vec<MemberUpdate> {
        let mut nodes = self.gossip.take(self.members.len() + 1);
        let doubted = self
            .members
            .get(&receiver)
            .is_some_and(|m| matches!(m.state, State::Suspect | State::Dead));
        if doubted && !nodes.contains(&receiver) {
            nodes.push(receiver);
        }
        let known = nodes.into_iter().filter_map(|node| self.member(node));
        known.map(Member::to_update).collect()
    }

    fn apply_all(&mut self, now: Time, updates: &[MemberUpdate]) {
        for update in updates {
            self.apply(now, update);
        }
    }

    fn apply(&mut self, now: Time, update: &MemberUpdate) {
        let node = NodeId(update.node);
        if node == self.local.identity.node {
            self.refute(update);
            return;
        }
        let Some(member) = self.members.get_mut(&node) else {
            self.add(now, update);
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
        self.enter(now, node, update.state.into());
    }

    fn add(&mut self, now: Time, update: &MemberUpdate) {
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
        self.enter(now, node, update.state.into());
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let mine = update.generation == self.local.identity.generation;
        let bad = matches!(update.state, MemberState::SUSPECT | MemberState::DEAD);
        if mine && bad && update.refutation >= self.local.refutation {
            self.local.refutation = update.refutation + 1;
            self.gossip.add(self.local.identity.node);
        }
        // Someone knows only an earlier life of this node, or only its address.
        // The answer has to carry the present one: the news of its start may
        // have been passed on as often as it ever will.
        if update.generation < self.local.identity.generation {
            self.gossip.add(self.local.identity.node);
        }
    }

    fn suspect(&mut self, now: Time, node: NodeId) {
        let state = self.members.get(&node).map(|member| member.state);
        if matches!(state, Some(State::Alive | State::Leaving)) {
            self.enter(now, node, State::Suspect);
        }
    }

    fn expire_suspects(&mut self, now: Time) {
        let limit = self.settings.suspicion_timeout;
        let expired =
            self.ids(|member| member.state == State::Suspect && now.since(member.since) >= limit);
        for node in expired {
            self.enter(now, node, State::Dead);
        }
    }

    fn enter(&mut self, now: Time, node: NodeId, state: State) {
        let Some(member) = self.members.get_mut(&node) else {
            return;
        };
        member.state = state;
        member.since = now;
        self.gossip.add(node);
        self.changes.push(MemberChange { node, state });
    }
}
