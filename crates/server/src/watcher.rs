//! Watches the objects of one kind: lists them, then long-polls for changes.
//!
//! A watch that fails silently, for instance because the store compacted its history as the
//! call began, is noticed only when its response times out. A long poll, its slack and the
//! list that follows therefore take less than `contact_ms` together. Where changes need not be
//! known immediately, a minimum interval between watch calls reduces their number.

use futures_channel::mpsc::UnboundedSender;
use peatgrade_ports::{ObjectKind, StoreRequest, StoreResponse, StoreUpdate};
use peatgrade_runtime::BootInstant;
use peatgrade_types::Duration as Span;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::steady_now;
use crate::listing::{ListResult, PagedList};
use crate::settings::ServerSettings;
use crate::store_client::StoreClient;

/// Time beyond the long poll after which a watch call times out.
const WATCH_SLACK: Duration = Duration::from_millis(500);
/// Part of `contact_ms` that is reserved for the backoff and the list after a lost watch.
const RELIST_MARGIN_MS: u64 = 400;
/// Part of `contact_ms` that is reserved for the backoff and the retry after a lost page.
const PAGE_RETRY_MARGIN_MS: u64 = 1_200;
/// Lower bound of the page timeout, whatever `contact_ms` is.
const MIN_PAGE_TIMEOUT_MS: u64 = 400;
/// Bounds of the long poll, whatever `contact_ms` is.
const MIN_WAIT_MS: u64 = 400;
const MAX_WAIT_MS: u64 = 8_000;
/// Long lists shorten the long poll to no less than `max_wait` divided by this, so that a slow
/// store is not called continuously.
const MIN_WAIT_DIVISOR: u64 = 3;
/// Estimated list time per object until a list of `MIN_SAMPLE_OBJECTS` has been measured.
const INITIAL_TIME_PER_OBJECT: Duration = Duration::from_micros(70);
/// Minimum number of objects of a list from which the time per object is derived.
const MIN_SAMPLE_OBJECTS: usize = 1_000;
/// Minimum long poll of the first watch after a list.
const MIN_FIRST_WAIT: Span = Span::from_millis(100);
/// Interval between watch calls for engines, as a percentage of the time for which a draining
/// engine keeps serving. The rest covers the response time and scheduling delays.
const BATCH_INTERVAL_PERCENT: u64 = 75;
/// Initial and maximum backoff after a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Time after an incomplete list until the objects are listed again.
const INCOMPLETE_RELIST_INTERVAL: Duration = Duration::from_secs(10);

/// Enables a watcher, which ends soon after the flag is cleared.
pub type WatchFlag = Rc<Cell<bool>>;

/// Current number of known objects of a kind, maintained by the receiver of the updates.
pub type ObjectCount = Rc<Cell<usize>>;

/// Estimate of the time that a list of a kind takes.
#[derive(Clone, Copy, Debug)]
struct ListTimeEstimate {
    per_object: Duration,
}

impl Default for ListTimeEstimate {
    fn default() -> Self {
        Self {
            per_object: INITIAL_TIME_PER_OBJECT,
        }
    }
}

impl ListTimeEstimate {
    /// Updates the estimate from a completed list, if it had enough objects.
    fn observe(&mut self, elapsed: Duration, objects: usize) {
        if objects >= MIN_SAMPLE_OBJECTS {
            self.per_object = elapsed / objects as u32;
        }
    }

    /// Estimated time to list `objects` objects.
    fn estimate(&self, objects: usize) -> Duration {
        self.per_object * objects as u32
    }
}

/// Intervals and timeouts of a watcher.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// Longest time for which the store may hold a watch call.
    pub max_wait: Span,
    /// Minimum time between the starts of two watch calls.
    pub min_interval: Duration,
    /// Maximum time after which a page of a list is requested again.
    pub page_timeout: Duration,
}

