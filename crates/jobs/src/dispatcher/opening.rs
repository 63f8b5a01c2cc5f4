//! Jobs that are new, or new to this leader: what is known of their items.

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

/// Age up to which a job counts as accepted by this leader: a turn or two, and less than
/// an election.
const JUST_ACCEPTED: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Takes up a job that is new, or new to this leader.
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
        self.long_from
            .insert(name.clone(), eligibility::long_from(&job.spec));
        self.group_counts
            .insert(name.clone(), planning::group_count(&job.spec));
        self.queue.outdate();
        self.placement.open_job(&name, &job.spec);
        let listing = new_listing(now, job, configuration);
        self.listings.insert(name.clone(), listing);
        let mut texts = store.text_reader();
        for index in 0..job.spec.items.len() {
            if job.positions.contains_key(&index) {
                continue;
            }
            let earlier = store.prior_text(id, index);
            let single = must_be_single(configuration, &job.spec, index);
            if let Some(result) = result_again(&job.spec, index, single, earlier, &mut texts) {
                log::info!(
                    "decision=relist item={} job={id} versions={:?}",
                    job.spec.items[index].id,
                    result.versions
                );
                self.finish(&name, PendingResult::Ready(result));
                continue;
            }
            let mut open = OpenItem::new(job.spec.clone(), index, job.known_since);
            open.single_version = single;
            open.is_resubmitted = store.is_resubmitted(id, index);
            open.failures = job.failures.get(&index).copied().unwrap_or_default();
            open.logged_failures = open.failures;
            match job.progress.get(&index) {
                Some(text) => {
                    open.logged_events = text.events.len();
                    open.logged_complete = text.complete;
                    open.text = text.clone();
                }
                None => self.take_earlier(&mut open, earlier, &mut texts),
            }
            if open.text.complete && !open.is_consistent() {
                open.restart();
            }
            let key = (name.clone(), index);
            let whole = open.text.complete;
            self.items.insert(key.clone(), open);
            if whole {
                self.on_whole(now, &key);
            }
        }
        self.list_due(now);
    }

    /// Begins an item that comes back with what is known of its text.
    fn take_earlier(
        &mut self,
        open: &mut OpenItem,
        earlier: Option<PriorText<'_>>,
        texts: &mut TextReader<'_>,
    ) {
        let least = open.spec.min_version;
        let kept = self.kept.take(&open.cache_key(), &open.item().body);
        let logged = match earlier {
            Some(PriorText::Partial(text)) => Some(text.clone()),
            Some(PriorText::Complete(result, job, _)) => text_of(result, job, texts),
            None => None,
        };
        let texts = kept.into_iter().chain(logged);
        let longest = texts
            .filter(|text| text.meets_min_version(least))
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

/// Results of a job that was just accepted are listed by when they are due. After a
/// start nobody knows when an older job came, so its results are due at once.
fn new_listing(now: Time, job: &Job, configuration: &Configuration) -> ListingQueue {
    let route = configuration.route(&job.spec.host, &job.spec.path);
    let is_new = now.since(job.known_since) <= JUST_ACCEPTED;
    let deadline = route.filter(|_| is_new).map(|route| route.result_deadline);
    let is_listed = |index| job.positions.contains_key(&index);
    let deadline = deadline.unwrap_or(Duration(0));
    ListingQueue::new(&job.spec, job.known_since, deadline, is_listed)
}

/// Whether one version must make all of an item's text.
fn must_be_single(configuration: &Configuration, spec: &AcceptJob, item: usize) -> bool {
    let route = configuration.route(&spec.host, &spec.items[item].path);
    route.is_some_and(|route| route.single_version)
}

/// The result that an earlier job has of an item, if it may stand in this one.
fn result_again(
    spec: &AcceptJob,
    index: usize,
    single: bool,
    earlier: Option<PriorText<'_>>,
    texts: &mut TextReader<'_>,
) -> Option<ItemResult> {
    let Some(PriorText::Complete(result, job, scored_by)) = earlier else {
        return None;
    };
    let reward_call = spec.items[index].reward_call.as_ref();
    let fresh = result.versions.iter().all(|v| *v >= spec.min_version);
    let consistent = !single || result.versions.len() <= 1;
    // A score belongs to the call that gave it.
    let scored = reward_call.is_none() || reward_call == scored_by;
    if !(fresh && consistent && scored) {
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

/// The whole text of a result, to be scored by another call. Which version made
/// which event is not kept of results, so a text of several is made anew.
fn text_of(result: &StoredResult, job: &str, texts: &mut TextReader<'_>) -> Option<PartialText> {
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
