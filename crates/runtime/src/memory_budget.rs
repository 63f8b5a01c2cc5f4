//! Bytes held on behalf of callers, bounded for the whole process.
//!
//! A caller who sends a long body, or does not read its answer, makes this machine hold
//! bytes. They count against one budget. When it is used up, of the callers who have taken
//! nothing for half a second the one for whom most is held is cut off; if there is none, a
//! new body is refused while it is read. So a caller who stops reading costs nobody else
//! anything.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use crate::responder::ResponseBacklog;

/// An answer that its caller has not read on for this long may be cut off when room is
/// needed: a caller who reads takes up a full window of its link many times in it.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// The budget has no room for more bytes.
#[derive(Debug, PartialEq, Eq)]
pub struct BudgetExceeded;

/// What the budget has done since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetStats {
    /// Bytes held now.
    pub held: usize,
    /// Bytes that may be held.
    pub limit: usize,
    /// Callers cut off who did not read their answer.
    pub disconnected: u64,
    /// Times that bytes were refused.
    pub refused: u64,
}

/// Bytes that a process may hold for its callers; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit: Cell<usize>,
    held: Cell<usize>,
    disconnected: Cell<u64>,
    refused: Cell<u64>,
    /// Answers that may be cut off.
    answers: RefCell<Vec<Weak<ResponseBacklog>>>,
}

impl Default for MemoryBudget {
    /// Without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            shared: Rc::new(Shared {
                limit: Cell::new(limit),
                held: Cell::new(0),
                disconnected: Cell::new(0),
                refused: Cell::new(0),
                answers: RefCell::default(),
            }),
        }
    }

    /// What it has done.
    pub fn stats(&self) -> BudgetStats {
        BudgetStats {
            held: self.shared.held.get(),
            limit: self.shared.limit.get(),
            disconnected: self.shared.disconnected.get(),
            refused: self.shared.refused.get(),
        }
    }

    /// Takes note of a caller who was cut off.
    pub(crate) fn note_cut_off(&self) {
        self.shared
            .disconnected
            .set(self.shared.disconnected.get() + 1);
    }

    /// A share of the budget, empty at first.
    pub(crate) fn share(&self) -> HeldBytes {
        HeldBytes {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Takes part in what may be cut off, as long as it lives.
    pub(crate) fn enlist(&self, answer: &Rc<ResponseBacklog>) {
        let mut answers = self.shared.answers.borrow_mut();
        answers.retain(|weak| weak.strong_count() > 0);
        answers.push(Rc::downgrade(answer));
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.shared.held.get().saturating_add(bytes) <= self.shared.limit.get()
    }

    /// Cuts stalled answers off until there is room.
    fn make_room(&self, bytes: usize) -> bool {
        while !self.has_room(bytes) {
            let answers: Vec<Rc<ResponseBacklog>> = {
                let answers = self.shared.answers.borrow();
                answers.iter().filter_map(Weak::upgrade).collect()
            };
            let states: Vec<BacklogState> = answers.iter().map(|answer| answer.state()).collect();
            let Some(index) = largest_stalled(&states) else {
                return false;
            };
            self.note_cut_off();
            log::warn!(
                "decision=cut-off reason=budget-used-up bytes={} stalled_ms={} held={} limit={}",
                states[index].bytes,
                states[index].stalled_for.map_or(0, |span| span.as_millis()),
                self.shared.held.get(),
                self.shared.limit.get()
            );
            answers[index].cut_off();
        }
        true
    }
}

/// An answer as the choice of whom to cut off sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BacklogState {
    /// Bytes held for it.
    pub bytes: usize,
    /// Time since its caller last took any; none while nothing waits for the caller.
    pub stalled_for: Option<Duration>,
}

/// Whom to cut off when the budget is used up: of the callers who have not read on for
/// half a second, the one for whom most is held. Nobody who reads is cut off, however
/// slowly.
pub fn largest_stalled(answers: &[BacklogState]) -> Option<usize> {
    let stalled = answers.iter().enumerate().filter(|(_, answer)| {
        answer.bytes > 0 && answer.stalled_for.is_some_and(|span| span >= STALLED_AFTER)
    });
    let most = stalled.max_by_key(|(_, answer)| answer.bytes);
    most.map(|(index, _)| index)
}

/// Bytes that count against a budget until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    budget: MemoryBudget,
    bytes: usize,
}

impl HeldBytes {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds more bytes, if there is room or others can be cut off for it.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let shared = &self.budget.shared;
        if !self.budget.has_room(bytes) && !self.budget.make_room(bytes) {
            shared.refused.set(shared.refused.get() + 1);
            return Err(BudgetExceeded);
        }
        shared.held.set(shared.held.get() + bytes);
        self.bytes += bytes;
        Ok(())
    }

    /// Gives bytes back, so that at most so many are held.
    pub fn shrink_to(&mut self, bytes: usize) {
        let given_back = self.bytes.saturating_sub(bytes);
        let shared = &self.budget.shared;
        shared.held.set(shared.held.get() - given_back);
        self.bytes -= given_back;
    }

    /// Gives so many bytes back.
    pub fn give_back(&mut self, bytes: usize) {
        self.shrink_to(self.bytes.saturating_sub(bytes));
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
