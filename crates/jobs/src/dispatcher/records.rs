//! What the log gets of items: unfinished texts and results.

use peatgrade_schema::replication::{ItemProgress, KeepProgress, ListResults, ProgressEvent};
use peatgrade_types::Time;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::{DispatchAction, Dispatcher};
use crate::listing::{ListingQueue, PendingResult};
use crate::store::JobStore;

/// Events that make a record of an unfinished text worth its place.
const PROGRESS_EVENTS: usize = 3;

impl Dispatcher {
    /// Puts what is new of unfinished texts into the log, so that another
    /// leader goes on from there.
    pub(super) fn keep_progress(&mut self) {
        let mut jobs: BTreeMap<Rc<str>, Vec<ItemProgress>> = BTreeMap::new();
        self.visit(self.items.len());
        for (key, item) in &mut self.items {
            if !item.is_record_due(PROGRESS_EVENTS) {
                continue;
            }
            // A text that was begun anew does not follow what the log holds.
            let held = item.logged_events;
            let count = if item.restarted {
                held
            } else {
                item.text.events.len()
            };
            let fresh = &item.text.events[held..count];
            let events = fresh.iter().map(|event| ProgressEvent {
                version: event.version,
                data: event.data.to_vec(),
            });
            let progress = ItemProgress {
                item: key.1 as u64,
                logged_events: held as u64,
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

    /// An item of a job has its result.
    pub(super) fn finish(&mut self, job: &Rc<str>, finished: PendingResult) {
        if let Some(listing) = self.listings.get_mut(job) {
            listing.push(finished);
        }
    }

    /// Hands results to the log that are to be listed now.
    pub(super) fn list_due(&mut self, now: Time) {
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

    /// Results that wait to be listed.
    pub fn pending_results(&self) -> usize {
        self.listings.values().map(ListingQueue::len).sum()
    }

    /// Results of a job are committed.
    pub fn on_results_committed(&mut self, id: &str, store: &JobStore) {
        let Some(job) = store.get(id) else {
            return;
        };
        let name: Rc<str> = Rc::from(id);
        self.items
            .retain(|key, _| key.0 != name || !job.positions.contains_key(&key.1));
    }
}