impl WatchTiming {
    /// Reports each change immediately.
    pub fn immediate(settings: &ServerSettings) -> Self {
        let margin_ms = WATCH_SLACK.as_millis() as u64 + RELIST_MARGIN_MS;
        let wait_ms = settings.contact_ms.saturating_sub(margin_ms);
        let page_ms = settings.contact_ms.saturating_sub(PAGE_RETRY_MARGIN_MS);
        Self {
            max_wait: Span::from_millis(wait_ms.clamp(MIN_WAIT_MS, MAX_WAIT_MS)),
            min_interval: Duration::ZERO,
            page_timeout: Duration::from_millis(page_ms.max(MIN_PAGE_TIMEOUT_MS)),
        }
    }

    /// Time after which a watch call without a response has failed.
    pub fn response_timeout(&self) -> Duration {
        Duration::from_micros(self.max_wait.0) + WATCH_SLACK
    }

    /// Long poll of the first watch after a list. A list confirms the state as of its start, so
    /// after a long list the watch is shorter, or subscribers would regard the data as stale
    /// before the watch confirms it.
    fn first_wait_after_list(&self, elapsed: Duration) -> Span {
        let elapsed = Span::from_millis(elapsed.as_millis() as u64);
        let remaining = Span(self.max_wait.0.saturating_sub(elapsed.0));
        remaining.max(MIN_FIRST_WAIT).min(self.max_wait)
    }

    /// Shortens the long poll by the time that a list takes. A silently lost watch is followed
    /// by a list, and subscribers wait for both.
    fn adjusted_for_list_time(self, elapsed: Duration) -> Self {
        let elapsed = elapsed.as_micros() as u64;
        let remaining = Span(self.max_wait.0.saturating_sub(elapsed));
        let max_wait = remaining.max(Span(self.max_wait.0 / MIN_WAIT_DIVISOR));
        let reduction = Duration::from_micros(self.max_wait.0 - max_wait.0);
        Self {
            max_wait,
            min_interval: self.min_interval.saturating_sub(reduction),
            ..self
        }
    }

    /// For publishers: a silently lost watch must be noticed early enough for subscribers to
    /// fail over.
    pub fn publisher(settings: &ServerSettings) -> Self {
        Self {
            max_wait: settings.mirror_timing().watch_interval,
            ..Self::immediate(settings)
        }
    }

    /// Like `publisher`, with changes batched.
    pub fn publisher_batched(settings: &ServerSettings) -> Self {
        let publisher = Self::publisher(settings);
        Self {
            min_interval: Duration::from_micros(publisher.max_wait.0),
            ..publisher
        }
    }

    /// For engines: batches changes, within the time for which a draining engine keeps serving.
    pub fn batched(settings: &ServerSettings) -> Self {
        Self {
            min_interval: Duration::from_millis(
                settings.engine_drain_ms * BATCH_INTERVAL_PERCENT / 100,
            ),
            ..Self::immediate(settings)
        }
    }
}

