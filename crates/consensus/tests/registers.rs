//! Registers under loss, reordering, restarts and roster changes.

use peatgrade_consensus::roster::{majority, Member};
use peatgrade_consensus::{Acceptor, Decision, Lease, LeaseState, Outgoing, Proposer, Roster};
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_types::{Duration, Identity, NodeId, Time};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

fn identity(node: u32, generation: u64) -> Identity {
    Identity {
        node: NodeId(node),
        generation,
    }
}

fn member(node: u32, generation: u64) -> Member {
    Member {
        identity: identity(node, generation),
        zone: format!("zone{}", node % 3),
        peer_address: String::new(),
    }
}

/// Replicas and proposers joined by a network that loses and reorders.
struct Cluster {
    now: Time,
    roster: Roster,
    acceptors: BTreeMap<NodeId, Acceptor>,
    proposers: Vec<(Identity, Proposer)>,
    wire: Vec<(Identity, Outgoing)>,
    random: SmallRng,
    loss: f64,
    results: Vec<(usize, Result<Vec<u8>, String>)>,
}

impl Cluster {
    fn new(nodes: u32, proposers: u32, seed: u64, loss: f64) -> Self {
        let members: Vec<Member> = (1..=nodes).map(|node| member(node, 1)).collect();
        let roster = Roster::default().successor(members);
        let mut cluster = Self {
            now: Time(1_000_000_000),
            acceptors: BTreeMap::new(),
            proposers: Vec::new(),
            wire: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            loss,
            results: Vec::new(),
            roster: roster.clone(),
        };
        for node in 1..=nodes {
            cluster.start(node, 1);
        }
        for number in 0..proposers {
            let me = identity(100 + number, 1);
            cluster
                .proposers
                .push((me, Proposer::new(me, seed + u64::from(number))));
        }
        cluster
    }

    fn start(&mut self, node: u32, generation: u64) {
        let mut acceptor = Acceptor::new(identity(node, generation));
        acceptor.install(self.roster.clone());
        self.acceptors.insert(NodeId(node), acceptor);
    }

    fn change_roster(&mut self, members: Vec<Member>) {
        self.roster = self.roster.successor(members);
        for acceptor in self.acceptors.values_mut() {
            acceptor.install(self.roster.clone());
        }
    }

    /// Adds a number to the register's value, read as a decimal.
    fn add(&mut self, proposer: usize, key: &str, amount: u64) {
        let change = Box::new(move |current: &[u8]| {
            let text = String::from_utf8_lossy(current);
            let value: u64 = text.parse().unwrap_or(0);
            Decision::write((value + amount).to_string().into_bytes())
        });
        let deadline = self.now + Duration::from_secs(20);
        let (me, engine) = &mut self.proposers[proposer];
        let (_, outgoing) = engine.start(self.now, &self.roster, key, deadline, change);
        let me = *me;
        self.wire
            .extend(outgoing.into_iter().map(|message| (me, message)));
    }

    fn read(&mut self, proposer: usize, key: &str) -> Option<String> {
        let deadline = self.now + Duration::from_secs(20);
        let (me, engine) = &mut self.proposers[proposer];
        let read = Box::new(|_: &[u8]| Decision::Keep);
        let (_, outgoing) = engine.start(self.now, &self.roster, key, deadline, read);
        let me = *me;
        self.wire
            .extend(outgoing.into_iter().map(|message| (me, message)));
        let before = self.results.len();
        self.run_until_results(before + 1);
        let (_, result) = self.results.pop()?;
        result
            .ok()
            .map(|value| String::from_utf8_lossy(&value).into_owned())
    }

    fn run_until_results(&mut self, count: usize) {
        for _ in 0..20_000 {
            if self.results.len() >= count {
                return;
            }
            self.step();
        }
        panic!("{} of {count} operations ended", self.results.len());
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(5);
        for index in 0..self.proposers.len() {
            let (me, engine) = &mut self.proposers[index];
            let (outgoing, outcomes) = engine.tick(self.now, &self.roster);
            let me = *me;
            self.wire
                .extend(outgoing.into_iter().map(|message| (me, message)));
            for outcome in outcomes {
                self.results
                    .push((index, outcome.result.map_err(|e| e.to_string())));
            }
        }
        for acceptor in self.acceptors.values_mut() {
            let outgoing = acceptor.tick(self.now);
            let me = identity(0, 0);
            // The sender is looked up again when the message is delivered.
            self.wire
                .extend(outgoing.into_iter().map(|message| (me, message)));
        }
        let count = self.wire.len().min(8);
        for _ in 0..count {
            let index = self.random.random_range(0..self.wire.len());
            let (from, message) = self.wire.swap_remove(index);
            if !self.random.random_bool(self.loss) {
                self.deliver(from, message);
            }
        }
    }

