//! A simulated cluster on a virtual clock: disks that keep synced data only, a network that
//! delays, drops and reorders messages, and an oracle of committed and acknowledged commands.

use peatgrade_replication::{
    MembershipPlanner, Outgoing, Replica, ReplicaId, ReplicaSettings, Role, Timing,
};
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{HardState, LogEntry, Member, ReplicaMessage, WrongReplica};
use peatgrade_types::{hash_pair, Duration, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

mod disk;
mod member_checks;
mod retirement;

use disk::Disk;
use member_checks::MemberChecks;

/// Interval of the comparison of the leader's state with all acknowledged commands.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A machine with its disk and, while it is running, its replica.
pub struct Machine {
    pub name: String,
    address: String,
    disk: Disk,
    pub replica: Option<Replica>,
    /// Commands applied since the last start or reset of the state machine.
    pub applied: BTreeSet<Vec<u8>>,
    planner: MembershipPlanner,
    paused_until: Time,
    /// Whether the operator has taken the machine away for good.
    pub is_gone: bool,
    /// The machine as last registered in the store.
    registered: Member,
}

pub struct Cluster {
    seed: u64,
    pub now: Time,
    pub random: SmallRng,
    pub machines: Vec<Machine>,
    pub message_loss: f64,
    /// Additional delay of messages to a machine.
    pub extra_delays: BTreeMap<usize, Duration>,
    blocked_links: BTreeSet<(usize, usize)>,
    in_flight: BTreeMap<(Time, u64), (usize, usize, ReplicaMessage)>,
    sequence: u64,
    next_incarnation: u64,
    /// Term and command at each committed index, as first applied by any replica.
    committed: BTreeMap<u64, (u64, Vec<u8>)>,
    /// Commands applied by a leader, which count as acknowledged to the client.
    pub acknowledged: BTreeSet<Vec<u8>>,
    pub proposed: u64,
    /// Entries sent to other machines, including lost ones.
    pub entries_sent: usize,
    /// Probability of a crash between sending the immediate messages and the sync.
    pub crash_before_sync: f64,
    /// If set, outdated registrations read in place of the current ones.
    pub stale_registrations: Option<Vec<Member>>,
    /// The machine whose replica can serve requests.
    pub serving_leader: Option<usize>,
    target_voters: usize,
    /// Machines that the operator wants drained, by name.
    retiring: Vec<String>,
    /// Machines that a leader has reported as drained.
    released: Vec<String>,
    pub catch_up_time: Duration,
    checks: MemberChecks,
    /// Interval at which the leader plans membership changes.
    pub plan_interval: Duration,
    /// Since when no machine and no link has been disturbed.
    pub calm_since: Time,
    last_full_check: Time,
}

impl Cluster {
    /// A bootstrapped group of three machines, and `spares` machines with empty disks.
    pub fn new(seed: u64, spares: usize) -> Self {
        Self::with_voters(seed, 3, spares)
    }

    /// A bootstrapped group of `voters` machines, and `spares` machines with empty disks.
    pub fn with_voters(seed: u64, voters: usize, spares: usize) -> Self {
        let mut cluster = Self {
            seed,
            now: Time(1_000_000),
            random: SmallRng::seed_from_u64(seed),
            machines: Vec::new(),
            message_loss: 0.0,
            extra_delays: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            next_incarnation: 100,
            committed: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            proposed: 0,
            entries_sent: 0,
            crash_before_sync: 0.0,
            stale_registrations: None,
            serving_leader: None,
            target_voters: voters,
            retiring: Vec::new(),
            released: Vec::new(),
            catch_up_time: Duration::from_secs(5),
            checks: MemberChecks::default(),
            plan_interval: Duration(1_000),
            calm_since: Time(u64::MAX),
            last_full_check: Time(0),
        };
        for _ in 0..voters + spares {
            cluster.push_machine();
        }
        let first: Vec<Member> = (0..voters)
            .map(|index| cluster.member(index, true))
            .collect();
        for index in 0..voters {
            let replica = cluster.machines[index].replica.as_mut().unwrap();
            replica.bootstrap(first.clone());
            cluster.process_ready(index);
        }
        cluster
    }

    /// Starts a machine with an empty disk. Returns its index.
    pub fn push_machine(&mut self) -> usize {
        let index = self.machines.len();
        self.machines.push(Machine {
            name: format!("machine-{index}"),
            address: index.to_string(),
            disk: Disk::default(),
            replica: None,
            applied: BTreeSet::new(),
            planner: MembershipPlanner::new(self.target_voters),
            paused_until: Time(0),
            is_gone: false,
            registered: Member::default(),
        });
        self.wipe(index);
        self.start(index);
        index
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

    /// Empties a disk, so that the machine is a new replica from its next start.
    pub fn wipe(&mut self, index: usize) {
        self.next_incarnation += 1;
        self.machines[index].disk = Disk {
            state: HardState {
                term: 0,
                vote: 0,
                replica: self.next_incarnation,
            },
            ..Disk::default()
        };
    }

    pub fn stop(&mut self, index: usize) {
        self.machines[index].replica = None;
    }

    pub fn start(&mut self, index: usize) {
        let now = self.now;
        let target_voters = self.target_voters;
        let machine = &mut self.machines[index];
        if machine.replica.is_some() || machine.is_gone {
            return;
        }
        let settings = ReplicaSettings {
            id: ReplicaId(machine.disk.state.replica),
            address: machine.address.clone(),
            // Two replicas whose ids and seeds cancel out would draw the same election timeouts
            // for ever.
            seed: hash_pair(self.seed, index as u64),
            timing: Timing::default(),
        };
        let disk = &machine.disk;
        machine.replica = Some(Replica::new(now, settings, &disk.state, disk.log()));
        machine.applied.clear();
        machine.planner =
            MembershipPlanner::new(target_voters).with_catch_up_time(self.catch_up_time);
        machine.paused_until = Time(0);
        self.machines[index].registered = self.member(index, false);
    }

    /// Registrations in the store. Those of machines that are gone stay there.
    pub fn registrations(&self) -> Vec<Member> {
        let machines = self.machines.iter();
        machines.map(|machine| machine.registered.clone()).collect()
    }

    /// Pauses a machine. Its state and its incoming messages are kept.
    pub fn pause(&mut self, index: usize, duration: Duration) {
        self.machines[index].paused_until = self.now + duration;
    }

    pub fn block_link(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
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
        if self.blocked_links.contains(&(from, to)) || self.random.random_bool(self.message_loss) {
            return;
        }
        let extra_delay = self.extra_delays.get(&to).map_or(0, |delay| delay.0);
        let delay = Duration(extra_delay + self.random.random_range(300..2_500));
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.in_flight.insert(key, (from, to, message));
    }

    /// Carries out the pending work of a replica, which may crash it before the sync.
    fn process_ready(&mut self, index: usize) {
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
        self.checks.record_committed(entry);
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
        if let OneOfbody::wrong_replica(response) = message.body {
            let members = replica.members();
            machine
                .planner
                .record_self_report(now, response.member.unwrap(), &members);
            return;
        }
        if message.to != replica.id().0 {
            let empty = replica.members().is_empty();
            let response = Outgoing {
                to: ReplicaId(message.from),
                address: from.to_string(),
                term: 0,
                body: OneOfbody::wrong_replica(WrongReplica {
                    member: Some(me),
                    empty,
                }),
            };
            return self.send(to, response);
        }
        replica.step(now, message);
        if self.serving_leader != Some(to) && replica.can_serve(now) {
            // Checks the state between handling a message and its `Ready` too.
            let lost = self.acknowledged.difference(&machine.applied).next();
            assert!(lost.is_none(), "machine {to} can serve without {lost:?}");
        }
        self.process_ready(to);
    }

    fn change_members(&mut self, index: usize) {
        let now = self.now;
        let registrations: Vec<Member> = match &self.stale_registrations {
            Some(stale) => stale.clone(),
            None => self.registrations(),
        };
        let (retiring, released) = (self.retiring.clone(), self.released.clone());
        let machine = &mut self.machines[index];
        let Some(replica) = machine.replica.as_mut() else {
            return;
        };
        if !replica.can_serve(now) {
            return;
        }
        for member in registrations {
            machine.planner.record_registration(now, member);
        }
        machine.planner.set_retiring(&retiring);
        machine.planner.set_released(&released);
        if let Some(members) = machine.planner.next_members(now, replica) {
            let before = replica.members();
            let commit_index = replica.commit_index();
            if replica.change_members(now, members.clone()) {
                self.check_change(index, commit_index, &before, &members);
            }
        }
        self.process_ready(index);
    }

    /// Advances the virtual clock.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.next_event(end);
            for index in 0..self.machines.len() {
                if self.machines[index].paused_until > self.now {
                    continue;
                }
                let now = self.now;
                if let Some(replica) = self.machines[index].replica.as_mut() {
                    if now >= replica.next_tick() {
                        replica.tick(now);
                    }
                }
                self.process_ready(index);
                if self.now.0.is_multiple_of(self.plan_interval.0) {
                    self.change_members(index);
                }
            }
            self.check_serving_leader();
            while let Some((&(at, sequence), _)) = self.in_flight.first_key_value() {
                if at > self.now {
                    break;
                }
                let (from, to, message) = self.in_flight.remove(&(at, sequence)).unwrap();
                let paused_until = self.machines[to].paused_until;
                if paused_until > self.now {
                    self.in_flight
                        .insert((paused_until, sequence), (from, to, message));
                    continue;
                }
                self.deliver(from, to, message);
            }
        }
    }

    /// Time of the next event, in whole milliseconds.
    fn next_event(&self, end: Time) -> Time {
        let mut next = Time(
            end.0
                .min((self.now.0 / self.plan_interval.0 + 1) * self.plan_interval.0),
        );
        if let Some(((at, _), _)) = self.in_flight.first_key_value() {
            next = next.min(*at);
        }
        for machine in &self.machines {
            if let Some(replica) = &machine.replica {
                next = next.min(replica.next_tick().max(machine.paused_until));
            }
        }
        Time(next.0.max(self.now.0 + 1).next_multiple_of(1_000))
    }

    /// Asserts that at most one replica can serve and that it has applied all acknowledged
    /// commands.
    fn check_serving_leader(&mut self) {
        let now = self.now;
        let serving: Vec<usize> = (0..self.machines.len())
            .filter(|index| {
                let machine = &self.machines[*index];
                let replica = machine.replica.as_ref();
                machine.paused_until <= now && replica.is_some_and(|r| r.can_serve(now))
            })
            .collect();
        assert!(serving.len() <= 1, "several leaders can serve: {serving:?}");
        self.check_terms();
        let before = self.serving_leader;
        self.serving_leader = serving.first().copied();
        // The full comparison is slow. Commands can only go missing when the leader changes
        // or its state machine is reset.
        let due = before != self.serving_leader
            || self.now.since(self.last_full_check) >= FULL_CHECK_INTERVAL;
        if !due {
            return;
        }
        self.last_full_check = self.now;
        if let Some(index) = self.serving_leader {
            let applied = &self.machines[index].applied;
            let lost = self.acknowledged.difference(applied).next();
            assert!(
                lost.is_none(),
                "{} serves without {lost:?}, of {} acknowledged",
                self.machines[index].name,
                self.acknowledged.len()
            );
        }
    }

    /// Proposes a command to the serving leader. Returns whether it was accepted.
    pub fn propose(&mut self) -> bool {
        let Some(index) = self.serving_leader else {
            return false;
        };
        let now = self.now;
        self.proposed += 1;
        let command = self.proposed.to_be_bytes().to_vec();
        let replica = self.machines[index].replica.as_mut();
        let accepted = replica.and_then(|replica| replica.propose(now, command));
        self.process_ready(index);
        accepted.is_some()
    }

    /// Machine names of the voters, as known to the serving leader.
    pub fn voters(&self) -> Vec<String> {
        let Some(index) = self.serving_leader else {
            return Vec::new();
        };
        let replica = self.machines[index].replica.as_ref().unwrap();
        let voters = replica.members().into_iter().filter(|member| member.voter);
        voters.map(|member| member.name).collect()
    }

    /// Runs until a leader can serve. Returns the time that took.
    pub fn run_until_leader_serves(&mut self, limit: Duration) -> Duration {
        let start = self.now;
        while self.now.since(start) < limit {
            self.run(Duration(1_000));
            if self.serving_leader.is_some() {
                return self.now.since(start);
            }
        }
        panic!("no leader can serve within {limit:?}");
    }
}
