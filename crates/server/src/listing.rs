//! Lists all objects of a kind, page by page.
//!
//! After an error, a list continues after the last object received. If a page does not arrive
//! in time, it is requested again while the earlier call continues: a busy store may still
//! answer that call, but one that was sent during an outage may never be answered. Changes
//! made during the list are received by a watch from the revision of the first page.
//!
//! A list always ends: each page brings new objects, or the list goes on from another position
//! (see [`position`]), of which there are few. If none is left, the objects received are returned
//! as an incomplete list, in which a missing object may still exist. So are those of a list whose
//! pages started after objects that changed meanwhile (see [`page_starts`]).

use futures_util::future::select_all;
use peatgrade_ports::{
    ListCursor, ObjectKind, ObjectPage, StoreObject, StoreRequest, StoreResponse,
};
use peatgrade_runtime::BootInstant;
use peatgrade_types::Time;
use std::future::Future;
use std::time::Duration;

use crate::clock::steady_now;
use crate::log_text::shortened;
use crate::metrics::Metrics;
use crate::store_client::{StoreCallError, StoreClient};
use page_starts::{ListRevisions, PageStarts};
use position::ListPosition;
use received::ReceivedObjects;

mod page_starts;
mod position;
mod received;

/// Initial time after which a page is requested again; doubles up to a maximum.
const INITIAL_PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a single call for a page.
const CALL_TIMEOUT: Duration = Duration::from_millis(6_400);
/// Maximum number of concurrent calls for one page.
const MAX_CONCURRENT_CALLS: usize = 3;
/// Timeout of [`list_all`].
const LIST_ALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age from which an unfinished list is restarted after an error, because the store may have
/// compacted the revisions after its first page.
const MAX_LIST_AGE: Duration = Duration::from_secs(12);
/// Age from which an unfinished list ends even while pages arrive.
const MAX_LIST_DURATION: Duration = Duration::from_secs(60);
/// Times that a list starts again because objects changed after which its pages started.
const MAX_REPEATS: u32 = 2;
/// Age from which the objects of an unfinished list are used after an error.
const PARTIAL_RESULT_AGE: Duration = Duration::from_secs(3);

/// A list of the objects of a kind.
#[derive(Debug)]
pub struct ListResult {
    /// Time at which the list started.
    pub at: Time,
    /// Objects with their names.
    pub objects: Vec<(String, StoreObject)>,
    /// Revision from which to watch for changes.
    pub revision: u64,
    /// Whether all objects of the kind were received.
    pub complete: bool,
}

/// Start of a list.
#[derive(Clone, Copy, Debug)]
struct ListStart {
    instant: BootInstant,
    at: Time,
    /// Revision of the first page.
    revision: u64,
}

/// A list in progress.
#[derive(Debug)]
pub struct PagedList {
    kind: ObjectKind,
    started: Option<ListStart>,
    received: ReceivedObjects,
    position: ListPosition,
    page_starts: PageStarts,
    /// Times that the list has started again since the last one ended.
    repeats: u32,
    pages: u64,
    /// Positions after which the list could not be continued.
    unusable_positions: u64,
    /// Whether the list went on behind a name that could not be read.
    skips_objects: bool,
    /// Whether [`PagedList::partial_result`] has returned the objects of this list.
    has_partial_result: bool,
    page_timeout: Duration,
    max_page_timeout: Duration,
}

impl PagedList {
    /// Creates a list that has not started. Pages are requested again after at most
    /// `max_page_timeout`.
    pub fn new(kind: ObjectKind, max_page_timeout: Duration) -> Self {
        Self {
            kind,
            started: None,
            received: ReceivedObjects::default(),
            position: ListPosition::default(),
            page_starts: PageStarts::default(),
            repeats: 0,
            pages: 0,
            unusable_positions: 0,
            skips_objects: false,
            has_partial_result: false,
            page_timeout: INITIAL_PAGE_TIMEOUT.min(max_page_timeout),
            max_page_timeout,
        }
    }

    pub fn kind(&self) -> ObjectKind {
        self.kind
    }