/// Watches objects of `kind` and sends `updates` while `enabled` is set.
pub async fn watch(
    store: StoreClient,
    kind: ObjectKind,
    timing: WatchTiming,
    enabled: WatchFlag,
    object_count: ObjectCount,
    updates: UnboundedSender<StoreUpdate>,
) {
    let mut backoff = INITIAL_BACKOFF;
    let mut revision = None;
    let mut listing = PagedList::new(kind, timing.page_timeout);
    let mut store_unavailable = false;
    let mut first_wait = None;
    let mut list_time = ListTimeEstimate::default();
    // When the last list ended, if it was incomplete.
    let mut incomplete_since: Option<BootInstant> = None;
    while enabled.get() && !updates.is_closed() {
        let started = BootInstant::now();
        if incomplete_since.is_some_and(|at| at.elapsed() >= INCOMPLETE_RELIST_INTERVAL) {
            revision = None;
        }
        let current = timing.adjusted_for_list_time(list_time.estimate(object_count.get()));
        let step = match revision {
            None => {
                let listed = list(&store, &mut listing, &updates).await;
                listed.map(|list| {
                    incomplete_since = (!list.complete).then(BootInstant::now);
                    Some(list.revision)
                })
            }
            Some(revision) => {
                let timing = WatchTiming {
                    max_wait: first_wait.take().unwrap_or(current.max_wait),
                    ..current
                };
                watch_once(&store, kind, timing, revision, &updates).await
            }
        };
        if revision.is_none() {
            let elapsed = started.elapsed();
            first_wait = Some(timing.first_wait_after_list(elapsed));
            if let Ok(Some(_)) = step {
                list_time.observe(elapsed, object_count.get());
            }
        }
        match step {
            Ok(next) => {
                if store_unavailable {
                    log::info!("dependency=regained kind={kind:?}");
                }
                store_unavailable = false;
                backoff = INITIAL_BACKOFF;
                revision = next;
                let remaining = current.min_interval.saturating_sub(started.elapsed());
                if !remaining.is_zero() && revision.is_some() {
                    monoio::time::sleep(remaining).await;
                }
            }
            Err(reason) => {
                if !store_unavailable {
                    log::warn!("dependency=lost kind={kind:?} reason={reason}");
                }
                store_unavailable = true;
                // The store may not answer watches from revisions that it has compacted. Only
                // a list is certain to return the changes missed.
                revision = None;
                // Jitter prevents machines from reconnecting simultaneously.
                monoio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Where to watch from after a list.
#[derive(Clone, Copy, Debug)]
struct ListEnd {
    revision: u64,
    complete: bool,
}

/// Continues a list. Once it ends, returns the revision to watch from.
async fn list(
    store: &StoreClient,
    listing: &mut PagedList,
    updates: &UnboundedSender<StoreUpdate>,
) -> Result<ListEnd, String> {
    match listing.fetch_remaining(store).await {
        Ok(list) => Ok(send_list(listing.kind(), list, updates)),
        Err(reason) => {
            if let Some(list) = listing.partial_result() {
                send_list(listing.kind(), list, updates);
            }
            Err(reason)
        }
    }
}

fn send_list(
    kind: ObjectKind,
    list: ListResult,
    updates: &UnboundedSender<StoreUpdate>,
) -> ListEnd {
    let ListResult {
        at,
        objects,
        revision,
        complete,
    } = list;
    let _ = updates.unbounded_send(StoreUpdate::Listed {
        kind,
        at,
        revision,
        objects,
        complete,
    });
    ListEnd { revision, complete }
}

/// Long-polls once for changes since `revision`. Returns the next revision, or `None` if the
/// history was compacted and a new list is needed.
async fn watch_once(
    store: &StoreClient,
    kind: ObjectKind,
    timing: WatchTiming,
    revision: u64,
    updates: &UnboundedSender<StoreUpdate>,
) -> Result<Option<u64>, String> {
    let at = steady_now();
    let call = StoreRequest::Watch {
        kind,
        revision,
        wait: timing.max_wait,
    };
    match store.call(&call, timing.response_timeout()).await {
        Ok(StoreResponse::Events {
            events,
            revision: next,
        }) if !events.is_empty() && next <= revision => Err(format!(
            "watch: events after revision {revision} end at {next}"
        )),
        Ok(StoreResponse::Events { events, revision }) => {
            // A full long poll without changes confirms the state as of its end.
            let waited_in_full = steady_now().since(at) >= timing.max_wait;
            let at = match events.is_empty() && waited_in_full {
                true => at + timing.max_wait,
                false => at,
            };
            let _ = updates.unbounded_send(StoreUpdate::Changed {
                kind,
                at,
                revision,
                events,
            });
            Ok(Some(revision))
        }
        Ok(StoreResponse::Compacted) => Ok(None),
        Ok(other) => Err(format!("watch: unexpected response {other:?}")),
        Err(error) => Err(format!("watch: {error}")),
    }
}

#[cfg(test)]
#[path = "../tests/unit/watcher.rs"]
mod tests;
