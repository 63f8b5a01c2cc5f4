//! Follows one kind of objects: lists it, then waits for changes.
//!
//! Each call has its price, and a wait that was lost without a sign is noticed
//! only when its time is over. A store that drops its history leaves even waits
//! that begin just then without a word, so a wait, its slack and the list that
//! follows take less than the time after which a machine must be in touch again.
//! Changes that may be known a little later are taken together: between two
//! waits lies a least time.

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

/// Time beyond its wait after which a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(500);
/// Kept back for the pause and the list that follow a lost one.
const RELIST_MARGIN_MS: u64 = 400;
/// Kept back for what follows a lost page of a list: the pause, and the page
/// once more.
const PAGE_RETRY_MARGIN_MS: u64 = 1_200;
/// Shortest time that a page is waited for, whatever the settings say.
const MIN_PAGE_TIMEOUT_MS: u64 = 400;
/// Shortest and longest wait, whatever the settings say.
const MIN_WAIT_MS: u64 = 400;
const MAX_WAIT_MS: u64 = 8_000;
/// A store that lists slowly once must not be called without a pause from then on: part of
/// the usual wait that stays however long lists take.
const MIN_WAIT_DIVISOR: u64 = 3;
/// Time that a list takes for each object until a long one was seen: a page of 200 in 14 ms on
/// a third of a core.
const INITIAL_TIME_PER_OBJECT: Duration = Duration::from_micros(70);
/// Objects of a list that tells how long others take: several pages.
const MIN_SAMPLE_OBJECTS: usize = 1_000;
/// Shortest wait of the watch after a list.
const MIN_FIRST_WAIT: Span = Span::from_millis(100);
/// Changes of the engine list are told together once in this share of the time that
/// a leaving engine serves on, in percent. The rest is for the answer on its way and
/// a busy machine; each look less is a call less for each machine.
const BATCH_INTERVAL_PERCENT: u64 = 75;
/// First pause after a failure, and the longest.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Whether a watcher is wanted; it ends soon after this is cleared.
pub type WatchFlag = Rc<Cell<bool>>;

/// Objects of a kind that are known just now, as whoever takes the updates counts them.
pub type ObjectCount = Rc<Cell<usize>>;

/// How long a list of a kind takes.
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
    /// A list took so long.
    fn observe(&mut self, took: Duration, objects: usize) {
        if objects >= MIN_SAMPLE_OBJECTS {
            self.per_object = took / objects as u32;
        }
    }

    /// How long one of so many objects would take.
    fn estimate(&self, objects: usize) -> Duration {
        self.per_object * objects as u32
    }
}

/// How a kind is followed.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// How long a watch may wait at the store.
    pub max_wait: Span,
    /// Least time between the starts of two watches.
    pub min_interval: Duration,
    /// How long a page of a list is waited for at most.
    pub page_timeout: Duration,
}

impl WatchTiming {
    /// Changes are told at once.
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

    /// Time after which a watch without an answer counts as lost.
    pub fn response_timeout(&self) -> Duration {
        Duration::from_micros(self.max_wait.0) + WATCH_SLACK
    }

    /// How long the watch after a list waits: the list proves what was when it began, and one
    /// of thousands of objects takes so long that others would find it too old before a whole
    /// wait proves more.
    fn first_wait_after_list(&self, took: Duration) -> Span {
        let took = Span::from_millis(took.as_millis() as u64);
        let remaining = Span(self.max_wait.0.saturating_sub(took.0));
        remaining.max(MIN_FIRST_WAIT).min(self.max_wait)
    }

    /// A watch that is lost without a sign is followed by a list. Who takes news from this
    /// machine waits for both, so the longer a list is, the sooner a lost watch must show.
    fn adjusted_for_list_time(self, took: Duration) -> Self {
        let took = took.as_micros() as u64;
        let remaining = Span(self.max_wait.0.saturating_sub(took));
        let max_wait = remaining.max(Span(self.max_wait.0 / MIN_WAIT_DIVISOR));
        let reduction = Duration::from_micros(self.max_wait.0 - max_wait.0);
        Self {
            max_wait,
            min_interval: self.min_interval.saturating_sub(reduction),
            ..self
        }
    }

    /// For a machine from which others take what it reads: a watch that was lost without
    /// a sign must be noticed while there is time for them to look elsewhere.
    pub fn publisher(settings: &ServerSettings) -> Self {
        Self {
            max_wait: settings.mirror_timing().watch_interval,
            ..Self::immediate(settings)
        }
    }

    /// The same for the engine list, whose changes are told together.
    pub fn publisher_batched(settings: &ServerSettings) -> Self {
        let publisher = Self::publisher(settings);
        Self {
            min_interval: Duration::from_micros(publisher.max_wait.0),
            ..publisher
        }
    }

    /// Changes of the engine list are told together, well within the time that
    /// a leaving engine goes on serving.
    pub fn batched(settings: &ServerSettings) -> Self {
        Self {
            min_interval: Duration::from_millis(
                settings.engine_drain_ms * BATCH_INTERVAL_PERCENT / 100,
            ),
            ..Self::immediate(settings)
        }
    }
}

/// Follows a kind while it is wanted.
pub async fn watch(
    store: StoreClient,
    kind: ObjectKind,
    timing: WatchTiming,
    wanted: WatchFlag,
    known: ObjectCount,
    updates: UnboundedSender<StoreUpdate>,
) {
    let mut backoff = INITIAL_BACKOFF;
    let mut revision = None;
    let mut listing = PagedList::new(kind, timing.page_timeout);
    let mut store_unavailable = false;
    let mut first_wait = None;
    let mut list_time = ListTimeEstimate::default();
    while wanted.get() && !updates.is_closed() {
        let started = BootInstant::now();
        let current = timing.adjusted_for_list_time(list_time.estimate(known.get()));
        let step = match revision {
            None => list(&store, &mut listing, &updates).await,
            Some(revision) => {
                let timing = WatchTiming {
                    max_wait: first_wait.take().unwrap_or(current.max_wait),
                    ..current
                };
                watch_once(&store, kind, timing, revision, &updates).await
            }
        };
        if revision.is_none() {
            let took = started.elapsed();
            first_wait = Some(timing.first_wait_after_list(took));
            if let Ok(Some(_)) = step {
                list_time.observe(took, known.get());
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
                // A store that drops its history leaves watches from before
                // without a word, also one that begins just then: only a list
                // shows what was missed.
                revision = None;
                // Not all machines that have lost the store come back to it at
                // the same moment.
                monoio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Goes on with a list; the revision to watch from once it is whole.
async fn list(
    store: &StoreClient,
    listing: &mut PagedList,
    updates: &UnboundedSender<StoreUpdate>,
) -> Result<Option<u64>, String> {
    let ListResult {
        at,
        objects,
        revision,
    } = listing.fetch_remaining(store).await?;
    let kind = listing.kind();
    let _ = updates.unbounded_send(StoreUpdate::Listed {
        kind,
        at,
        revision,
        objects,
    });
    Ok(Some(revision))
}

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
        Ok(StoreResponse::Events { events, revision }) => {
            // Who waited to the end without any change was told so after that time.
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
        Ok(other) => Err(format!("watch: {other:?}")),
        Err(error) => Err(format!("watch: {error}")),
    }
}

#[cfg(test)]
#[path = "../tests/unit/watcher.rs"]
mod tests;
