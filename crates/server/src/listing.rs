//! Lists all objects of a kind, page by page.
//!
//! After an error, a list continues after the last object received. If a page does not arrive
//! in time, it is requested again while the earlier call continues: a busy store may still
//! answer that call, but one that was sent during an outage may never be answered. Changes
//! made during the list are received by a watch from the revision of the first page.

use futures_util::future::select_all;
use peatgrade_ports::{ObjectKind, StoreObject, StoreRequest, StoreResponse};
use peatgrade_runtime::BootInstant;
use peatgrade_types::Time;
use std::future::Future;
use std::time::Duration;

use crate::clock::steady_now;
use crate::list_progress::ListProgress;
use crate::store_client::{StoreCallError, StoreClient};

/// Initial time after which a page is requested again; doubles up to a maximum.
const INITIAL_PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a single call for a page.
const CALL_TIMEOUT: Duration = Duration::from_millis(6_400);
/// Maximum number of concurrent calls for one page.
const MAX_CONCURRENT_CALLS: usize = 3;
/// Timeout of [`list_all`].
const LIST_ALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age from which an unfinished list is restarted, because the store may have compacted the
/// revisions after its first page.
const MAX_LIST_AGE: Duration = Duration::from_secs(12);

/// A complete list of the objects of a kind.
#[derive(Debug)]
pub struct ListResult {
    /// Time at which the list started.
    pub at: Time,
    /// Objects with their names.
    pub objects: Vec<(String, StoreObject)>,
    /// Revision from which to watch for changes.
    pub revision: u64,
}

/// A list in progress.
#[derive(Debug)]
pub struct PagedList {
    kind: ObjectKind,
    /// Start time on both clocks, and the revision of the first page.
    started: Option<(BootInstant, Time, u64)>,
    objects: Vec<(String, StoreObject)>,
    page_timeout: Duration,
    max_page_timeout: Duration,
    progress: ListProgress,
}

impl PagedList {
    /// Creates a list that has not started. Pages are requested again after at most
    /// `max_page_timeout`.
    pub fn new(kind: ObjectKind, max_page_timeout: Duration) -> Self {
        Self {
            kind,
            started: None,
            objects: Vec::new(),
            page_timeout: INITIAL_PAGE_TIMEOUT.min(max_page_timeout),
            max_page_timeout,
            progress: ListProgress::new(kind),
        }
    }

    pub fn kind(&self) -> ObjectKind {
        self.kind
    }

    /// Fetches the remaining pages. After an error, the next call continues with them.
    pub async fn fetch_remaining(&mut self, store: &StoreClient) -> Result<ListResult, String> {
        if self
            .started
            .is_some_and(|(at, ..)| at.elapsed() > MAX_LIST_AGE)
        {
            self.progress.log_end("restarted");
            self.restart();
        }
        loop {
            let (instant, at) = (BootInstant::now(), steady_now());
            let page = match self.next_page(store).await? {
                StoreResponse::Page(page) => page,
                other => return Err(format!("list: unexpected response {other:?}")),
            };
            let (_, at, revision) = *self.started.get_or_insert((instant, at, page.revision));
            // The next page is requested by the last name of this one. Without a name the rest
            // cannot be fetched, and must not be treated as deleted.
            let has_more = page.more;
            if has_more && page.objects.iter().all(|(name, _)| name.is_empty()) {
                self.restart();
                return Err("list: page without a name to continue after".into());
            }
            self.progress.record_page(store.metrics(), &page.objects);
            self.objects.extend(page.objects);
            if !has_more {
                self.progress.log_end("complete");
                let objects = std::mem::take(&mut self.objects);
                self.restart();
                self.page_timeout = INITIAL_PAGE_TIMEOUT.min(self.max_page_timeout);
                return Ok(ListResult {
                    at,
                    objects,
                    revision,
                });
            }
        }
    }

    async fn next_page(&mut self, store: &StoreClient) -> Result<StoreResponse, String> {
        let call = StoreRequest::List {
            kind: self.kind,
            after: self.last_name(),
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

    /// Returns the name of the last object that has one.
    fn last_name(&self) -> Option<String> {
        let mut names = self.objects.iter().rev().map(|(name, _)| name);
        names.find(|name| !name.is_empty()).cloned()
    }

    fn restart(&mut self) {
        self.started = None;
        self.objects.clear();
        self.progress = ListProgress::new(self.kind);
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

/// Lists all objects of a kind with a single timeout.
pub async fn list_all(
    store: &StoreClient,
    kind: ObjectKind,
) -> Result<Vec<(String, StoreObject)>, String> {
    let mut listing = PagedList::new(kind, INITIAL_PAGE_TIMEOUT);
    let result = monoio::time::timeout(LIST_ALL_TIMEOUT, listing.fetch_remaining(store));
    let list = result.await.map_err(|_| "list: timeout".to_string())??;
    Ok(list.objects)
}
