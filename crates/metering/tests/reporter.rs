//! Step-by-step tests of the usage reporter.

use peatgrade_metering::{ReporterSettings, TermHistory, UsageAction, UsageLedger, UsageReporter};
use peatgrade_ports::UsageReportResponse;
use peatgrade_schema::replication::{DecideUsage, UsageBatch, UsageStart};
use peatgrade_types::{Duration, Time};

/// Time of day in microseconds at monotonic time 0; a multiple of the window length.
const TIME_OF_DAY_ORIGIN: u64 = 1_700_000_000_000_000;
const WINDOW_S: u64 = 5;
const REPORT_DEADLINE_S: u64 = 10;
const LEASE: Duration = Duration::from_millis(3_400);
const THIS_MACHINE: &str = "storage-0";
const FENCE: u64 = 7;

fn at_seconds(seconds: f64) -> Time {
    Time((seconds * 1e6) as u64)
}

/// Number of the window that starts at a monotonic time in whole seconds.
fn window_at(seconds: u64) -> u64 {
    (TIME_OF_DAY_ORIGIN / 1_000_000 + seconds) / WINDOW_S
}

struct Harness {
    reporter: UsageReporter,
    ledger: UsageLedger,
    terms: TermHistory,
    index: u64,
}

impl Harness {
    /// Creates a machine that becomes leader at `leader_since`.
    fn new(leader_since: Time) -> Self {
        let settings = ReporterSettings {
            window: Duration::from_secs(WINDOW_S),
            report_deadline: Duration::from_secs(REPORT_DEADLINE_S),
            lease: LEASE,
            holder: THIS_MACHINE.into(),
            fence: FENCE,
        };
        Self {
            reporter: UsageReporter::new(leader_since, settings),
            ledger: UsageLedger::default(),
            terms: TermHistory::default(),
            index: 0,
        }
    }

    fn poll(&mut self, now: Time) -> Vec<UsageAction> {
        let time_of_day = TIME_OF_DAY_ORIGIN + now.0;
        self.reporter
            .poll(now, time_of_day, &self.ledger, &self.terms)
    }

    /// Polls and commits all proposals.
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