    fn deliver(&mut self, from: Identity, message: Outgoing) {
        let now = self.now;
        if let Some(index) = self
            .proposers
            .iter()
            .position(|(me, _)| me.node == message.to)
        {
            let (_, engine) = &mut self.proposers[index];
            let (outgoing, outcome) = match message.body {
                OneOfbody::promise(promise) => {
                    engine.on_promise(now, &self.roster, from.node, promise)
                }
                OneOfbody::accepted(answer) => (
                    Vec::new(),
                    engine.on_accepted(now, &self.roster, from.node, &answer),
                ),
                _ => (Vec::new(), None),
            };
            let me = self.proposers[index].0;
            self.wire
                .extend(outgoing.into_iter().map(|message| (me, message)));
            if let Some(outcome) = outcome {
                self.results
                    .push((index, outcome.result.map_err(|e| e.to_string())));
            }
            return;
        }
        let Some(acceptor) = self.acceptors.get_mut(&message.to) else {
            return;
        };
        let replica = self
            .roster
            .member(message.to)
            .map(|member| member.identity)
            .unwrap_or(identity(message.to.0, 1));
        let reply = match message.body {
            OneOfbody::prepare(prepare) => OneOfbody::promise(acceptor.on_prepare(now, &prepare)),
            OneOfbody::accept(accept) => OneOfbody::accepted(acceptor.on_accept(now, &accept)),
            OneOfbody::shard_sync_request(request) => {
                let answer = acceptor.on_sync_request(now, &request);
                // Every replica that lacks the shard may take the copy.
                for (node, other) in &mut self.acceptors {
                    if *node != message.to {
                        other.on_sync_reply(now, replica, &answer);
                    }
                }
                return;
            }
            _ => return,
        };
        self.wire.push((replica, Outgoing::new(from.node, reply)));
    }
}

#[test]
fn a_value_survives_the_replacement_of_a_minority_one_after_the_other() {
    let mut cluster = Cluster::new(5, 1, 7, 0.05);
    cluster.add(0, "counter", 41);
    cluster.run_until_results(1);
    cluster.results.clear();
    for replaced in 1..=5 {
        // The node restarts: its memory, and with it its promises, are gone.
        cluster.start(replaced, 2);
        let members = (1..=5).map(|node| member(node, if node <= replaced { 2 } else { 1 }));
        cluster.change_roster(members.collect());
        for _ in 0..400 {
            cluster.step();
        }
        assert!(
            cluster.acceptors.values().all(Acceptor::complete),
            "after {replaced}"
        );
    }
    assert_eq!(cluster.read(0, "counter").as_deref(), Some("41"));
}

#[test]
fn a_restarted_replica_answers_nothing_before_it_is_in_the_roster() {
    let mut cluster = Cluster::new(3, 1, 3, 0.0);
    cluster.start(2, 9);
    let prepare = peatgrade_schema::peer::Prepare {
        request: 1,
        key: "counter".into(),
        ballot: Some(peatgrade_schema::peer::Ballot {
            roster: 1,
            counter: 5,
            proposer: 100,
            generation: 1,
        }),
    };
    let now = cluster.now;
    let restarted = cluster.acceptors.get_mut(&NodeId(2)).unwrap();
    assert!(!restarted.on_prepare(now, &prepare).granted);
    let others = cluster.acceptors.get_mut(&NodeId(1)).unwrap();
    assert!(others.on_prepare(now, &prepare).granted);
}

