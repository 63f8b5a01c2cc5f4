//! The platform that takes reports, and what it has seen.

use super::{Judged, LATE, LEASE, WINDOW};
use peatgrade_ports::{UsageReport, UsageReportResponse};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, BTreeSet};

struct Call {
    arrives: Time,
    machine: u64,
    term: u64,
    report: UsageReport,
    answer_lost: bool,
}

/// A call that was done.
struct Done {
    at: Time,
    machine: u64,
    window: u64,
    counts: BTreeMap<String, u64>,
}

pub struct Platform {
    fences_checked: bool,
    pub elect_at: Option<Time>,
    calls: Vec<Call>,
    answers: Vec<(Time, u64, u64, UsageReportResponse)>,
    highest: u64,
    lower: usize,
    done: Vec<Done>,
    refused: BTreeSet<(u64, u64)>,
    after_refusal: usize,
}

impl Platform {
    pub fn new(fences_checked: bool) -> Self {
        Self {
            fences_checked,
            elect_at: None,
            calls: Vec::new(),
            answers: Vec::new(),
            highest: 0,
            lower: 0,
            done: Vec::new(),
            refused: BTreeSet::new(),
            after_refusal: 0,
        }
    }

    pub fn call(
        &mut self,
        arrives: Time,
        machine: u64,
        term: u64,
        report: UsageReport,
        answer_lost: bool,
    ) {
        assert_eq!(report.fence, term, "the token is that of the holder's term");
        assert_eq!(report.holder, format!("storage-{machine}"));
        self.after_refusal += usize::from(self.refused.contains(&(machine, term)));
        self.calls.push(Call {
            arrives,
            machine,
            term,
            report,
            answer_lost,
        });
    }

    pub fn refused(&mut self, machine: u64, term: u64) {
        self.refused.insert((machine, term));
    }

    /// Does what has arrived; answers that have come back to the holder of a term.
    pub fn answers(&mut self, now: Time, term: u64) -> Vec<(u64, UsageReportResponse)> {
        let mut due: Vec<Call> = self.calls.extract_if(.., |c| c.arrives <= now).collect();
        due.sort_by_key(|call| call.arrives);
        for call in due {
            let answer = self.carry_out(&call);
            if !call.answer_lost {
                let back = call.arrives + Duration::from_millis(4);
                self.answers
                    .push((back, call.term, call.report.window, answer));
            }
        }
        let back = self.answers.extract_if(.., |(at, ..)| *at <= now);
        back.filter(|(_, of, ..)| *of == term)
            .map(|(_, _, window, answer)| (window, answer))
            .collect()
    }

    fn carry_out(&mut self, call: &Call) -> UsageReportResponse {
        if call.term < self.highest {
            if self.fences_checked {
                return UsageReportResponse::Fenced;
            }
            // One that was done late is the network's doing, not the sender's.
            self.lower += usize::from(!call.answer_lost);
        }
        self.highest = self.highest.max(call.term);
        self.done.push(Done {
            at: call.arrives,
            machine: call.machine,
            window: call.report.window,
            counts: call.report.counts.clone(),
        });
        UsageReportResponse::Taken
    }

    pub fn judge(&self, truth: &BTreeMap<u64, BTreeMap<String, u64>>, day: u64) -> Judged {
        let mut judged = Judged {
            took_turns: self.turns(),
            lower_fences: self.lower,
            calls_after_refusal: self.after_refusal,
            ..Judged::default()
        };
        for (window, counts) in truth {
            let due = (window + 1) * WINDOW.0 + LATE.0;
            if due >= day {
                continue;
            }
            judged.windows += 1;
            let reports: Vec<&Done> = self.done.iter().filter(|d| d.window == *window).collect();
            let day_of = |done: &Done| done.at.0 + super::DAY_ORIGIN;
            match reports.first() {
                Some(first) if day_of(first) <= due => {
                    if first.counts != *counts {
                        judged.wrong.push(*window);
                    }
                }
                _ => judged.missed.push(*window),
            }
            let differ = |pair: &[&Done]| pair[0].counts != pair[1].counts;
            if reports.windows(2).any(differ) {
                judged.differing.push(*window);
            }
        }
        judged
    }

    /// Holders that acted in the order A, B, A within a lease.
    fn turns(&self) -> usize {
        let mut acts: Vec<(Time, u64)> = self.done.iter().map(|d| (d.at, d.machine)).collect();
        acts.dedup_by_key(|(_, machine)| *machine);
        let back =
            |trio: &&[(Time, u64)]| trio[0].1 == trio[2].1 && trio[2].0.since(trio[0].0) < LEASE;
        acts.windows(3).filter(back).count()
    }
}
