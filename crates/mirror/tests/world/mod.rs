//! A store, publishers that follow it and a subscriber, on a virtual clock.

mod machine;
mod store;

pub use machine::Fault;
use machine::{Machine, FAULTS};
use peatgrade_mirror::{MirrorTiming, Subscriber, SubscriberAction};
use peatgrade_ports::{ObjectKind, StoreUpdate};
use peatgrade_schema::replication::{Member, MirrorReply};
use peatgrade_types::{hash_pair, Duration};
use std::collections::BTreeSet;
use store::{at, configuration, Store};

/// Time within which the subscriber must act on a change.
pub const BOUND_MS: u64 = 4_000;
const STEP_MS: u64 = 5;
/// A change of the engine list comes this often.
const CHANGE_EVERY_MS: u64 = 100;
/// An answer of the store to the subscriber itself.
const OWN_CALL_MS: u64 = 30;
/// Delay of an answer of a slow publisher.
const SLOW_MS: u64 = 1_500;
const GROUP: usize = 3;
const SUBSCRIBER: &str = "subscriber";

/// All of it.
pub struct World {
    now: u64,
    seed: u64,
    draws: u64,
    store: Store,
    machines: Vec<Machine>,
    members: Vec<usize>,
    members_index: u64,
    leader: usize,
    subscriber: Subscriber,
    timing: MirrorTiming,
    /// Answers on their way, by arrival.
    answers: Vec<(u64, usize, MirrorReply)>,
    view: BTreeSet<String>,
    view_revision: u64,
    own_watch: Option<u64>,
    own_read: Option<u64>,
    own_lists: u64,
    subscriber_is_cut: bool,
    asked_last: usize,
    longest_delay: u64,
    went_back: bool,
}

impl World {
    pub fn new() -> Self {
        Self::with_seed(1)
    }

    pub fn with_seed(seed: u64) -> Self {
        let timing = MirrorTiming::for_staleness_bound(Duration::from_millis(BOUND_MS));
        let start = 1_000;
        let mut world = Self {
            now: start,
            seed,
            draws: 0,
            store: Store {
                lists: vec![(0, BTreeSet::new()), (start, BTreeSet::new())],
            },
            machines: (0..5).map(|_| Machine::new()).collect(),
            members: (0..GROUP).collect(),
            members_index: 1,
            leader: GROUP - 1,
            subscriber: Subscriber::new(at(start), SUBSCRIBER, "here", timing, 1),
            timing,
            answers: Vec::new(),
            view: BTreeSet::new(),
            view_revision: 0,
            own_watch: None,
            own_read: None,
            own_lists: 0,
            subscriber_is_cut: false,
            asked_last: 0,
            longest_delay: 0,
            went_back: false,
        };
        let machines = world.member_addresses();
        let leader = address(world.leader);
        world.subscriber.set_publishers(machines, &leader);
        world
    }

    fn member_addresses(&self) -> Vec<(String, String)> {
        let members = self.members.iter();
        members
            .map(|index| ("there".to_string(), address(*index)))
            .collect()
    }

    pub fn set(&mut self, machine: usize, fault: Fault) {
        let known = &mut self.machines[machine];
        if fault == Fault::Dead {
            *known = Machine::new();
        }
        if fault == Fault::ConnectionsSilent {
            known.connection_is_dead = true;
        }
        known.fault = fault;
    }

    pub fn set_all(&mut self, fault: Fault) {
        for machine in 0..self.machines.len() {
            self.set(machine, fault);
        }
    }

    pub fn random_fault(&mut self) {
        let machine = self.draw(GROUP as u64) as usize;
        let fault = FAULTS[self.draw(FAULTS.len() as u64) as usize];
        self.set(machine, fault);
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        hash_pair(self.seed, self.draws) % below
    }

    pub fn cut_subscriber_from_store(&mut self, is_cut: bool) {
        self.subscriber_is_cut = is_cut;
        self.own_read = None;
    }

    pub fn lead(&mut self, machine: usize) {
        self.leader = machine;
        self.members_index += 1;
    }

    pub fn replace_members(&mut self, members: &[usize]) {
        self.members = members.to_vec();
        self.members_index += 1;
    }

    pub fn asked_last(&self) -> usize {
        self.asked_last
    }

    pub fn longest_delay(&self) -> u64 {
        self.longest_delay
    }

    pub fn own_lists(&self) -> u64 {
        self.own_lists
    }

    pub fn knows_something(&self) -> bool {
        self.view_revision > 0
    }

    pub fn watches_store(&self) -> bool {
        self.subscriber.watches_store()
    }

    pub fn went_back(&self) -> bool {
        self.went_back
    }

