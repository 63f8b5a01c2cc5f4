//! Opening of jobs that were accepted, or that a new leader takes over.

use peatgrade_ports::Configuration;
use peatgrade_schema::replication::{AcceptJob, ItemResult};
use peatgrade_types::{Duration, Time};
use std::rc::Rc;

use super::{eligibility, planning, Dispatcher};
use crate::item::OpenItem;
use crate::job::{Job, PriorText, StoredResult};
use crate::listed_text::TextReader;
use crate::listing::{ListingQueue, PendingResult};
use crate::store::JobStore;
use crate::text::{PartialText, TextEvent};

/// Maximum age of a job that counts as accepted by this leader. Shorter than an election.
const MAX_NEW_JOB_AGE: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Creates the open items of a job, reusing texts and results of earlier jobs.
    pub fn open_job(
        &mut self,
        now: Time,
        id: &str,
        store: &JobStore,
        configuration: &Configuration,
    ) {
        let Some(job) = store.get(id).filter(|job| !job.ended) else {
            return;
        };
        let name: Rc<str> = Rc::from(id);
        self.long_thresholds
            .insert(name.clone(), eligibility::long_threshold(&job.spec));
        self.group_counts
            .insert(name.clone(), planning::group_count(&job.spec));
        self.queue.invalidate();
        self.configuration_age
            .record_logged_version(store.newest_configuration());
        let is_outdated = self.is_outdated(configuration);
        self.placement.open_job(&name, &job.spec);
        let listing = new_listing(now, job, configuration);
        self.listings.insert(name.clone(), listing);
        let mut texts = store.text_reader();
        for index in 0..job.spec.items.len() {
            if job.positions.contains_key(&index) {
                continue;
            }
            let prior = store.prior_text(id, index);
            let progress = job.progress.get(&index);
            let single_version = requires_single_version(configuration, &job.spec, index);
            // A text of a single version is valid whichever setting a newer configuration has.
            let reuses_single_version = single_version || is_outdated;
            if let Some(result) =
                reusable_result(&job.spec, index, reuses_single_version, prior, &mut texts)
            {
                log::info!(
                    "decision=relist item={} job={id} versions={:?}",
                    job.spec.items[index].id,
                    result.versions
                );
                self.add_result(&name, PendingResult::Ready(result));
                continue;
            }
            let mut open = OpenItem::new(job.spec.clone(), index, job.known_since);
            open.waiting_since = now;
            // The leader that generated its progress had the setting.
            open.single_version = match progress {
                Some(_) => single_version,
                None => reuses_single_version,
            };
            open.is_resubmitted = store.is_resubmitted(id, index);
            open.failures = job.failures.get(&index).copied().unwrap_or_default();
            open.logged_failures = open.failures;
            match progress {
                Some(text) => {
                    open.logged_events = text.events.len();
                    open.logged_complete = text.complete;
                    open.text = text.clone();
                }
                None => self.restore_text(&mut open, prior, &mut texts),
            }
            if !open.is_consistent() {
                open.restart();
            }
            let key = (name.clone(), index);
            let is_complete = open.text.complete;
            self.items.insert(key.clone(), open);
            if is_complete {
                self.on_text_complete(now, &key);
            }
        }
        self.propose_due_results(now);
    }

    /// Restores the longest usable text of an item that an earlier job had too.
    fn restore_text(
        &mut self,
        open: &mut OpenItem,
        prior: Option<PriorText<'_>>,
        texts: &mut TextReader<'_>,
    ) {
        let min_version = open.spec.min_version;
        let cached = self.text_cache.take(&open.cache_key(), &open.item().body);
        let logged = match prior {
            Some(PriorText::Partial(text)) => Some(text.clone()),
            Some(PriorText::Complete(result, job, _)) => result_text(result, job, texts),
            None => None,
        };
        let texts = cached.into_iter().chain(logged);
        let longest = texts
            .filter(|text| text.meets_min_version(min_version))
            .max_by_key(|text| (text.complete, text.events.len()));
        if let Some(text) = longest {
            log::info!(
                "decision=continue item={} job={} events={} whole={}",
                open.item().id,
                open.spec.job,
                text.events.len(),
                text.complete
            );
            open.text = text;
        }
    }
}

/// Creates the listing of a job's results. Results of a new job are due according to the result
/// deadline. The submission time of other jobs is unknown, so their results are due at once.
fn new_listing(now: Time, job: &Job, configuration: &Configuration) -> ListingQueue {
    let route = configuration.route(&job.spec.host, &job.spec.path);
    let is_new = now.since(job.known_since) <= MAX_NEW_JOB_AGE;
    let deadline = route.filter(|_| is_new).map(|route| route.result_deadline);
    let is_listed = |index| job.positions.contains_key(&index);
    let deadline = deadline.unwrap_or(Duration(0));
    ListingQueue::new(&job.spec, job.known_since, deadline, is_listed)
}

/// Whether a single version of the weights must generate all of an item's text.
fn requires_single_version(configuration: &Configuration, spec: &AcceptJob, item: usize) -> bool {
    let route = configuration.route(&spec.host, &spec.items[item].path);
    route.is_some_and(|route| route.single_version)
}

/// Returns the result of an earlier job if it is valid for this job.
fn reusable_result(
    spec: &AcceptJob,
    index: usize,
    single_version: bool,
    prior: Option<PriorText<'_>>,
    texts: &mut TextReader<'_>,
) -> Option<ItemResult> {
    let Some(PriorText::Complete(result, job, scored_by)) = prior else {
        return None;
    };
    let reward_call = spec.items[index].reward_call.as_ref();
    let is_recent = result.versions.iter().all(|v| *v >= spec.min_version);
    let is_consistent = !single_version || result.versions.len() <= 1;
    // A score is only valid for the reward call that produced it.
    let has_valid_score = reward_call.is_none() || reward_call == scored_by;
    if !(is_recent && is_consistent && has_valid_score) {
        return None;
    }
    let text = texts.read(job, result.item, &result.text)?;
    Some(ItemResult {
        item: index as u64,
        completed: true,
        text: text.to_vec(),
        versions: result.versions.clone(),
        logged_events: 0,
        score: match reward_call {
            Some(_) => result.score.clone(),
            None => String::new(),
        },
    })
}

/// Returns the complete text of a result, to be scored by a different reward call. Results do not
/// record which version generated which event, so only texts of a single version are reused.
fn result_text(
    result: &StoredResult,
    job: &str,
    texts: &mut TextReader<'_>,
) -> Option<PartialText> {
    let [version] = result.versions[..] else {
        return None;
    };
    let event = TextEvent {
        version,
        data: texts.read(job, result.item, &result.text)?,
    };
    Some(PartialText {
        events: vec![event],
        last_event: None,
        complete: true,
    })
}