    /// Fetches the remaining pages. After an error, the next call continues with them.
    pub async fn fetch_remaining(&mut self, store: &StoreClient) -> Result<ListResult, String> {
        if self.age() > MAX_LIST_AGE {
            self.log_end(false, "too-old");
            self.restart();
        }
        loop {
            if self.age() > MAX_LIST_DURATION {
                return self.end(store, false, "takes-too-long");
            }
            if self.received.is_full() {
                return self.end(store, false, "too-many-objects");
            }
            let (instant, at) = (BootInstant::now(), steady_now());
            let unusable_because = match self.next_page(store).await {
                Ok(StoreResponse::Page(page)) => {
                    let revision = page.revision;
                    self.started.get_or_insert(ListStart {
                        instant,
                        at,
                        revision,
                    });
                    let has_more = page.more;
                    let page_start = self.position.cursor().cloned();
                    let advances = self.add_page(store.metrics(), page);
                    if let Some(cursor) = page_start.filter(|_| advances || !has_more) {
                        self.page_starts.record(&cursor);
                    }
                    if !has_more {
                        match self.end_after_last_page(store, revision).await? {
                            Some(list) => return Ok(list),
                            None => continue,
                        }
                    }
                    if advances {
                        continue;
                    }
                    "nothing new after it".to_string()
                }
                Ok(StoreResponse::Refused) => return Err("list: refused by the store".into()),
                Ok(other) if self.started.is_some() => rejection_reason(&other),
                Ok(other) => return Err(format!("list: unexpected response {other:?}")),
                Err(error) => {
                    if self.position.record_lost_call() {
                        self.leave_position(store.metrics(), &error);
                    }
                    return Err(error);
                }
            };
            if !self.leave_position(store.metrics(), &unusable_because) {
                return self.end(store, false, "no-usable-position");
            }
        }
    }

    /// Returns the objects received, once in a list that is unfinished for long. The list
    /// continues.
    pub fn partial_result(&mut self) -> Option<ListResult> {
        if self.has_partial_result || self.age() < PARTIAL_RESULT_AGE {
            return None;
        }
        self.has_partial_result = true;
        self.log_end(false, "unfinished");
        self.received_so_far()
    }

    /// The objects received; none before the first page.
    fn received_so_far(&self) -> Option<ListResult> {
        let start = self.started?;
        Some(ListResult {
            at: start.at,
            objects: self.received.objects().to_vec(),
            revision: start.revision,
            complete: false,
        })
    }

    fn age(&self) -> Duration {
        let age = self.started.map(|start| start.instant.elapsed());
        age.unwrap_or_default()
    }

    /// Adds a page. Returns whether it brought new objects, after which the list continues.
    fn add_page(&mut self, metrics: &Metrics, page: ObjectPage) -> bool {
        self.pages += 1;
        let names = page.objects.iter().map(|(name, _)| name);
        let names = names.filter(|name| !name.is_empty()).cloned();
        let cursors: Vec<ListCursor> = names.map(ListCursor::from).collect();
        if self.received.add(page.objects) {
            self.position.advance(cursors);
            return true;
        }
        if !page.more {
            return false;
        }
        let mut cursors = page.cursors_behind_last;
        let first = cursors.first();
        if first.is_some_and(|cursor| self.received.add_unreadable_name(cursor)) {
            metrics.count("list_page_unreadable");
            log::warn!(
                "belief=list-page-unreadable kind={:?} pages={} objects={}",
                self.kind,
                self.pages,
                self.received.len()
            );
            self.skips_objects = true;
            cursors.reverse();
            self.position.advance(cursors);
            return true;
        }
        metrics.count("list_page_repeated");
        false
    }

    /// Continues from an earlier position. Returns false if there is none.
    fn leave_position(&mut self, metrics: &Metrics, reason: &str) -> bool {
        let Some(cursor) = self.position.cursor() else {
            return false;
        };
        self.unusable_positions += 1;
        metrics.count("list_position_unusable");
        let name = String::from_utf8_lossy(&cursor.0);
        let (name, reason) = (shortened(&name), shortened(reason));
        log::warn!(
            "belief=list-position-unusable kind={:?} name={name:?} pages={} objects={} reason={reason:?}",
            self.kind,
            self.pages,
            self.received.len()
        );
        self.position.step_back()
    }

