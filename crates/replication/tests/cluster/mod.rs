//! A group of replicas on a virtual clock, with disks that keep what was
//! synced, a network that delays, loses and reorders, and an oracle.

use peatgrade_replication::{
    MembershipPlanner, Outgoing, Replica, ReplicaId, ReplicaSettings, Role, Timing,
};
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{HardState, LogEntry, Member, ReplicaMessage, WrongReplica};
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

mod disk;

use disk::Disk;

/// A machine with its disk and, while it runs, its replica.
pub struct Machine {
    pub name: String,
    address: String,
    disk: Disk,
    pub replica: Option<Replica>,
    /// Commands applied in this life, or since the last reset.
    pub applied: BTreeSet<Vec<u8>>,
    group: MembershipPlanner,
    frozen_until: Time,
}

/// The group, its network and its oracle.
pub struct Cluster {
    pub now: Time,
    pub random: SmallRng,
    pub machines: Vec<Machine>,
    pub loss: f64,
    /// Machines at the end of a slow path: what goes there takes longer.
    pub slow_paths: BTreeMap<usize, Duration>,
    cuts: BTreeSet<(usize, usize)>,
    flying: BTreeMap<(Time, u64), (usize, usize, ReplicaMessage)>,
    sequence: u64,
    next_disk: u64,
    /// Command at each committed index, as the first replica saw it.
    committed: BTreeMap<u64, (u64, Vec<u8>)>,
    /// Commands that a leader has answered for.
    pub acknowledged: BTreeSet<Vec<u8>>,
    pub proposed: u64,
    /// Entries that were sent to other machines.
    pub entries_sent: usize,
    /// A crash between sending early messages and the sync.
    pub crash_before_sync: f64,
    /// Registrations as a store shows them that machines cannot write to.
    pub stale_list: Option<Vec<Member>>,
    /// The machine that may answer.
    pub answering: Option<usize>,
    /// Voters of a full group.
    full: usize,
}

impl Cluster {
    /// A founded group of three machines and `spares` empty ones.
    pub fn new(seed: u64, spares: usize) -> Self {
        Self::with_voters(seed, 3, spares)
    }

    /// A founded group of `voters` machines and `spares` empty ones.
    pub fn with_voters(seed: u64, voters: usize, spares: usize) -> Self {
        let mut cluster = Self {
            now: Time(1_000_000),
            random: SmallRng::seed_from_u64(seed),
            machines: Vec::new(),
            loss: 0.0,
            slow_paths: BTreeMap::new(),
            cuts: BTreeSet::new(),
            flying: BTreeMap::new(),
            sequence: 0,
            next_disk: 100,
            committed: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            proposed: 0,
            entries_sent: 0,
            crash_before_sync: 0.0,
            stale_list: None,
            answering: None,
            full: voters,
        };
        for index in 0..voters + spares {
            cluster.machines.push(Machine {
                name: format!("machine-{index}"),
                address: index.to_string(),
                disk: Disk::default(),
                replica: None,
                applied: BTreeSet::new(),
                group: MembershipPlanner::new(voters),
                frozen_until: Time(0),
            });
            cluster.wipe(index);
            cluster.start(index);
        }
        let first: Vec<Member> = (0..voters)
            .map(|index| cluster.member(index, true))
            .collect();
        for index in 0..voters {
            let replica = cluster.machines[index].replica.as_mut().unwrap();
            replica.bootstrap(first.clone());
            cluster.pump(index);
        }
        cluster
    }

    pub fn member(&self, index: usize, voter: bool) -> Member {
        Member {
            replica: self.machines[index].disk.state.replica,
            name: self.machines[index].name.clone(),
            address: index.to_string(),
            zone: format!("zone-{}", index % 3),
            voter,
        }
    }

    /// Empties a disk: the machine is a new replica from its next start on.
    pub fn wipe(&mut self, index: usize) {
        self.next_disk += 1;
        self.machines[index].disk = Disk {
            state: HardState {
                term: 0,
                vote: 0,
                replica: self.next_disk,
            },
            ..Disk::default()
        };
    }

