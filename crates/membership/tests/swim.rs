//! Failure detection and the zone tree.

use peatgrade_consensus::Outgoing;
use peatgrade_membership::{Member, State, Swim, SwimSettings, ZoneTree};
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_types::{Duration, Identity, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

const STEP: Duration = Duration::from_millis(50);

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

struct Group {
    now: Time,
    nodes: BTreeMap<NodeId, Swim>,
    silent: BTreeSet<NodeId>,
    /// Pairs of halves that cannot reach each other.
    split: Option<BTreeSet<NodeId>>,
}

impl Group {
    fn new(count: u32) -> Self {
        let now = Time(1_000_000_000);
        let mut group = Self {
            now,
            nodes: BTreeMap::new(),
            silent: BTreeSet::new(),
            split: None,
        };
        for node in 1..=count {
            group.join(node, 1);
        }
        group
    }

    fn join(&mut self, node: u32, generation: u64) {
        let me = member(node, generation, self.now);
        let mut swim = Swim::new(SwimSettings::default(), me, u64::from(node));
        if node != 1 {
            let mut seed = member(1, 0, self.now);
            seed.state = State::Suspect;
            swim.add_seed(self.now, seed);
        }
        self.nodes.insert(NodeId(node), swim);
    }

    fn reachable(&self, from: NodeId, to: NodeId) -> bool {
        let cut = self
            .split
            .as_ref()
            .is_some_and(|half| half.contains(&from) != half.contains(&to));
        !cut && !self.silent.contains(&from) && !self.silent.contains(&to)
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 20 {
            self.now += STEP;
            let mut wire: Vec<(Identity, Outgoing)> = Vec::new();
            for swim in self.nodes.values_mut() {
                let from = swim.local().identity;
                wire.extend(
                    swim.tick(self.now)
                        .into_iter()
                        .map(|message| (from, message)),
                );
            }
            while let Some((from, message)) = wire.pop() {
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
                let me = receiver.local().identity;
                wire.extend(replies.into_iter().map(|reply| (me, reply)));
            }
        }
    }

    fn view(&self, viewer: u32, subject: u32) -> Option<State> {
        self.nodes[&NodeId(viewer)]
            .member(NodeId(subject))
            .map(|member| member.state)
    }
}

#[test]
fn everyone_learns_of_everyone_from_one_seed() {
    let mut group = Group::new(12);
    group.run(30);
    for swim in group.nodes.values() {
        assert_eq!(swim.usable().count(), 12, "{:?}", swim.local().name);
    }
}

#[test]
fn a_silent_member_is_held_for_dead_by_all_and_nobody_else_is() {
    let mut group = Group::new(9);
    group.run(30);
    group.silent.insert(NodeId(4));
    group.run(25);
    for viewer in (1..=9).filter(|viewer| *viewer != 4) {
        assert_eq!(group.view(viewer, 4), Some(State::Dead), "seen by {viewer}");
        assert_eq!(group.nodes[&NodeId(viewer)].usable().count(), 8);
    }
}

#[test]
fn a_restarted_member_comes_back_under_its_new_generation() {
    let mut group = Group::new(6);
    group.run(30);
    group.silent.insert(NodeId(3));
    group.run(25);
    group.silent.remove(&NodeId(3));
    group.join(3, 2);
    group.run(30);
    for viewer in [1, 2, 4, 5, 6] {
        let swim = &group.nodes[&NodeId(viewer)];
        let seen = swim.member(NodeId(3)).unwrap();
        assert_eq!((seen.state, seen.identity.generation), (State::Alive, 2));
        let earlier = Identity {
            node: NodeId(3),
            generation: 1,
        };
        assert!(swim.is_dead(earlier), "the earlier life is over");
    }
}

#[test]
fn two_halves_find_together_after_a_cut() {
    let mut group = Group::new(8);
    group.run(30);
    group.split = Some((1..=4).map(NodeId).collect());
    group.run(40);
    assert_eq!(group.view(1, 8), Some(State::Dead));
    group.split = None;
    group.run(90);
    for swim in group.nodes.values() {
        assert_eq!(swim.usable().count(), 8, "{:?}", swim.local().name);
    }
}

#[test]
fn a_leaving_member_is_known_to_leave_before_it_is_gone() {
    let mut group = Group::new(6);
    group.run(30);
    group.nodes.get_mut(&NodeId(5)).unwrap().leave();
    group.run(6);
    for viewer in [1, 2, 3, 4, 6] {
        assert_eq!(
            group.view(viewer, 5),
            Some(State::Leaving),
            "seen by {viewer}"
        );
    }
}

#[test]
fn the_tree_reaches_every_member_once() {
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
            assert!(reached.insert(*node), "{node} is reached twice");
        }
        depth += u32::from(!next.is_empty());
        level = next;
    }
    assert_eq!(reached.len(), 45);
    assert_eq!(depth, tree.depth());
}

/// With 180 nodes started at once, some were held for dead for good: the news
/// of their start had been passed on to others only.
#[test]
fn a_node_known_by_address_only_is_learnt_of_once_it_answers() {
    let mut group = Group::new(2);
    group.run(60);
    // Node 1 forgets everything and is told an address; node 2 has long
    // stopped passing on the news of its own start.
    let now = group.now;
    let mut fresh = Swim::new(SwimSettings::default(), member(1, 1, now), 9);
    let mut listed = member(2, 0, now);
    listed.state = State::Suspect;
    fresh.add_seed(now, listed);
    group.nodes.insert(NodeId(1), fresh);
    group.silent.insert(NodeId(2));
    group.run(10);
    assert_eq!(group.view(1, 2), Some(State::Dead));
    group.silent.remove(&NodeId(2));
    group.run(30);
    assert_eq!(group.view(1, 2), Some(State::Alive));
}
