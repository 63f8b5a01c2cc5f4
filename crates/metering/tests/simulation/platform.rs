//! Simulated platform that receives usage reports and records them.

use super::{Outcome, LEASE, REPORT_DEADLINE, WINDOW};
use peatgrade_ports::{UsageReport, UsageReportResponse};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A report in flight.
struct SentReport {
    arrives_at: Time,
    machine: u64,
    term: u64,
    report: UsageReport,
    response_lost: bool,
}

/// A report that the platform accepted.
struct AcceptedReport {
    at: Time,
    machine: u64,
    window: u64,
    counts: BTreeMap<String, u64>,
}

pub struct Platform {
    fences_checked: bool,
    pub elect_at: Option<Time>,
    in_flight: Vec<SentReport>,
    responses: Vec<(Time, u64, u64, UsageReportResponse)>,
    highest_fence: u64,
    stale_fences: usize,
    accepted: Vec<AcceptedReport>,
    /// Machine and term of each reporter that was fenced.
    fenced: BTreeSet<(u64, u64)>,
    reports_after_fencing: usize,
}

impl Platform {
    pub fn new(fences_checked: bool) -> Self {
        Self {
            fences_checked,
            elect_at: None,
            in_flight: Vec::new(),
            responses: Vec::new(),
            highest_fence: 0,
            stale_fences: 0,
            accepted: Vec::new(),
            fenced: BTreeSet::new(),
            reports_after_fencing: 0,
        }
    }

    pub fn send(
        &mut self,
        arrives_at: Time,
        machine: u64,
        term: u64,
        report: UsageReport,
        response_lost: bool,
    ) {
        assert_eq!(
            report.fence, term,
            "the fencing token is the term of the reporter"
        );
        assert_eq!(report.holder, format!("storage-{machine}"));
        self.reports_after_fencing += usize::from(self.fenced.contains(&(machine, term)));
        self.in_flight.push(SentReport {
            arrives_at,
            machine,
            term,
            report,
            response_lost,
        });
    }

    pub fn record_fenced(&mut self, machine: u64, term: u64) {
        self.fenced.insert((machine, term));
    }

    /// Processes reports that have arrived and returns the responses due to the leader of
    /// `term`.
    pub fn responses(&mut self, now: Time, term: u64) -> Vec<(u64, UsageReportResponse)> {
        let mut due: Vec<SentReport> = self
            .in_flight
            .extract_if(.., |sent| sent.arrives_at <= now)
            .collect();
        due.sort_by_key(|sent| sent.arrives_at);
        for sent in due {
            let response = self.process(&sent);
            if !sent.response_lost {
                let due_at = sent.arrives_at + Duration::from_millis(4);
                self.responses
                    .push((due_at, sent.term, sent.report.window, response));
            }
        }
        let due = self.responses.extract_if(.., |(at, ..)| *at <= now);
        due.filter(|(_, recipient, ..)| *recipient == term)
            .map(|(_, _, window, response)| (window, response))
            .collect()
    }

    fn process(&mut self, sent: &SentReport) -> UsageReportResponse {
        if sent.term < self.highest_fence {
            if self.fences_checked {
                return UsageReportResponse::Fenced;
            }
            // A report that the network delayed is not the fault of the sender.
            self.stale_fences += usize::from(!sent.response_lost);
        }
        self.highest_fence = self.highest_fence.max(sent.term);
        self.accepted.push(AcceptedReport {
            at: sent.arrives_at,
            machine: sent.machine,
            window: sent.report.window,
            counts: sent.report.counts.clone(),
        });
        UsageReportResponse::Taken
    }

    pub fn evaluate(
        &self,
        expected: &BTreeMap<u64, BTreeMap<String, u64>>,
        time_of_day: u64,
    ) -> Outcome {
        let mut outcome = Outcome {
            alternations: self.alternations(),
            stale_fences: self.stale_fences,
            reports_after_fencing: self.reports_after_fencing,
            ..Outcome::default()
        };
        for (window, counts) in expected {
            let due = (window + 1) * WINDOW.0 + REPORT_DEADLINE.0;
            if due >= time_of_day {
                continue;
            }
            outcome.windows += 1;
            let reports: Vec<&AcceptedReport> = self
                .accepted
                .iter()
                .filter(|report| report.window == *window)
                .collect();
            let time_of_day_of = |report: &AcceptedReport| report.at.0 + super::TIME_OF_DAY_ORIGIN;
            match reports.first() {
                Some(first) if time_of_day_of(first) <= due => {
                    if first.counts != *counts {
                        outcome.wrong.push(*window);
                    }
                }
                _ => outcome.missed.push(*window),
            }
            let differ = |pair: &[&AcceptedReport]| pair[0].counts != pair[1].counts;
            if reports.windows(2).any(differ) {
                outcome.conflicting.push(*window);
            }
        }
        outcome
    }

    /// Counts reporters that sent reports in the order A, B, A within a lease.
    fn alternations(&self) -> usize {
        let mut senders: Vec<(Time, u64)> = self
            .accepted
            .iter()
            .map(|report| (report.at, report.machine))
            .collect();
        senders.dedup_by_key(|(_, machine)| *machine);
        let alternates = |window: &&[(Time, u64)]| {
            window[0].1 == window[2].1 && window[2].0.since(window[0].0) < LEASE
        };
        senders.windows(3).filter(alternates).count()
    }
}