    pub fn stop(&mut self, index: usize) {
        self.machines[index].replica = None;
    }

    pub fn start(&mut self, index: usize) {
        let now = self.now;
        let full = self.full;
        let machine = &mut self.machines[index];
        if machine.replica.is_some() {
            return;
        }
        let settings = ReplicaSettings {
            id: ReplicaId(machine.disk.state.replica),
            address: machine.address.clone(),
            seed: index as u64,
            timing: Timing::default(),
        };
        let disk = &machine.disk;
        machine.replica = Some(Replica::new(now, settings, &disk.state, disk.log()));
        machine.applied.clear();
        machine.group = MembershipPlanner::new(full);
        machine.frozen_until = Time(0);
    }

    /// A machine stands still, and goes on later with all it had in hand.
    pub fn freeze(&mut self, index: usize, span: Duration) {
        self.machines[index].frozen_until = self.now + span;
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    fn send(&mut self, from: usize, outgoing: Outgoing) {
        let to: usize = outgoing.address.parse().unwrap();
        if let OneOfbody::append_request(request) = &outgoing.body {
            self.entries_sent += request.entries.len();
        }
        let message = ReplicaMessage {
            from: self.machines[from].disk.state.replica,
            to: outgoing.to.0,
            term: outgoing.term,
            from_address: from.to_string(),
            body: outgoing.body,
        };
        if self.cuts.contains(&(from, to)) || self.random.random_bool(self.loss) {
            return;
        }
        let slow = self.slow_paths.get(&to).map_or(0, |delay| delay.0);
        let delay = Duration(slow + self.random.random_range(300..2_500));
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.flying.insert(key, (from, to, message));
    }

    /// Carries out what a replica wants. Returns false if it crashed.
    fn pump(&mut self, index: usize) {
        loop {
            let machine = &mut self.machines[index];
            let Some(replica) = machine.replica.as_mut() else {
                return;
            };
            if !replica.has_ready() {
                return;
            }
            let mut ready = replica.ready();
            for message in std::mem::take(&mut ready.immediate_messages) {
                self.send(index, message);
            }
            if self.random.random_bool(self.crash_before_sync) {
                return self.stop(index);
            }
            let machine = &mut self.machines[index];
            machine.disk.persist(&ready);
            machine.replica.as_mut().unwrap().on_persisted();
            for message in std::mem::take(&mut ready.persisted_messages) {
                self.send(index, message);
            }
            if ready.reset_state_machine {
                self.machines[index].applied.clear();
            }
            for entry in &ready.committed {
                self.apply(index, entry);
            }
        }
    }

    fn apply(&mut self, index: usize, entry: &LogEntry) {
        let seen = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| (entry.term, entry.command.clone()));
        assert_eq!(
            *seen,
            (entry.term, entry.command.clone()),
            "two replicas hold different entries at {}",
            entry.index
        );
        let machine = &mut self.machines[index];
        if entry.command.is_empty() {
            return;
        }
        machine.applied.insert(entry.command.clone());
        let leads = machine.replica.as_ref().unwrap().role() == Role::Leader;
        if leads {
            self.acknowledged.insert(entry.command.clone());
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: ReplicaMessage) {
        let now = self.now;
        let me = self.member(to, false);
        let machine = &mut self.machines[to];
        let Some(replica) = machine.replica.as_mut() else {
            return;
        };
        if let OneOfbody::wrong_replica(told) = message.body {
            let members = replica.members();
            machine
                .group
                .record_self_report(now, told.member.unwrap(), &members);
            return;
        }
        if message.to != replica.id().0 {
            let empty = replica.members().is_empty();
            let told = Outgoing {
                to: ReplicaId(message.from),
                address: from.to_string(),
                term: 0,
                body: OneOfbody::wrong_replica(WrongReplica {
                    member: Some(me),
                    empty,
                }),
            };
            return self.send(to, told);
        }
        replica.step(now, message);
        if self.answering != Some(to) && replica.can_serve(now) {
            // Not even between a message and what follows from it.
            let lost = self.acknowledged.difference(&machine.applied).next();
            assert!(lost.is_none(), "machine {to} would answer without {lost:?}");
        }
        self.pump(to);
    }

    fn lead(&mut self, index: usize) {
        let now = self.now;
        let all: Vec<Member> = match &self.stale_list {
            Some(stale) => stale.clone(),
            None => (0..self.machines.len())
                .filter(|other| self.machines[*other].replica.is_some())
                .map(|other| self.member(other, false))
                .collect(),
        };
        let machine = &mut self.machines[index];
        let Some(replica) = machine.replica.as_mut() else {
            return;
        };
        if !replica.can_serve(now) {
            return;
        }
        for member in all {
            machine.group.record_registration(now, member);
        }
        if let Some(members) = machine.group.next_members(now, replica) {
            replica.change_members(now, members);
        }
        self.pump(index);
    }

    /// Asks that machines be emptied, at every machine.
    pub fn retire(&mut self, names: &[String]) {
        for machine in &mut self.machines {
            machine.group.set_retiring(names);
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += Duration(1_000);
            for index in 0..self.machines.len() {
                if self.machines[index].frozen_until > self.now {
                    continue;
                }
                let now = self.now;
                if let Some(replica) = self.machines[index].replica.as_mut() {
                    if now >= replica.next_tick() {
                        replica.tick(now);
                    }
                }
                self.pump(index);
                self.lead(index);
            }
            self.check_answering();
            while let Some((&(at, sequence), _)) = self.flying.first_key_value() {
                if at > self.now {
                    break;
                }
                let (from, to, message) = self.flying.remove(&(at, sequence)).unwrap();
                let frozen = self.machines[to].frozen_until;
                if frozen > self.now {
                    self.flying.insert((frozen, sequence), (from, to, message));
                    continue;
                }
                self.deliver(from, to, message);
            }
        }
    }

    /// Who may answer knows all that was ever acknowledged, and is alone.
    fn check_answering(&mut self) {
        let now = self.now;
        let answering: Vec<usize> = (0..self.machines.len())
            .filter(|index| {
                let machine = &self.machines[*index];
                let replica = machine.replica.as_ref();
                machine.frozen_until <= now && replica.is_some_and(|r| r.can_serve(now))
            })
            .collect();
        assert!(answering.len() <= 1, "two leaders answer: {answering:?}");
        let before = self.answering;
        self.answering = answering.first().copied();
        // The whole comparison costs time; what changed since can only be lost
        // by a change of who answers, or by a reset of its state.
        let due = before != self.answering || self.now.0.is_multiple_of(250_000);
        if !due {
            return;
        }
        if let Some(index) = self.answering {
            let applied = &self.machines[index].applied;
            let lost = self.acknowledged.difference(applied).next();
            assert!(
                lost.is_none(),
                "{} answers without {lost:?}, of {} acknowledged",
                self.machines[index].name,
                self.acknowledged.len()
            );
        }
    }

    /// Proposes a command at the machine that may answer.
    pub fn propose(&mut self) -> bool {
        let Some(index) = self.answering else {
            return false;
        };
        let now = self.now;
        self.proposed += 1;
        let command = self.proposed.to_be_bytes().to_vec();
        let replica = self.machines[index].replica.as_mut();
        let taken = replica.and_then(|replica| replica.propose(now, command));
        self.pump(index);
        taken.is_some()
    }

    /// Members by machine name, as the leader that may answer sees them.
    pub fn voters(&self) -> Vec<String> {
        let Some(index) = self.answering else {
            return Vec::new();
        };
        let replica = self.machines[index].replica.as_ref().unwrap();
        let voters = replica.members().into_iter().filter(|member| member.voter);
        voters.map(|member| member.name).collect()
    }

    /// Runs until a leader answers; the time that took.
    pub fn run_until_led(&mut self, limit: Duration) -> Duration {
        let start = self.now;
        while self.now.since(start) < limit {
            self.run(Duration(1_000));
            if self.answering.is_some() {
                return self.now.since(start);
            }
        }
        panic!("nobody leads within {limit:?}");
    }
}