    /// Ends the list after the page at `last_revision`, or starts it again if it may lack objects.
    async fn end_after_last_page(
        &mut self,
        store: &StoreClient,
        last_revision: u64,
    ) -> Result<Option<ListResult>, String> {
        if self.skips_objects {
            return self.end(store, false, "unreadable-page").map(Some);
        }
        let revisions = ListRevisions {
            first: self.started.map_or(last_revision, |start| start.revision),
            last: last_revision,
        };
        let check =
            self.page_starts
                .may_have_changed(store, self.kind, revisions, self.max_page_timeout);
        if !check.await? {
            return self.end(store, true, "last-page").map(Some);
        }
        store.metrics().count("list_page_start_changed");
        if self.repeats == MAX_REPEATS {
            return self.end(store, false, "page-start-changed").map(Some);
        }
        self.log_end(false, "repeated");
        let repeats = self.repeats + 1;
        self.restart();
        self.repeats = repeats;
        Ok(None)
    }

    /// Ends the list and returns its objects.
    fn end(
        &mut self,
        store: &StoreClient,
        complete: bool,
        reason: &str,
    ) -> Result<ListResult, String> {
        let start = self.started.ok_or("list: not started")?;
        if !complete {
            store.metrics().count("list_incomplete");
        }
        self.log_end(complete, reason);
        let objects = self.received.take();
        self.restart();
        self.page_timeout = INITIAL_PAGE_TIMEOUT.min(self.max_page_timeout);
        Ok(ListResult {
            at: start.at,
            objects,
            revision: start.revision,
            complete,
        })
    }

    fn log_end(&self, complete: bool, reason: &str) {
        let level = if complete {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        log::log!(
            level,
            "belief=list kind={:?} complete={complete} reason={reason} pages={} objects={} \
             unreadable={} unusable_positions={} age_ms={}",
            self.kind,
            self.pages,
            self.received.len(),
            self.received.unreadable(),
            self.unusable_positions,
            self.age().as_millis()
        );
    }

    async fn next_page(&mut self, store: &StoreClient) -> Result<StoreResponse, String> {
        let call = StoreRequest::List {
            kind: self.kind,
            after: self.position.cursor().cloned(),
        };
        let mut calls = Vec::new();
        while calls.len() < MAX_CONCURRENT_CALLS {
            calls.push(Box::pin(store.call(&call, CALL_TIMEOUT)));
            let answer = monoio::time::timeout(self.page_timeout, first_reply(&mut calls));
            match answer.await {
                Ok(Ok(reply)) => return Ok(reply),
                // The store rejected the call or is unreachable.
                Ok(Err(error)) => return Err(format!("list: {error}")),
                Err(_) => {
                    let waited_ms = self.page_timeout.as_millis();
                    log::warn!(
                        "dependency=slow kind={:?} calls={} waited_ms={waited_ms}",
                        self.kind,
                        calls.len()
                    );
                    self.page_timeout = (self.page_timeout * 2).min(self.max_page_timeout);
                }
            }
        }
        Err(format!(
            "list: no response to {MAX_CONCURRENT_CALLS} calls for a page"
        ))
    }

    fn restart(&mut self) {
        *self = Self {
            page_timeout: self.page_timeout,
            ..Self::new(self.kind, self.max_page_timeout)
        };
    }
}

/// Why the store returned no page for a position.
fn rejection_reason(response: &StoreResponse) -> String {
    match response {
        StoreResponse::Unreadable(reason) => reason.clone(),
        other => format!("unexpected response {other:?}"),
    }
}

/// Waits for the first successful reply to any of the calls; returns an error once all of
/// them have failed.
async fn first_reply<F>(calls: &mut Vec<F>) -> Result<StoreResponse, StoreCallError>
where
    F: Future<Output = Result<StoreResponse, StoreCallError>> + Unpin,
{
    loop {
        let (reply, index, _) = select_all(calls.iter_mut()).await;
        drop(calls.swap_remove(index));
        if reply.is_ok() || calls.is_empty() {
            return reply;
        }
    }
}

/// Lists all objects of a kind with a single timeout. The list is incomplete if not all pages
/// arrive in that time.
pub async fn list_all(store: &StoreClient, kind: ObjectKind) -> Result<ListResult, String> {
    let mut listing = PagedList::new(kind, INITIAL_PAGE_TIMEOUT);
    let result = monoio::time::timeout(LIST_ALL_TIMEOUT, listing.fetch_remaining(store)).await;
    match result {
        Ok(Ok(list)) => Ok(list),
        Ok(Err(reason)) => listing.received_so_far().ok_or(reason),
        Err(_) => listing
            .received_so_far()
            .ok_or_else(|| "list: timeout".to_string()),
    }
}
