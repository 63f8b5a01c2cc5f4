//! What the reporter does and leaves undone, step by step.

use peatgrade_metering::{ReporterSettings, TermHistory, UsageAction, UsageLedger, UsageReporter};
use peatgrade_ports::UsageReportResponse;
use peatgrade_schema::replication::{DecideUsage, UsageBatch, UsageStart};
use peatgrade_types::{Duration, Time};

/// Time of day at the steady time 0, a whole number of windows.
const DAY_ORIGIN: u64 = 1_700_000_000_000_000;
const WINDOW_S: u64 = 5;
const LATE_S: u64 = 10;
const LEASE: Duration = Duration::from_millis(3_400);
const ME: &str = "storage-0";
const FENCE: u64 = 7;

fn s(seconds: f64) -> Time {
    Time((seconds * 1e6) as u64)
}

/// The window that begins at a steady time in whole seconds.
fn window_at(seconds: u64) -> u64 {
    (DAY_ORIGIN / 1_000_000 + seconds) / WINDOW_S
}

struct Scene {
    reporter: UsageReporter,
    ledger: UsageLedger,
    terms: TermHistory,
    index: u64,
}

impl Scene {
    /// A machine that leads from `began` on.
    fn new(began: Time) -> Self {
        let settings = ReporterSettings {
            window: Duration::from_secs(WINDOW_S),
            report_deadline: Duration::from_secs(LATE_S),
            lease: LEASE,
            holder: ME.into(),
            fence: FENCE,
        };
        Self {
            reporter: UsageReporter::new(began, settings),
            ledger: UsageLedger::default(),
            terms: TermHistory::default(),
            index: 0,
        }
    }

    fn poll(&mut self, now: Time) -> Vec<UsageAction> {
        let day = DAY_ORIGIN + now.0;
        self.reporter.poll(now, day, &self.ledger, &self.terms)
    }

    /// Polls, and lets the log take what is proposed.
    fn poll_and_commit(&mut self, now: Time) -> Vec<UsageAction> {
        let actions = self.poll(now);
        for action in &actions {
            self.commit(now, action);
        }
        actions
    }

    fn commit(&mut self, now: Time, action: &UsageAction) {
        self.index += 1;
        match action {
            UsageAction::ProposeCounts(counted) => {
                let batches = counted.batches.iter();
                let keys: Vec<_> = batches.map(|b| (b.meter, b.sequence)).collect();
                self.ledger.apply_batches(now, self.index, counted.clone());
                self.reporter.on_counted(&keys);
            }
            UsageAction::ProposeDecision(decision) => {
                self.ledger
                    .apply_decision(self.index, FENCE, decision.clone());
            }
            UsageAction::ProposeReported(window) => self.ledger.mark_reported(*window),
            UsageAction::Acknowledge { .. } | UsageAction::Report(_) => {}
        }
    }

    fn tell(&mut self, now: Time, sequence: u64, began: Time) {
        let batch = UsageBatch {
            meter: 3,
            sequence,
            sent_at: now.0,
            time_of_day: DAY_ORIGIN + now.0,
            starts: vec![UsageStart {
                at: began.0,
                tenant: "leeds".into(),
            }],
        };
        self.reporter
            .on_batch(now, "gateway-0", batch, &self.ledger);
    }
}

fn decisions(actions: &[UsageAction]) -> Vec<(u64, u64)> {
    let decisions = actions.iter().filter_map(|action| match action {
        UsageAction::ProposeDecision(decision) => Some(decision),
        _ => None,
    });
    let requests = |d: &DecideUsage| d.counts.iter().map(|count| count.requests).sum();
    decisions.map(|d| (d.window, requests(d))).collect()
}

fn reports(actions: &[UsageAction]) -> usize {
    let reports = actions.iter();
    reports
        .filter(|action| matches!(action, UsageAction::Report(_)))
        .count()
}

/// The first look puts counts into the log and must not decide their window beside that.
#[test]
fn a_window_waits_for_counts_that_came_in_time() {
    let mut scene = Scene::new(s(7.0));
    scene.poll(s(7.0));
    scene.tell(s(9.0), 1, s(3.0));
    // The window from 0 to 5 s is to be decided at 10 s, and the lead is young until 10.5 s.
    let first = scene.poll(s(10.6));
    assert_eq!(
        decisions(&first),
        [],
        "its counts are on their way into the log"
    );
    assert!(matches!(&first[0], UsageAction::ProposeCounts(_)));
    scene.commit(s(10.6), &first[0]);
    let next = scene.poll(s(10.7));
    assert_eq!(decisions(&next), [(window_at(0), 1)]);
}