#[test]
fn a_replica_of_an_old_roster_takes_no_part_in_choosing() {
    let mut cluster = Cluster::new(3, 1, 3, 0.0);
    let old = cluster.roster.clone();
    cluster.change_roster((1..=3).map(|node| member(node, 1)).collect());
    let stale = peatgrade_schema::peer::Accept {
        request: 1,
        key: "counter".into(),
        ballot: Some(peatgrade_schema::peer::Ballot {
            roster: old.number,
            counter: 900,
            proposer: 100,
            generation: 1,
        }),
        value: b"stale".to_vec(),
        lifetime_ms: 0,
    };
    let now = cluster.now;
    for acceptor in cluster.acceptors.values_mut() {
        assert!(!acceptor.on_accept(now, &stale).granted);
    }
}

#[test]
fn shards_are_placed_in_distinct_zones() {
    let members: Vec<Member> = (1..=6).map(|node| member(node, 1)).collect();
    let roster = Roster::default().successor(members);
    for shard in 0..peatgrade_consensus::roster::SHARDS {
        let replicas = roster.replicas(shard);
        assert_eq!(replicas.len(), 5);
        for zone in ["zone0", "zone1", "zone2"] {
            let held = replicas.iter().filter(|member| member.zone == zone).count();
            assert!(held < majority(5), "{zone} holds {held} of shard {shard}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_algorithm: proptest::test_runner::RngAlgorithm::ChaCha, failure_persistence: None, ..ProptestConfig::default() })]

    /// Concurrent additions by several proposers are neither lost nor applied
    /// twice, whatever the network does.
    #[test]
    fn additions_are_applied_once(seed in 0_u64..10_000, loss in 0.0_f64..0.2) {
        let mut cluster = Cluster::new(5, 3, seed, loss);
        let rounds = 4;
        for _ in 0..rounds {
            for proposer in 0..3 {
                cluster.add(proposer, "counter", 1);
            }
        }
        cluster.run_until_results(3 * rounds);
        let done = cluster.results.iter().filter(|(_, result)| result.is_ok()).count();
        prop_assert_eq!(done, 3 * rounds);
        cluster.results.clear();
        // A change may run again after its own write took effect, as it cannot
        // recognise itself here; it is then applied twice, never lost.
        let value: usize = cluster.read(0, "counter").unwrap().parse().unwrap();
        prop_assert!(value >= 3 * rounds);
    }
}

fn poll_and_write(lease: &mut Lease, now: Time, record: &mut Vec<u8>) {
    if let Some(change) = lease.poll(now, true) {
        if let Decision::Write { value, .. } = change(record) {
            *record = value;
        }
        lease.on_outcome(now, &Ok(record.clone()));
    }
}

#[test]
fn a_paused_holder_does_not_act_after_its_lease() {
    let mut record = Vec::new();
    let mut first = Lease::new("lease", identity(1, 1));
    let mut second = Lease::new("lease", identity(2, 1));
    let start = Time(1_000_000_000);
    poll_and_write(&mut first, start, &mut record);
    assert_eq!(first.state(start), LeaseState::Held { epoch: 1 });
    // The first holder stands still; the second watches the record.
    let mut now = start;
    for _ in 0..50 {
        now += Duration::from_millis(500);
        poll_and_write(&mut second, now, &mut record);
        let both = matches!(first.state(now), LeaseState::Held { .. })
            && matches!(second.state(now), LeaseState::Held { .. });
        assert!(!both, "two holders at {now:?}");
    }
    assert_eq!(second.epoch(now), Some(2));
    assert_eq!(first.state(now), LeaseState::Other);
    // It wakes, reads the record and stays out.
    poll_and_write(&mut first, now, &mut record);
    assert_eq!(first.state(now), LeaseState::Other);
}

#[test]
fn a_released_lease_is_taken_at_once_under_a_higher_epoch() {
    let mut record = Vec::new();
    let mut first = Lease::new("lease", identity(1, 1));
    let mut second = Lease::new("lease", identity(2, 1));
    let now = Time(1_000_000_000);
    poll_and_write(&mut first, now, &mut record);
    let later = now + Duration::from_secs(3);
    let change = first.poll(later, false).unwrap();
    if let Decision::Write { value, .. } = change(&record) {
        record = value;
    }
    first.on_outcome(later, &Ok(record.clone()));
    assert_eq!(first.state(later), LeaseState::Other);
    poll_and_write(&mut second, later, &mut record);
    assert_eq!(second.state(later), LeaseState::Held { epoch: 2 });
}
