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
use crate::listing::{Listed, Listing};
use crate::settings::ServerSettings;
use crate::store_client::StoreClient;

/// Time beyond its wait after which a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(500);
/// Kept back for the pause and the list that follow a lost one.
const WATCH_MARGIN_MS: u64 = 400;
/// Kept back for what follows a lost page of a list: the pause, and the page
/// once more.
const LIST_MARGIN_MS: u64 = 1_200;
/// Shortest time that a page is waited for, whatever the settings say.
const MIN_PAGE_MS: u64 = 400;
/// Shortest and longest wait, whatever the settings say.
const MIN_WAIT_MS: u64 = 400;
const MAX_WAIT_MS: u64 = 8_000;
/// A store that lists slowly once must not be called without a pause from then on: part of
/// the usual wait that stays however long lists take.
const LONGEST_LIST_DIVISOR: u64 = 3;
/// Time that a list takes for each object until a long one was seen: a page of 200 in 14 ms on
/// a third of a core.
const UNSEEN_LIST_TIME: Duration = Duration::from_micros(70);
/// Objects of a list that tells how long others take: several pages.
const TELLING_LIST: usize = 1_000;
/// Shortest wait of the watch after a list.
const LEAST_WAIT_AFTER_LIST: Span = Span::from_millis(100);
/// Changes of the engine list are told together once in this share of the time that
/// a leaving engine serves on, in percent. The rest is for the answer on its way and
/// a busy machine; each look less is a call less for each machine.
const BATCH_PERCENT: u64 = 75;
/// First pause after a failure, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Whether a watcher is wanted; it ends soon after this is cleared.
pub type Wanted = Rc<Cell<bool>>;

/// Objects of a kind that are known just now, as whoever takes the updates counts them.
pub type ObjectCount = Rc<Cell<usize>>;

/// How long a list of a kind takes.
#[derive(Clone, Copy, Debug)]
struct ListTime {
    per_object: Duration,
}

impl Default for ListTime {
    fn default() -> Self {
        Self {
            per_object: UNSEEN_LIST_TIME,
        }
    }
}

impl ListTime {
    /// A list took so long.
    fn learn(&mut self, took: Duration, objects: usize) {
        if objects >= TELLING_LIST {
            self.per_object = took / objects as u32;
        }
    }

    /// How long one of so many objects would take.
    fn expected(&self, objects: usize) -> Duration {
        self.per_object * objects as u32
    }
}

/// How a kind is followed.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// How long a watch may wait at the store.
    pub wait: Span,
    /// Least time between the starts of two watches.
    pub pace: Duration,
    /// How long a page of a list is waited for at most.
    pub page: Duration,
}

impl WatchTiming {
    /// Changes are told at once.
    pub fn prompt(settings: &ServerSettings) -> Self {
        let kept_back = WATCH_SLACK.as_millis() as u64 + WATCH_MARGIN_MS;
        let wait = settings.contact_ms.saturating_sub(kept_back);
        let page = settings.contact_ms.saturating_sub(LIST_MARGIN_MS);
        Self {
            wait: Span::from_millis(wait.clamp(MIN_WAIT_MS, MAX_WAIT_MS)),
            pace: Duration::ZERO,
            page: Duration::from_millis(page.max(MIN_PAGE_MS)),
        }
    }

    /// Time after which a watch without an answer counts as lost.
    pub fn lost_after(&self) -> Duration {
        Duration::from_micros(self.wait.0) + WATCH_SLACK
    }

    /// How long the watch after a list waits: the list proves what was when it began, and one
    /// of thousands of objects takes so long that others would find it too old before a whole
    /// wait proves more.
    fn wait_after_list(&self, took: Duration) -> Span {
        let took = Span::from_millis(took.as_millis() as u64);
        let left = Span(self.wait.0.saturating_sub(took.0));
        left.max(LEAST_WAIT_AFTER_LIST).min(self.wait)
    }

