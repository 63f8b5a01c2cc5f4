//! Tests of the failure detector and the zone tree.

use peatgrade_consensus::Outgoing;
use peatgrade_membership::{Member, State, Swim, SwimSettings, ZoneTree};
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_types::{Duration, Identity, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

const TICK_INTERVAL: Duration = Duration::from_millis(50);

fn member(node: u32, generation: u64, now: Time) -> Member {
    Member {
        identity: Identity {
            node: NodeId(node),
            generation,
        },
        refutation: 0,
        state: State::Alive,
        since: now,
        name: format!("node{node}"),
        zone: format!("zone{}", node % 3),
        peer_address: format!("address{node}"),
        has_storage: false,
    }
}

struct SimulatedGroup {
    now: Time,
    nodes: BTreeMap<NodeId, Swim>,
    unresponsive: BTreeSet<NodeId>,
    /// Members on one side of a network partition.
    partition: Option<BTreeSet<NodeId>>,
}

impl SimulatedGroup {
    fn new(count: u32) -> Self {
        let now = Time(1_000_000_000);
        let mut group = Self {
            now,
            nodes: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
            partition: None,
        };
        for node in 1..=count {
            group.join(node, 1);
        }
        group
    }

    fn join(&mut self, node: u32, generation: u64) {
        let local = member(node, generation, self.now);
        let mut swim = Swim::new(SwimSettings::default(), local, u64::from(node));
        if node != 1 {
            let mut seed = member(1, 0, self.now);
            seed.state = State::Suspect;
            swim.add_seed(self.now, seed);
        }
        self.nodes.insert(NodeId(node), swim);
    }

    fn reachable(&self, from: NodeId, to: NodeId) -> bool {
        let partitioned = self
            .partition
            .as_ref()
            .is_some_and(|side| side.contains(&from) != side.contains(&to));
        !partitioned && !self.unresponsive.contains(&from) && !self.unresponsive.contains(&to)
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 20 {
            self.now += TICK_INTERVAL;
            let mut in_flight: Vec<(Identity, Outgoing)> = Vec::new();
            for swim in self.nodes.values_mut() {
                let from = swim.local().identity;
                in_flight.extend(
                    swim.tick(self.now)
                        .into_iter()
                        .map(|message| (from, message)),
                );
            }
            while let Some((from, message)) = in_flight.pop() {
                if !self.reachable(from.node, message.to) {
                    continue;
                }
                let now = self.now;
                let Some(receiver) = self.nodes.get_mut(&message.to) else {
                    continue;
                };
                let replies = match &message.body {
                    OneOfbody::ping(ping) => receiver.on_ping(now, from, ping),
                    OneOfbody::ack(ack) => receiver.on_ack(now, from, ack),
                    OneOfbody::ping_request(request) => {
                        receiver.on_ping_request(now, from, request)
                    }
                    _ => Vec::new(),
                };
                let replier = receiver.local().identity;
                in_flight.extend(replies.into_iter().map(|reply| (replier, reply)));
            }
        }
    }

    fn state_seen_by(&self, viewer: u32, subject: u32) -> Option<State> {
        self.nodes[&NodeId(viewer)]
            .member(NodeId(subject))
            .map(|member| member.state)
    }
}

#[test]
fn all_members_discover_each_other_from_one_seed() {
    let mut group = SimulatedGroup::new(12);
    group.run(30);
    for swim in group.nodes.values() {
        assert_eq!(swim.usable().count(), 12, "{:?}", swim.local().name);
    }
}

#[test]
fn only_the_unresponsive_member_is_declared_dead() {
    let mut group = SimulatedGroup::new(9);
    group.run(30);
    group.unresponsive.insert(NodeId(4));
    group.run(25);
    for viewer in (1..=9).filter(|viewer| *viewer != 4) {
        assert_eq!(
            group.state_seen_by(viewer, 4),
            Some(State::Dead),
            "seen by {viewer}"
        );
        assert_eq!(group.nodes[&NodeId(viewer)].usable().count(), 8);
    }
}

#[test]
fn restarted_member_is_alive_with_its_new_generation() {
    let mut group = SimulatedGroup::new(6);
    group.run(30);
    group.unresponsive.insert(NodeId(3));
    group.run(25);
    group.unresponsive.remove(&NodeId(3));
    group.join(3, 2);
    group.run(30);
    for viewer in [1, 2, 4, 5, 6] {
        let swim = &group.nodes[&NodeId(viewer)];
        let seen = swim.member(NodeId(3)).unwrap();
        assert_eq!((seen.state, seen.identity.generation), (State::Alive, 2));
        let earlier_identity = Identity {
            node: NodeId(3),
            generation: 1,
        };
        assert!(
            swim.is_dead(earlier_identity),
            "the earlier generation must be dead"
        );
    }
}

#[test]
fn group_merges_after_a_network_partition() {
    let mut group = SimulatedGroup::new(8);
    group.run(30);
    group.partition = Some((1..=4).map(NodeId).collect());
    group.run(40);
    assert_eq!(group.state_seen_by(1, 8), Some(State::Dead));
    group.partition = None;
    group.run(90);
    for swim in group.nodes.values() {
        assert_eq!(swim.usable().count(), 8, "{:?}", swim.local().name);
    }
}

#[test]
fn leaving_member_is_seen_as_leaving() {
    let mut group = SimulatedGroup::new(6);
    group.run(30);
    group.nodes.get_mut(&NodeId(5)).unwrap().leave();
    group.run(6);
    for viewer in [1, 2, 3, 4, 6] {
        assert_eq!(
            group.state_seen_by(viewer, 5),
            Some(State::Leaving),
            "seen by {viewer}"
        );
    }
}

#[test]
fn zone_tree_reaches_every_member_once() {
    let members: Vec<NodeId> = (1..=45).map(NodeId).collect();
    let tree = ZoneTree::new("zone", members.iter().copied());
    let mut reached = BTreeSet::from([tree.root().unwrap()]);
    let mut level = vec![tree.root().unwrap()];
    let mut depth = 0;
    while !level.is_empty() {
        let next: Vec<NodeId> = level
            .iter()
            .flat_map(|node| tree.children(*node).to_vec())
            .collect();
        for node in &next {
            assert!(reached.insert(*node), "{node} reached twice");
        }
        depth += u32::from(!next.is_empty());
        level = next;
    }
    assert_eq!(reached.len(), 45);
    assert_eq!(depth, tree.depth());
}

/// Guards against a seed that stays dead because its own update has already
/// reached its transmission limit.
#[test]
fn seed_declared_dead_becomes_alive_after_it_answers() {
    let mut group = SimulatedGroup::new(2);
    group.run(60);
    // Node 1 loses its state and gets node 2 as a seed; node 2 has stopped
    // sending the update about its own start.
    let now = group.now;
    let mut restarted = Swim::new(SwimSettings::default(), member(1, 1, now), 9);
    let mut seed = member(2, 0, now);
    seed.state = State::Suspect;
    restarted.add_seed(now, seed);
    group.nodes.insert(NodeId(1), restarted);
    group.unresponsive.insert(NodeId(2));
    group.run(10);
    assert_eq!(group.state_seen_by(1, 2), Some(State::Dead));
    group.unresponsive.remove(&NodeId(2));
    group.run(30);
    assert_eq!(group.state_seen_by(1, 2), Some(State::Alive));
}
