//! Proposals of progress and results to the replicated log.

use peatgrade_schema::replication::{ItemProgress, KeepProgress, ListResults, ProgressEvent};
use peatgrade_types::Time;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::{DispatchAction, Dispatcher};
use crate::listing::{ListingQueue, PendingResult};
use crate::store::JobStore;

/// Minimum number of new events for which progress is proposed.
const MIN_PROGRESS_EVENTS: usize = 3;

impl Dispatcher {
    /// Proposes new events of incomplete texts, so that another leader can resume from there.
    pub(super) fn propose_progress(&mut self) {
        let mut jobs: BTreeMap<Rc<str>, Vec<ItemProgress>> = BTreeMap::new();
        self.count_visits(self.items.len());
        for (key, item) in &mut self.items {
            if !item.is_record_due(MIN_PROGRESS_EVENTS) {
                continue;
            }
            // A restarted text does not continue what the log holds.
            let logged = item.logged_events;
            let count = if item.restarted {
                logged
            } else {
                item.text.events.len()
            };
            let new_events = &item.text.events[logged..count];
            let events = new_events.iter().map(|event| ProgressEvent {
                version: event.version,
                data: event.data.to_vec(),
            });
            let progress = ItemProgress {
                item: key.1 as u64,
                logged_events: logged as u64,
                last_event: item.text.last_event.unwrap_or(0),
                events: events.collect(),
                failures: u64::from(item.failures.runs),
                whole: item.text.complete && !item.restarted,
                reward_failures: u64::from(item.failures.reward_calls),
            };
            item.logged_events = count;
            item.logged_failures = item.failures;
            item.logged_complete = progress.whole;
            jobs.entry(key.0.clone()).or_default().push(progress);
        }
        for (job, items) in jobs {
            let job = job.to_string();
            self.actions
                .push(DispatchAction::ProposeProgress(KeepProgress { job, items }));
        }
    }

    /// Adds a result to the listing of its job.
    pub(super) fn add_result(&mut self, job: &Rc<str>, finished: PendingResult) {
        if let Some(listing) = self.listings.get_mut(job) {
            listing.push(finished);
        }
    }

    /// Proposes the results that are due.
    pub(super) fn propose_due_results(&mut self, now: Time) {
        for (job, listing) in &mut self.listings {
            let mut results = Vec::new();
            for finished in listing.take_due(now) {
                let result = match finished {
                    PendingResult::Ready(result) => Some(result),
                    PendingResult::Complete(index, score) => {
                        let item = self.items.get_mut(&(job.clone(), index));
                        item.map(|item| item.propose_result(score))
                    }
                };
                results.extend(result);
            }
            if !results.is_empty() {
                self.actions
                    .push(DispatchAction::ProposeResults(ListResults {
                        job: job.to_string(),
                        results,
                    }));
            }
        }
    }

    /// Results that are not proposed yet.
    pub fn pending_results(&self) -> usize {
        self.listings.values().map(ListingQueue::len).sum()
    }

    /// Removes the items of a job whose results are committed.
    pub fn on_results_committed(&mut self, id: &str, store: &JobStore) {
        let Some(job) = store.get(id) else {
            return;
        };
        let name: Rc<str> = Rc::from(id);
        self.items
            .retain(|key, _| key.0 != name || !job.positions.contains_key(&key.1));
    }
}