    /// A watch that is lost without a sign is followed by a list. Who takes news from this
    /// machine waits for both, so the longer a list is, the sooner a lost watch must show.
    fn beside_lists_of(self, took: Duration) -> Self {
        let took = took.as_micros() as u64;
        let left = Span(self.wait.0.saturating_sub(took));
        let wait = left.max(Span(self.wait.0 / LONGEST_LIST_DIVISOR));
        let shortened = Duration::from_micros(self.wait.0 - wait.0);
        Self {
            wait,
            pace: self.pace.saturating_sub(shortened),
            ..self
        }
    }

    /// For a machine from which others take what it reads: a watch that was lost without
    /// a sign must be noticed while there is time for them to look elsewhere.
    pub fn published(settings: &ServerSettings) -> Self {
        Self {
            wait: settings.mirror_timing().watch_interval,
            ..Self::prompt(settings)
        }
    }

    /// The same for the engine list, whose changes are told together.
    pub fn published_batched(settings: &ServerSettings) -> Self {
        let published = Self::published(settings);
        Self {
            pace: Duration::from_micros(published.wait.0),
            ..published
        }
    }

    /// Changes of the engine list are told together, well within the time that
    /// a leaving engine goes on serving.
    pub fn batched(settings: &ServerSettings) -> Self {
        Self {
            pace: Duration::from_millis(settings.engine_drain_ms * BATCH_PERCENT / 100),
            ..Self::prompt(settings)
        }
    }
}

/// Follows a kind while it is wanted.
pub async fn watch(
    store: StoreClient,
    kind: ObjectKind,
    timing: WatchTiming,
    wanted: Wanted,
    known: ObjectCount,
    updates: UnboundedSender<StoreUpdate>,
) {
    let mut pause = FIRST_PAUSE;
    let mut revision = None;
    let mut listing = Listing::new(kind, timing.page);
    let mut lost = false;
    let mut first_wait = None;
    let mut list_time = ListTime::default();
    while wanted.get() && !updates.is_closed() {
        let begun = BootInstant::now();
        let usual = timing.beside_lists_of(list_time.expected(known.get()));
        let step = match revision {
            None => list(&store, &mut listing, &updates).await,
            Some(revision) => {
                let timing = WatchTiming {
                    wait: first_wait.take().unwrap_or(usual.wait),
                    ..usual
                };
                follow(&store, kind, timing, revision, &updates).await
            }
        };
        if revision.is_none() {
            let took = begun.elapsed();
            first_wait = Some(timing.wait_after_list(took));
            if let Ok(Some(_)) = step {
                list_time.learn(took, known.get());
            }
        }
        match step {
            Ok(next) => {
                if lost {
                    log::info!("dependency=regained kind={kind:?}");
                }
                lost = false;
                pause = FIRST_PAUSE;
                revision = next;
                let rest = usual.pace.saturating_sub(begun.elapsed());
                if !rest.is_zero() && revision.is_some() {
                    monoio::time::sleep(rest).await;
                }
            }
            Err(reason) => {
                if !lost {
                    log::warn!("dependency=lost kind={kind:?} reason={reason}");
                }
                lost = true;
                // A store that drops its history leaves watches from before
                // without a word, also one that begins just then: only a list
                // shows what was missed.
                revision = None;
                // Not all machines that have lost the store come back to it at
                // the same moment.
                monoio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Goes on with a list; the revision to watch from once it is whole.
async fn list(
    store: &StoreClient,
    listing: &mut Listing,
    updates: &UnboundedSender<StoreUpdate>,
) -> Result<Option<u64>, String> {
    let Listed {
        at,
        objects,
        revision,
    } = listing.finish(store).await?;
    let kind = listing.kind();
    let _ = updates.unbounded_send(StoreUpdate::Listed {
        kind,
        at,
        revision,
        objects,
    });
    Ok(Some(revision))
}

async fn follow(
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
        wait: timing.wait,
    };
    match store.call(&call, timing.lost_after()).await {
        Ok(StoreResponse::Events { events, revision }) => {
            // Who waited to the end without any change was told so after that time.
            let is_whole_wait = steady_now().since(at) >= timing.wait;
            let at = match events.is_empty() && is_whole_wait {
                true => at + timing.wait,
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