/// A log that takes nothing for long must not keep the report from its time.
#[test]
fn a_window_is_decided_anyway_before_its_report_is_late() {
    let mut scene = Scene::new(s(1.0));
    scene.poll(s(1.0));
    scene.tell(s(4.0), 1, s(3.0));
    assert_eq!(decisions(&scene.poll(s(12.9))), []);
    let (window, _) = decisions(&scene.poll(s(13.1)))[0];
    assert_eq!(window, window_at(0));
}

#[test]
fn a_token_that_was_refused_is_not_used_again() {
    let mut scene = Scene::new(s(0.0));
    scene.poll(s(0.0));
    scene.poll_and_commit(s(10.1));
    let sent = scene.poll_and_commit(s(10.2));
    assert_eq!(reports(&sent), 1);
    let window = window_at(0);
    let answered = scene
        .reporter
        .on_response(s(10.3), window, UsageReportResponse::Fenced);
    assert_eq!(answered, None);
    for tenth in 104..400 {
        let actions = scene.poll_and_commit(s(f64::from(tenth) / 10.0));
        assert_eq!(reports(&actions), 0);
    }
}

/// What another machine has decided is taken over, and reported only once that is in the
/// log and the other's lease is over.
#[test]
fn a_new_holder_waits_for_the_lease_of_the_last() {
    let mut scene = Scene::new(s(11.0));
    let decision = DecideUsage {
        window: window_at(0),
        counts: Vec::new(),
        holder: "storage-1".into(),
    };
    scene.terms.record(s(1.0), 5);
    scene.terms.record(s(10.5), 6);
    scene.terms.record(s(11.0), FENCE);
    scene.ledger.apply_decision(1, 5, decision);
    let mut first = None;
    for tenth in 110..200 {
        let now = s(f64::from(tenth) / 10.0);
        let actions = scene.poll_and_commit(now);
        if reports(&actions) > 0 && first.is_none() {
            let holder = scene.ledger.last_holder().unwrap();
            assert_eq!(holder.name, ME);
            first = Some(tenth);
        }
    }
    // The other's term ended at 10.5 s: its lease is over at 13.9 s.
    assert!(matches!(first, Some(139..=141)), "{first:?}");
}

/// The log takes nothing: memory is bounded, and what was not taken is told again.
#[test]
fn batches_that_wait_are_bounded_by_their_starts() {
    let mut scene = Scene::new(s(0.0));
    let start = |number: u64| UsageStart {
        at: s(1.0).0 + number,
        tenant: "leeds".into(),
    };
    for sequence in 1..=200 {
        let batch = UsageBatch {
            meter: 3,
            sequence,
            sent_at: s(1.0).0,
            time_of_day: DAY_ORIGIN + s(1.0).0,
            starts: (0..512).map(start).collect(),
        };
        let ledger = &scene.ledger;
        scene.reporter.on_batch(s(1.0), "gateway-0", batch, ledger);
    }
    let actions = scene.poll_and_commit(s(3.0));
    let UsageAction::ProposeCounts(counted) = &actions[0] else {
        panic!("{actions:?}");
    };
    assert_eq!(counted.batches.len(), 65_536 / 512);
    scene.tell(s(3.1), 201, s(1.0));
    let next = scene.poll(s(3.4));
    assert!(matches!(&next[0], UsageAction::ProposeCounts(counted) if counted.batches.len() == 1));
}

/// Nobody led for 40 s. All windows since are decided, each with what gateways have kept,
/// once they had the time to tell it.
#[test]
fn windows_without_a_leader_are_made_up_for() {
    let mut scene = Scene::new(s(50.0));
    let decision = DecideUsage {
        window: window_at(0),
        counts: Vec::new(),
        holder: ME.into(),
    };
    scene.ledger.apply_decision(1, 5, decision);
    scene.poll(s(50.0));
    let mut decided = Vec::new();
    for step in 0..200_u64 {
        let now = s(50.0) + Duration::from_millis(step * 50);
        // A start of each window, told one after the other.
        if step % 10 == 0 && step < 80 {
            scene.tell(now, step / 10 + 1, s(7.0 + step as f64 / 2.0));
        }
        decided.extend(decisions(&scene.poll_and_commit(now)));
    }
    let expected: Vec<(u64, u64)> = (1..=8).map(|n| (window_at(5 * n), 1)).collect();
    assert_eq!(decided[..8], expected);
}