    /// Whether the subscriber knows all that is older than the publishers' watches.
    pub fn has_newest(&self) -> bool {
        self.delay() <= BOUND_MS / 4 + 100
    }

    /// Age of the oldest change that the subscriber lacks.
    fn delay(&self) -> u64 {
        let lacking = self.store.lists.get(self.view_revision as usize + 1);
        lacking.map_or(0, |(came, _)| self.now - came)
    }

    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        if self.now.is_multiple_of(CHANGE_EVERY_MS) {
            self.store.change(self.now);
        }
        for machine in 0..self.machines.len() {
            self.step_machine(machine);
        }
        self.deliver_answers();
        self.step_own_watch();
        for action in self.subscriber.tick(at(self.now)) {
            self.carry_out(action);
        }
        self.longest_delay = self.longest_delay.max(self.delay());
    }

    fn step_machine(&mut self, index: usize) {
        let fault = self.machines[index].fault;
        if matches!(fault, Fault::Dead | Fault::Frozen) {
            return;
        }
        if self.members.contains(&index) && fault != Fault::StoreSilent {
            self.watch_for(index);
        }
        let now = self.now;
        let machine = &mut self.machines[index];
        while let Some(request) = machine.inbox.pop_front() {
            machine.connection_is_dead &= !request.renew_connection;
            machine.publisher.on_request(at(now), SUBSCRIBER, request);
        }
        for published in self.machines[index].publisher.due_replies(at(now)) {
            self.send_answer(index, published);
        }
    }

    /// A publisher's watch: changes of a quarter of the bound together.
    fn watch_for(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let lost_sight = now - machine.watched_at > BOUND_MS / 2;
        let update = match machine.read {
            Some(_) if now - machine.watched_at < self.timing.watch_interval.as_millis() => return,
            Some(read) if !lost_sight => self.store.changes(now, read),
            _ => self.store.list(now),
        };
        machine.watched_at = now;
        machine.read = Some(self.store.revision());
        machine
            .publisher
            .apply(&configuration(now, self.store.revision()));
        machine.publisher.apply(&update);
    }

    fn send_answer(&mut self, index: usize, published: peatgrade_mirror::PublisherReply) {
        let members = self.members.iter().map(|member| Member {
            address: address(*member),
            zone: "there".into(),
            ..Member::default()
        });
        let by_connection = published.kinds.iter().any(|kind| !kind.objects.is_empty());
        let reply = MirrorReply {
            call: published.call,
            held: published.held.0,
            kinds: published.kinds,
            members: members.collect(),
            members_index: self.members_index,
            leader_address: address(self.leader),
            ..MirrorReply::default()
        };
        let machine = &mut self.machines[index];
        machine.answers += 1;
        let is_lost = match machine.fault {
            Fault::CutFromSubscriber => true,
            Fault::LosesAnswers => machine.answers.is_multiple_of(2),
            _ => by_connection && machine.connection_is_dead,
        };
        let takes = match machine.fault {
            Fault::Slow => SLOW_MS,
            _ => STEP_MS,
        };
        if !is_lost {
            self.answers.push((self.now + takes, index, reply));
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|(arrives, ..)| *arrives <= now);
        self.answers = later;
        for (_, _, reply) in due {
            let mut actions = Vec::new();
            let updates = self.subscriber.on_reply(at(now), reply, &mut actions);
            for update in updates {
                self.take(update);
            }
            for action in actions {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: SubscriberAction) {
        match action {
            SubscriberAction::SendRequest { address, request } => {
                let index = index_of(&address);
                self.asked_last = index;
                let machine = &mut self.machines[index];
                let arrives = !matches!(machine.fault, Fault::Dead | Fault::CutFromSubscriber);
                if arrives {
                    machine.inbox.push_back(request);
                }
            }
            SubscriberAction::WatchStore(wanted) => {
                self.own_watch = wanted.then_some(self.now + OWN_CALL_MS);
                self.own_read = None;
            }
        }
    }

    fn step_own_watch(&mut self) {
        let is_due = self.own_watch.is_some_and(|from| self.now >= from);
        if !is_due || self.subscriber_is_cut {
            return;
        }
        let update = match self.own_read {
            None => {
                self.own_lists += 1;
                self.store.list(self.now)
            }
            Some(read) if read < self.store.revision() => self.store.changes(self.now, read),
            Some(_) => return,
        };
        self.own_read = Some(self.store.revision());
        let now = self.now;
        for update in [configuration(now, self.store.revision()), update] {
            if self.subscriber.on_watch_update(&update) {
                self.take(update);
            }
        }
    }

    /// Takes an update as a gateway does; what it leads to must be what the store had.
    fn take(&mut self, update: StoreUpdate) {
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
        self.went_back |= revision < self.view_revision;
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
