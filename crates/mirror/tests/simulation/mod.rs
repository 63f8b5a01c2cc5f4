//! A store, publishers that watch it and a subscriber, on a virtual clock.

mod machine;
mod store;

pub use machine::Fault;
use machine::{PublisherMachine, FAULTS};
use peatgrade_mirror::{MirrorTiming, PublisherReply, Subscriber, SubscriberAction};
use peatgrade_ports::{ObjectKind, StoreUpdate};
use peatgrade_schema::replication::{Member, MirrorReply};
use peatgrade_types::{hash_pair, Duration};
use std::collections::BTreeSet;
use store::{at, configuration, Store};

/// Time within which the subscriber must act on a change.
pub const BOUND_MS: u64 = 4_000;
const STEP_MS: u64 = 5;
/// Interval between changes of the engine list.
const CHANGE_INTERVAL_MS: u64 = 100;
/// Latency of the store for calls of the subscriber.
const STORE_CALL_MS: u64 = 30;
/// Latency of replies from a slow publisher.
const SLOW_REPLY_MS: u64 = 1_500;
const MEMBER_COUNT: usize = 3;
const SUBSCRIBER: &str = "subscriber";

pub struct Simulation {
    now: u64,
    seed: u64,
    random_draws: u64,
    store: Store,
    machines: Vec<PublisherMachine>,
    members: Vec<usize>,
    members_index: u64,
    leader: usize,
    subscriber: Subscriber,
    timing: MirrorTiming,
    /// Replies in transit: arrival time, publisher and message.
    replies: Vec<(u64, usize, MirrorReply)>,
    view: BTreeSet<String>,
    view_revision: u64,
    direct_watch_from: Option<u64>,
    direct_revision: Option<u64>,
    direct_lists: u64,
    is_store_partitioned: bool,
    last_asked: usize,
    max_delay: u64,
    has_reverted: bool,
}

impl Simulation {
    pub fn new() -> Self {
        Self::with_seed(1)
    }

    pub fn with_seed(seed: u64) -> Self {
        let timing = MirrorTiming::for_staleness_bound(Duration::from_millis(BOUND_MS));
        let start = 1_000;
        let mut simulation = Self {
            now: start,
            seed,
            random_draws: 0,
            store: Store {
                lists: vec![(0, BTreeSet::new()), (start, BTreeSet::new())],
            },
            machines: (0..5).map(|_| PublisherMachine::new()).collect(),
            members: (0..MEMBER_COUNT).collect(),
            members_index: 1,
            leader: MEMBER_COUNT - 1,
            subscriber: Subscriber::new(at(start), SUBSCRIBER, "here", timing, 1),
            timing,
            replies: Vec::new(),
            view: BTreeSet::new(),
            view_revision: 0,
            direct_watch_from: None,
            direct_revision: None,
            direct_lists: 0,
            is_store_partitioned: false,
            last_asked: 0,
            max_delay: 0,
            has_reverted: false,
        };
        let machines = simulation.member_addresses();
        let leader = address(simulation.leader);
        simulation.subscriber.set_publishers(machines, &leader);
        simulation
    }

    fn member_addresses(&self) -> Vec<(String, String)> {
        let members = self.members.iter();
        members
            .map(|index| ("there".to_string(), address(*index)))
            .collect()
    }

    pub fn set_fault(&mut self, machine: usize, fault: Fault) {
        let target = &mut self.machines[machine];
        if fault == Fault::Crashed {
            *target = PublisherMachine::new();
        }
        if fault == Fault::StaleConnections {
            target.is_connection_stale = true;
        }
        target.fault = fault;
    }

    pub fn set_all_faults(&mut self, fault: Fault) {
        for machine in 0..self.machines.len() {
            self.set_fault(machine, fault);
        }
    }

    pub fn random_fault(&mut self) {
        let machine = self.next_random(MEMBER_COUNT as u64) as usize;
        let fault = FAULTS[self.next_random(FAULTS.len() as u64) as usize];
        self.set_fault(machine, fault);
    }

    fn next_random(&mut self, below: u64) -> u64 {
        self.random_draws += 1;
        hash_pair(self.seed, self.random_draws) % below
    }

    pub fn set_store_partition(&mut self, is_partitioned: bool) {
        self.is_store_partitioned = is_partitioned;
        self.direct_revision = None;
    }

    pub fn set_leader(&mut self, machine: usize) {
        self.leader = machine;
        self.members_index += 1;
    }

    pub fn replace_members(&mut self, members: &[usize]) {
        self.members = members.to_vec();
        self.members_index += 1;
    }

    pub fn last_asked(&self) -> usize {
        self.last_asked
    }

    pub fn max_delay(&self) -> u64 {
        self.max_delay
    }

    pub fn direct_lists(&self) -> u64 {
        self.direct_lists
    }

    pub fn has_data(&self) -> bool {
        self.view_revision > 0
    }

    pub fn watches_store(&self) -> bool {
        self.subscriber.watches_store()
    }

    pub fn has_reverted(&self) -> bool {
        self.has_reverted
    }

    /// Whether the subscriber lacks no change older than a publisher's watch interval.
    pub fn is_up_to_date(&self) -> bool {
        self.delay() <= BOUND_MS / 4 + 100
    }

