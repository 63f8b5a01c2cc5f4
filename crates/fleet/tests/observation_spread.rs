//! Spread of observations between a leader, a follower and gateways that poll either of them.
//! The clocks of all nodes differ.

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

/// A node that exchanges observations with others.
struct Node {
    name: &'static str,
    /// Offset of its clock in microseconds.
    clock_offset_us: u64,
    directory: EngineDirectory,
    filter: ReportFilter,
    outbox: Outbox,
    feed: ObservationFeed,
    cursor: FeedCursor,
}

impl Node {
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
            clock_offset_us: ahead_seconds * 1_000_000,
            directory,
            filter: ReportFilter::default(),
            outbox: Outbox::default(),
            feed: ObservationFeed::new(ahead_seconds << 31),
            cursor: FeedCursor::default(),
        }
    }

    fn local_time(&self, now: Time) -> Time {
        Time(now.0 + self.clock_offset_us)
    }

    fn record_failure(&mut self, now: Time, engine: &str) {
        let at = self.local_time(now);
        let state = self.directory.get_mut(&Instance(engine.into()));
        state.expect("listed").stats.record_failure(at);
    }

    /// Returns the messages that it sends; a member also publishes them in its feed.
    fn send(&mut self, now: Time) -> Vec<EngineObservation> {
        let now = self.local_time(now);
        let reports = self
            .directory
            .observations_to_report(now, self.name, &mut self.filter);
        for (urgency, observation) in reports {
            self.feed.put(urgency, observation.clone(), "");
            self.outbox.put(urgency, observation);
        }
        self.outbox.take(now, MAX_OBSERVATION_BYTES)
    }

    /// Receives messages; those of a subscriber are relayed to other members.
    fn receive(&mut self, now: Time, messages: &[EngineObservation], subscriber: Option<&str>) {
        let now = self.local_time(now);
        let observations = messages.iter().filter_map(|m| from_message(now, m));
        let outcome = self
            .directory
            .apply_observations(now, self.name, observations);
        for (urgency, observation) in outcome.accepted {
            let received_from = subscriber.unwrap_or("");
            self.feed.put(urgency, observation.clone(), received_from);
            if subscriber.is_some() {
                self.outbox.put(urgency, observation);
            }
        }
    }

    /// Sends observations to a publisher and receives its updates.
    fn poll_publisher(&mut self, now: Time, publisher: &mut Node) {
        let request = self.send(now);
        publisher.receive(now, &request, Some(self.name));
        let at = publisher.local_time(now);
        let (updates, cursor) = publisher.feed.updates_since(
            at,
            self.cursor,
            self.name,
            &|_| true,
            MAX_OBSERVATION_BYTES,
        );
        self.cursor = cursor;
        self.receive(now, &updates, None);
    }

    fn health(&self, now: Time, engine: &str) -> PeerHealth {
        let state = self.directory.get(&Instance(engine.into()));
        state
            .expect("listed")
            .peer_summary(self.local_time(now))
            .health
    }

    fn age_ms(&self, now: Time, engine: &str) -> Option<u64> {
        let state = self.directory.get(&Instance(engine.into()));
        let summary = state.expect("listed").peer_summary(self.local_time(now));
        summary.failure_age.map(|age| age.as_millis())
    }
}

#[test]
fn failure_seen_by_leader_reaches_gateways_of_a_follower() {
    let (mut leader, mut follower) = (Node::new("leader", 500), Node::new("follower", 7));
    let mut gateway = Node::new("gateway-1", 90);
    leader.record_failure(NOW, "e3");
    let messages = leader.send(after(100));
    follower.receive(after(100), &messages, None);
    gateway.poll_publisher(after(350), &mut follower);
    assert_eq!(gateway.health(after(350), "e3"), PeerHealth::Doubtful);
    assert_eq!(
        gateway.age_ms(after(350), "e3"),
        Some(350),
        "each hop adds to the age"
    );
    // A second failing source confirms the failure.
    gateway.record_failure(after(400), "e3");
    assert_eq!(gateway.health(after(400), "e3"), PeerHealth::Failing);
}

#[test]
fn failure_seen_by_gateway_reaches_other_gateways_once() {
    let (mut leader, mut follower) = (Node::new("leader", 500), Node::new("follower", 7));
    let (mut first, mut second) = (Node::new("gateway-1", 90), Node::new("gateway-2", 3));
    first.record_failure(NOW, "e1");
    first.poll_publisher(after(50), &mut follower);
    let relayed = follower.send(after(100));
    assert_eq!(relayed.len(), 1);
    assert_eq!(relayed[0].source, "gateway-1");
    leader.receive(after(100), &relayed, None);
    second.poll_publisher(after(200), &mut leader);
    assert_eq!(second.health(after(200), "e1"), PeerHealth::Doubtful);
    // It is not sent back to the follower or to the gateway itself.
    assert!(leader.send(after(300)).is_empty());
    first.poll_publisher(after(300), &mut follower);
    assert_eq!(first.health(after(300), "e1"), PeerHealth::Sound);
}

#[test]
fn gateway_receives_failures_after_change_of_publisher() {
    let (mut leader, mut follower) = (Node::new("leader", 500), Node::new("follower", 7));
    let mut gateway = Node::new("gateway-1", 90);
    gateway.poll_publisher(NOW, &mut follower);
    leader.record_failure(after(100), "e2");
    leader.send(after(150));
    // The follower is lost before it could relay the report.
    drop(follower);
    gateway.poll_publisher(after(800), &mut leader);
    assert_eq!(gateway.health(after(800), "e2"), PeerHealth::Doubtful);
}

#[test]
fn reports_of_lost_leader_expire() {
    let (mut leader, mut follower) = (Node::new("leader", 500), Node::new("follower", 7));
    leader.record_failure(NOW, "e2");
    let messages = leader.send(after(10));
    follower.receive(after(10), &messages, None);
    drop(leader);
    assert_eq!(follower.health(after(4_000), "e2"), PeerHealth::Doubtful);
    assert_eq!(follower.health(after(5_100), "e2"), PeerHealth::Sound);
    // A gateway that polls the new leader only now does not receive the expired report.
    let mut gateway = Node::new("gateway-1", 90);
    gateway.poll_publisher(after(5_100), &mut follower);
    assert_eq!(gateway.health(after(5_100), "e2"), PeerHealth::Sound);
}

#[test]
fn failures_of_half_of_the_engines_are_sent_once_to_each_gateway() {
    let mut leader = Node::new("leader", 500);
    for index in 0..4 {
        leader.record_failure(NOW, &format!("e{index}"));
    }
    // The other engines answer, so the leader does not suspect its own link.
    for index in 4..8 {
        let at = leader.local_time(NOW);
        let state = leader.directory.get_mut(&Instance(format!("e{index}")));
        let latency = Duration::from_millis(20);
        state.expect("listed").stats.record_response(at, latency);
    }
    leader.send(after(100));
    let at = leader.local_time(after(200));
    for _ in 0..60 {
        let cursor = FeedCursor::default();
        let (updates, reached) =
            leader
                .feed
                .updates_since(at, cursor, "gateway", &|_| true, MAX_OBSERVATION_BYTES);
        assert_eq!(
            updates.iter().filter(|update| update.failures > 0).count(),
            4
        );
        let (again, _) =
            leader
                .feed
                .updates_since(at, reached, "gateway", &|_| true, MAX_OBSERVATION_BYTES);
        assert!(again.is_empty(), "nothing is sent twice");
    }
}
