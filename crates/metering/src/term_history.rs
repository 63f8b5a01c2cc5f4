//! Times at which this replica first observed each term of the group.

use peatgrade_types::Time;
use std::collections::VecDeque;

const MAX_TERMS: usize = 32;

/// Recent terms with the time at which each was first observed, oldest first.
#[derive(Clone, Debug, Default)]
pub struct TermHistory {
    terms: VecDeque<(u64, Time)>,
}

impl TermHistory {
    /// Records that the group is in `term`. Terms that are not newer are ignored.
    pub fn record(&mut self, now: Time, term: u64) {
        if self.terms.back().is_some_and(|(last, _)| *last >= term) {
            return;
        }
        self.terms.push_back((term, now));
        if self.terms.len() > MAX_TERMS {
            self.terms.pop_front();
        }
    }

    /// Time at which a term later than `term` was first observed. Replicas vote in a later
    /// term only after the lease of the leader of `term` has expired, so that leader has not
    /// acted since.
    pub fn first_seen_after(&self, term: u64) -> Option<Time> {
        let mut later = self.terms.iter().filter(|(seen, _)| *seen > term);
        later.next().map(|(_, at)| *at)
    }
}
