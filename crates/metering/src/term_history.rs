//! When this replica learnt of each term of the group.

use peatgrade_types::Time;
use std::collections::VecDeque;

/// Terms that are remembered: leaders change a few times in a minute at the worst.
const MAX_TERMS: usize = 32;

/// Terms and when they were first seen, oldest first.
#[derive(Clone, Debug, Default)]
pub struct TermHistory {
    terms: VecDeque<(u64, Time)>,
}

impl TermHistory {
    /// The group is in `term`.
    pub fn record(&mut self, now: Time, term: u64) {
        if self.terms.back().is_some_and(|(last, _)| *last >= term) {
            return;
        }
        self.terms.push_back((term, now));
        if self.terms.len() > MAX_TERMS {
            self.terms.pop_front();
        }
    }

    /// When a term later than `term` was first seen. Votes for one are given only after
    /// the lease of the leader of `term` has ended, so it has not acted since.
    pub fn first_seen_after(&self, term: u64) -> Option<Time> {
        let mut later = self.terms.iter().filter(|(seen, _)| *seen > term);
        later.next().map(|(_, at)| *at)
    }
}