    /// Age of the oldest change that the subscriber lacks.
    fn delay(&self) -> u64 {
        let first_missing = self.store.lists.get(self.view_revision as usize + 1);
        first_missing.map_or(0, |(changed_at, _)| self.now - changed_at)
    }

    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        if self.now.is_multiple_of(CHANGE_INTERVAL_MS) {
            self.store.change(self.now);
        }
        for machine in 0..self.machines.len() {
            self.step_machine(machine);
        }
        self.deliver_replies();
        self.step_direct_watch();
        for action in self.subscriber.tick(at(self.now)) {
            self.execute(action);
        }
        self.max_delay = self.max_delay.max(self.delay());
    }

    fn step_machine(&mut self, index: usize) {
        let fault = self.machines[index].fault;
        if matches!(fault, Fault::Crashed | Fault::Paused) {
            return;
        }
        if self.members.contains(&index) && fault != Fault::StoreWatchHangs {
            self.step_watch(index);
        }
        let now = self.now;
        let machine = &mut self.machines[index];
        while let Some(request) = machine.requests.pop_front() {
            machine.is_connection_stale &= !request.renew_connection;
            machine.publisher.on_request(at(now), SUBSCRIBER, request);
        }
        for reply in self.machines[index].publisher.due_replies(at(now)) {
            self.send_reply(index, reply);
        }
    }

    /// Runs a publisher's watch, which returns the changes of one watch interval together.
    fn step_watch(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let has_expired = now - machine.last_watch_at > BOUND_MS / 2;
        let update = match machine.revision {
            Some(_) if now - machine.last_watch_at < self.timing.watch_interval.as_millis() => {
                return
            }
            Some(revision) if !has_expired => self.store.changes(now, revision),
            _ => self.store.list(now),
        };
        machine.last_watch_at = now;
        machine.revision = Some(self.store.revision());
        machine
            .publisher
            .apply(&configuration(now, self.store.revision()));
        machine.publisher.apply(&update);
    }

    fn send_reply(&mut self, index: usize, reply: PublisherReply) {
        let members = self.members.iter().map(|member| Member {
            address: address(*member),
            zone: "there".into(),
            ..Member::default()
        });
        let uses_connection = reply.kinds.iter().any(|kind| !kind.objects.is_empty());
        let reply = MirrorReply {
            call: reply.call,
            held: reply.held.0,
            kinds: reply.kinds,
            members: members.collect(),
            members_index: self.members_index,
            leader_address: address(self.leader),
            ..MirrorReply::default()
        };
        let machine = &mut self.machines[index];
        machine.replies_sent += 1;
        let is_dropped = match machine.fault {
            Fault::Partitioned => true,
            Fault::DropsReplies => machine.replies_sent.is_multiple_of(2),
            _ => uses_connection && machine.is_connection_stale,
        };
        let latency = match machine.fault {
            Fault::SlowReplies => SLOW_REPLY_MS,
            _ => STEP_MS,
        };
        if !is_dropped {
            self.replies.push((self.now + latency, index, reply));
        }
    }

    fn deliver_replies(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|(arrives, ..)| *arrives <= now);
        self.replies = later;
        for (_, _, reply) in due {
            let mut actions = Vec::new();
            let updates = self.subscriber.on_reply(at(now), reply, &mut actions);
            for update in updates {
                self.apply(update);
            }
            for action in actions {
                self.execute(action);
            }
        }
    }

    fn execute(&mut self, action: SubscriberAction) {
        match action {
            SubscriberAction::SendRequest { address, request } => {
                let index = index_of(&address);
                self.last_asked = index;
                let machine = &mut self.machines[index];
                let arrives = !matches!(machine.fault, Fault::Crashed | Fault::Partitioned);
                if arrives {
                    machine.requests.push_back(request);
                }
            }
            SubscriberAction::WatchStore(wanted) => {
                self.direct_watch_from = wanted.then_some(self.now + STORE_CALL_MS);
                self.direct_revision = None;
            }
        }
    }

    fn step_direct_watch(&mut self) {
        let is_due = self.direct_watch_from.is_some_and(|from| self.now >= from);
        if !is_due || self.is_store_partitioned {
            return;
        }
        let update = match self.direct_revision {
            None => {
                self.direct_lists += 1;
                self.store.list(self.now)
            }
            Some(revision) if revision < self.store.revision() => {
                self.store.changes(self.now, revision)
            }
            Some(_) => return,
        };
        self.direct_revision = Some(self.store.revision());
        let now = self.now;
        for update in [configuration(now, self.store.revision()), update] {
            if self.subscriber.on_watch_update(&update) {
                self.apply(update);
            }
        }
    }

    /// Applies an update as a gateway does, and checks the result against the store's
    /// contents at that revision.
    fn apply(&mut self, update: StoreUpdate) {
        let revision = match update {
            StoreUpdate::Listed {
                kind: ObjectKind::Engines,
                revision,
                objects,
                ..
            } => {
                self.view = objects.into_iter().map(|(name, _)| name).collect();
                revision
            }
            StoreUpdate::Changed {
                kind: ObjectKind::Engines,
                revision,
                events,
                ..
            } => {
                for event in events {
                    match event.object {
                        Some(_) => self.view.insert(event.name),
                        None => self.view.remove(&event.name),
                    };
                }
                revision
            }
            _ => return,
        };
        self.has_reverted |= revision < self.view_revision;
        self.view_revision = revision;
        assert_eq!(
            self.view, self.store.lists[revision as usize].1,
            "at {} ms, revision {revision}",
            self.now
        );
    }
}

fn address(index: usize) -> String {
    format!("10.0.0.{index}:7700")
}

fn index_of(address: &str) -> usize {
    let digits = address.trim_start_matches("10.0.0.");
    digits.split(':').next().unwrap().parse().unwrap()
}