    fn receive_batch(&mut self, now: Time, sequence: u64, started: Time) {
        let batch = UsageBatch {
            meter: 3,
            sequence,
            sent_at: now.0,
            time_of_day: TIME_OF_DAY_ORIGIN + now.0,
            starts: vec![UsageStart {
                at: started.0,
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

fn report_count(actions: &[UsageAction]) -> usize {
    let reports = actions.iter();
    reports
        .filter(|action| matches!(action, UsageAction::Report(_)))
        .count()
}

/// Guards against deciding a window in the same poll that proposes its counts.
#[test]
fn a_window_is_not_decided_before_counts_received_in_time() {
    let mut harness = Harness::new(at_seconds(7.0));
    harness.poll(at_seconds(7.0));
    harness.receive_batch(at_seconds(9.0), 1, at_seconds(3.0));
    // The window from 0 to 5 s is due at 10 s, but the leader decides nothing before 10.5 s.
    let first = harness.poll(at_seconds(10.6));
    assert_eq!(decisions(&first), [], "its counts are not committed");
    assert!(matches!(&first[0], UsageAction::ProposeCounts(_)));
    harness.commit(at_seconds(10.6), &first[0]);
    let next = harness.poll(at_seconds(10.7));
    assert_eq!(decisions(&next), [(window_at(0), 1)]);
}

/// A stalled log must not delay the report past its deadline.
#[test]
fn a_window_is_decided_before_its_deadline_when_the_log_stalls() {
    let mut harness = Harness::new(at_seconds(1.0));
    harness.poll(at_seconds(1.0));
    harness.receive_batch(at_seconds(4.0), 1, at_seconds(3.0));
    assert_eq!(decisions(&harness.poll(at_seconds(12.9))), []);
    let (window, _) = decisions(&harness.poll(at_seconds(13.1)))[0];
    assert_eq!(window, window_at(0));
}

#[test]
fn a_fenced_token_is_not_used_again() {
    let mut harness = Harness::new(at_seconds(0.0));
    harness.poll(at_seconds(0.0));
    harness.poll_and_commit(at_seconds(10.1));
    let sent = harness.poll_and_commit(at_seconds(10.2));
    assert_eq!(report_count(&sent), 1);
    let window = window_at(0);
    let action =
        harness
            .reporter
            .on_response(at_seconds(10.3), window, UsageReportResponse::Fenced);
    assert_eq!(action, None);
    for tenth in 104..400 {
        let actions = harness.poll_and_commit(at_seconds(f64::from(tenth) / 10.0));
        assert_eq!(report_count(&actions), 0);
    }
}

/// A decision of another machine is reported only after the takeover is committed and the
/// other machine's lease has expired.
#[test]
fn a_new_reporter_waits_for_the_lease_of_the_previous_one() {
    let mut harness = Harness::new(at_seconds(11.0));
    let decision = DecideUsage {
        window: window_at(0),
        counts: Vec::new(),
        holder: "storage-1".into(),
    };
    harness.terms.record(at_seconds(1.0), 5);
    harness.terms.record(at_seconds(10.5), 6);
    harness.terms.record(at_seconds(11.0), FENCE);
    harness.ledger.apply_decision(1, 5, decision);
    let mut first_report = None;
    for tenth in 110..200 {
        let now = at_seconds(f64::from(tenth) / 10.0);
        let actions = harness.poll_and_commit(now);
        if report_count(&actions) > 0 && first_report.is_none() {
            let holder = harness.ledger.last_holder().unwrap();
            assert_eq!(holder.name, THIS_MACHINE);
            first_report = Some(tenth);
        }
    }
    // The term of the other machine ended at 10.5 s and its lease expires at 13.9 s.
    assert!(matches!(first_report, Some(139..=141)), "{first_report:?}");
}

/// Memory must stay bounded while nothing is committed; gateways resend ignored batches.
#[test]
fn received_batches_are_bounded_by_their_starts() {
    let mut harness = Harness::new(at_seconds(0.0));
    let start = |number: u64| UsageStart {
        at: at_seconds(1.0).0 + number,
        tenant: "leeds".into(),
    };
    for sequence in 1..=200 {
        let batch = UsageBatch {
            meter: 3,
            sequence,
            sent_at: at_seconds(1.0).0,
            time_of_day: TIME_OF_DAY_ORIGIN + at_seconds(1.0).0,
            starts: (0..512).map(start).collect(),
        };
        let ledger = &harness.ledger;
        harness
            .reporter
            .on_batch(at_seconds(1.0), "gateway-0", batch, ledger);
    }
    let actions = harness.poll_and_commit(at_seconds(3.0));
    let UsageAction::ProposeCounts(counted) = &actions[0] else {
        panic!("{actions:?}");
    };
    assert_eq!(counted.batches.len(), 65_536 / 512);
    harness.receive_batch(at_seconds(3.1), 201, at_seconds(1.0));
    let next = harness.poll(at_seconds(3.4));
    assert!(matches!(&next[0], UsageAction::ProposeCounts(counted) if counted.batches.len() == 1));
}

/// After a period without a leader every missed window must be decided, with the starts that
/// gateways have queued.
#[test]
fn windows_missed_without_a_leader_are_caught_up() {
    let mut harness = Harness::new(at_seconds(50.0));
    let decision = DecideUsage {
        window: window_at(0),
        counts: Vec::new(),
        holder: THIS_MACHINE.into(),
    };
    harness.ledger.apply_decision(1, 5, decision);
    harness.poll(at_seconds(50.0));
    let mut decided = Vec::new();
    for step in 0..200_u64 {
        let now = at_seconds(50.0) + Duration::from_millis(step * 50);
        // One start of each window, in separate batches.
        if step % 10 == 0 && step < 80 {
            harness.receive_batch(now, step / 10 + 1, at_seconds(7.0 + step as f64 / 2.0));
        }
        decided.extend(decisions(&harness.poll_and_commit(now)));
    }
    let expected: Vec<(u64, u64)> = (1..=8).map(|n| (window_at(5 * n), 1)).collect();
    assert_eq!(decided[..8], expected);
}
