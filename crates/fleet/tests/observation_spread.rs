//! Observations on their way through a small group of fakes: a leader, a follower, and
//! gateways that ask either. One failure each.

use peatgrade_fleet::EngineDirectory;
use peatgrade_observations::{
    from_message, FeedCursor, ObservationFeed, Outbox, PeerHealth, ReportFilter,
    MAX_OBSERVATION_BYTES,
};
use peatgrade_ports::{EngineRecord, Instance, StartedAt};
use peatgrade_schema::replication::EngineObservation;
use peatgrade_types::{Duration, Time};

const NOW: Time = Time(100_000_000);

fn after(millis: u64) -> Time {
    NOW + Duration::from_millis(millis)
}

/// A machine with what it knows, and what it tells.
struct Machine {
    name: &'static str,
    /// How far its clock is ahead of the others'.
    ahead: u64,
    directory: EngineDirectory,
    teller: ReportFilter,
    outbox: Outbox,
    board: ObservationFeed,
    marks: FeedCursor,
}

impl Machine {
    fn new(name: &'static str, ahead_seconds: u64) -> Self {
        let mut directory = EngineDirectory::default();
        let records = (0..8).map(|index| EngineRecord {
            instance: Instance(format!("e{index}")),
            started: Some(StartedAt(1)),
            slots: 6,
            ..EngineRecord::default()
        });
        directory.replace(NOW, records.collect());
        Self {
            name,
            ahead: ahead_seconds * 1_000_000,
            directory,
            teller: ReportFilter::default(),
            outbox: Outbox::default(),
            board: ObservationFeed::new(ahead_seconds << 31),
            marks: FeedCursor::default(),
        }
    }

    /// Its own clock.
    fn clock(&self, now: Time) -> Time {
        Time(now.0 + self.ahead)
    }

    fn fails(&mut self, now: Time, engine: &str) {
        let at = self.clock(now);
        let state = self.directory.get_mut(&Instance(engine.into()));
        state.expect("listed").stats.record_failure(at);
    }

    /// What it sends now; a member also shows it on its board.
    fn tell(&mut self, now: Time) -> Vec<EngineObservation> {
        let now = self.clock(now);
        let told = self
            .directory
            .observations_to_report(now, self.name, &mut self.teller);
        for (urgency, observation) in told {
            self.board.put(urgency, observation.clone(), "");
            self.outbox.put(urgency, observation);
        }
        self.outbox.take(now, MAX_OBSERVATION_BYTES)
    }

    /// Takes what a machine sent; what a subscriber sent goes on to other members.
    fn take(&mut self, now: Time, messages: &[EngineObservation], subscriber: Option<&str>) {
        let now = self.clock(now);
        let read = messages.iter().filter_map(|m| from_message(now, m));
        let taken = self.directory.apply_observations(now, self.name, read);
        for (urgency, observation) in taken.accepted {
            let told_by = subscriber.unwrap_or("");
            self.board.put(urgency, observation.clone(), told_by);
            if subscriber.is_some() {
                self.outbox.put(urgency, observation);
            }
        }
    }

    /// Asks a publisher.
    fn ask(&mut self, now: Time, publisher: &mut Machine) {
        let request = self.tell(now);
        publisher.take(now, &request, Some(self.name));
        let at = publisher.clock(now);
        let (told, marks) = publisher.board.updates_since(
            at,
            self.marks,
            self.name,
            &|_| true,
            MAX_OBSERVATION_BYTES,
        );
        self.marks = marks;
        self.take(now, &told, None);
    }

    fn standing(&self, now: Time, engine: &str) -> PeerHealth {
        let state = self.directory.get(&Instance(engine.into()));
        state.expect("listed").peer_summary(self.clock(now)).health
    }

    fn age_ms(&self, now: Time, engine: &str) -> Option<u64> {
        let state = self.directory.get(&Instance(engine.into()));
        let belief = state.expect("listed").peer_summary(self.clock(now));
        belief.failure_age.map(|age| age.as_millis())
    }
}

