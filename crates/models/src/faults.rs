//! Faults that can be switched on, by file, by endpoint or by the simulation.

use peatgrade_types::{Duration, Time};
use serde::{Deserialize, Serialize};

/// What goes wrong with a machine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process dies: connections break, memory is lost, it starts again
    /// at the end of the fault.
    Crash,
    /// It accepts connections and says nothing.
    Hang,
    /// It works at a tenth of its speed.
    Slow,
    /// The next answer breaks off in its middle; with a length, every third
    /// answer of that time does.
    ResetMidAnswer,
    /// The next change of weights fails partway.
    FailSwap,
    /// It is on its way out: it should get no new work.
    Leave,
    /// Requests are refused (the platform's store only).
    Down,
    /// The effect of each change takes place and its answer is lost.
    LoseAnswers,
}

/// A fault on a timeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Start, in milliseconds after the start of the run.
    pub at_ms: u64,
    /// Length in milliseconds; 0 means until the end.
    #[serde(default)]
    pub for_ms: u64,
    /// Name of the machine; `store` is the platform's store.
    pub machine: String,
    /// What goes wrong.
    pub kind: FaultKind,
}

/// Faults in force on one machine.
#[derive(Clone, Debug, Default)]
pub struct FaultState {
    /// Down until then.
    pub down_until: Option<Time>,
    /// Silent until then.
    pub hang_until: Option<Time>,
    /// Slow until then.
    pub slow_until: Option<Time>,
    /// Loses answers until then.
    pub lose_until: Option<Time>,
    /// Breaks off the next answer.
    pub reset_next: bool,
    /// Breaks off every third answer until then.
    pub reset_until: Option<Time>,
    answers: u32,
    /// Fails the next change of weights.
    pub fail_next_swap: bool,
}

/// The end of a fault without an end.
const FOREVER: Duration = Duration::from_secs(1_000_000);

impl FaultState {
    /// Switches a fault on.
    pub fn apply(&mut self, now: Time, fault: &Fault) {
        let length = Duration::from_millis(fault.for_ms);
        let until = now
            + if length == Duration(0) {
                FOREVER
            } else {
                length
            };
        match fault.kind {
            FaultKind::Crash | FaultKind::Down => self.down_until = Some(until),
            FaultKind::Hang => self.hang_until = Some(until),
            FaultKind::Slow => self.slow_until = Some(until),
            FaultKind::LoseAnswers => self.lose_until = Some(until),
            FaultKind::ResetMidAnswer if fault.for_ms > 0 => self.reset_until = Some(until),
            FaultKind::ResetMidAnswer => self.reset_next = true,
            FaultKind::FailSwap => self.fail_next_swap = true,
            FaultKind::Leave => {}
        }
    }

    /// Whether connections are refused.
    pub fn down(&self, now: Time) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Whether nothing is answered.
    pub fn hung(&self, now: Time) -> bool {
        self.hang_until.is_some_and(|until| now < until)
    }

    /// Whether it is slow.
    pub fn slow(&self, now: Time) -> bool {
        self.slow_until.is_some_and(|until| now < until)
    }

    /// Whether the answer that is due now breaks off.
    pub fn breaks_answer(&mut self, now: Time) -> bool {
        if std::mem::take(&mut self.reset_next) {
            return true;
        }
        self.answers += 1;
        self.reset_until.is_some_and(|until| now < until) && self.answers.is_multiple_of(3)
    }

    /// Whether answers get lost.
    pub fn loses_answers(&self, now: Time) -> bool {
        self.lose_until.is_some_and(|until| now < until)
    }
}