#[test]
fn what_the_leader_sees_reaches_gateways_of_a_follower_within_half_a_second() {
    let (mut leader, mut follower) = (Machine::new("leader", 500), Machine::new("follower", 7));
    let mut gateway = Machine::new("gateway-1", 90);
    leader.fails(NOW, "e3");
    let told = leader.tell(after(100));
    follower.take(after(100), &told, None);
    gateway.ask(after(350), &mut follower);
    assert_eq!(gateway.standing(after(350), "e3"), PeerHealth::Doubtful);
    assert_eq!(gateway.age_ms(after(350), "e3"), Some(350), "each hop adds");
    // A second witness makes it sure.
    gateway.fails(after(400), "e3");
    assert_eq!(gateway.standing(after(400), "e3"), PeerHealth::Failing);
}

#[test]
fn what_one_gateway_sees_reaches_those_of_other_members_once() {
    let (mut leader, mut follower) = (Machine::new("leader", 500), Machine::new("follower", 7));
    let (mut one, mut other) = (Machine::new("gateway-1", 90), Machine::new("gateway-2", 3));
    one.fails(NOW, "e1");
    one.ask(after(50), &mut follower);
    let passed_on = follower.tell(after(100));
    assert_eq!(passed_on.len(), 1);
    assert_eq!(passed_on[0].source, "gateway-1");
    leader.take(after(100), &passed_on, None);
    other.ask(after(200), &mut leader);
    assert_eq!(other.standing(after(200), "e1"), PeerHealth::Doubtful);
    // It does not come back to the follower, nor to the gateway itself.
    assert!(leader.tell(after(300)).is_empty());
    one.ask(after(300), &mut follower);
    assert_eq!(one.standing(after(300), "e1"), PeerHealth::Sound);
}

#[test]
fn a_gateway_whose_publisher_is_lost_is_told_by_the_next_one() {
    let (mut leader, mut follower) = (Machine::new("leader", 500), Machine::new("follower", 7));
    let mut gateway = Machine::new("gateway-1", 90);
    gateway.ask(NOW, &mut follower);
    leader.fails(after(100), "e2");
    leader.tell(after(150));
    // The follower is gone before it could pass it on.
    drop(follower);
    gateway.ask(after(800), &mut leader);
    assert_eq!(gateway.standing(after(800), "e2"), PeerHealth::Doubtful);
}

#[test]
fn what_a_leader_told_fades_after_it_was_lost() {
    let (mut leader, mut follower) = (Machine::new("leader", 500), Machine::new("follower", 7));
    leader.fails(NOW, "e2");
    let told = leader.tell(after(10));
    follower.take(after(10), &told, None);
    drop(leader);
    assert_eq!(follower.standing(after(4_000), "e2"), PeerHealth::Doubtful);
    assert_eq!(follower.standing(after(5_100), "e2"), PeerHealth::Sound);
    // A gateway that asks the new leader only then is not told of it as new.
    let mut gateway = Machine::new("gateway-1", 90);
    gateway.ask(after(5_100), &mut follower);
    assert_eq!(gateway.standing(after(5_100), "e2"), PeerHealth::Sound);
}

#[test]
fn sixty_gateways_hear_of_half_of_the_engines_in_bounded_bytes() {
    let mut leader = Machine::new("leader", 500);
    for index in 0..4 {
        leader.fails(NOW, &format!("e{index}"));
    }
    // It hears the others, so it does not suspect its own link.
    for index in 4..8 {
        let at = leader.clock(NOW);
        let state = leader.directory.get_mut(&Instance(format!("e{index}")));
        let took = Duration::from_millis(20);
        state.expect("listed").stats.record_response(at, took);
    }
    leader.tell(after(100));
    let at = leader.clock(after(200));
    for _ in 0..60 {
        let marks = FeedCursor::default();
        let (told, reached) =
            leader
                .board
                .updates_since(at, marks, "gateway", &|_| true, MAX_OBSERVATION_BYTES);
        assert_eq!(told.iter().filter(|told| told.failures > 0).count(), 4);
        let (again, _) =
            leader
                .board
                .updates_since(at, reached, "gateway", &|_| true, MAX_OBSERVATION_BYTES);
        assert!(again.is_empty(), "nothing is told twice");
    }
}
