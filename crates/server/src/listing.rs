//! Reads all objects of a kind, page by page.
//!
//! A large fleet does not fit one page, and when many machines start together
//! the store is busy for seconds. So a list that is cut goes on behind the last
//! object that arrived. A page that does not come is asked for again while the
//! first call goes on: a busy store may still answer it, but one that was asked
//! while the store was silent never is, and must not keep this machine from
//! hearing of the store's return. What changes meanwhile is told by a watch from
//! the revision of the first page.

use futures_util::future::select_all;
use peatgrade_ports::{ObjectKind, StoreObject, StoreRequest, StoreResponse};
use peatgrade_runtime::BootInstant;
use peatgrade_types::Time;
use std::future::Future;
use std::time::Duration;

use crate::clock::steady_now;
use crate::store_client::{NoReply, StoreClient};

/// Time after which a page is asked for again, at first.
const FIRST_PATIENCE: Duration = Duration::from_millis(800);
/// Time after which a call for a page counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(6_400);
/// Calls for one page under way together.
const MAX_CALLS: usize = 3;
/// How long a list in one go may take.
const ONE_GO_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A list that took longer than this begins anew: the history after its first
/// page may be gone.
const MAX_AGE: Duration = Duration::from_secs(12);

/// All objects of a kind.
#[derive(Debug)]
pub struct Listed {
    /// When the list began.
    pub at: Time,
    /// Names and objects.
    pub objects: Vec<(String, StoreObject)>,
    /// Revision from which changes are missing.
    pub revision: u64,
}

/// A list under way.
#[derive(Debug)]
pub struct Listing {
    kind: ObjectKind,
    begun: Option<(BootInstant, Time, u64)>,
    objects: Vec<(String, StoreObject)>,
    patience: Duration,
    longest: Duration,
}

impl Listing {
    /// A list that has not begun, whose pages are asked for again after `longest`
    /// at the latest.
    pub fn new(kind: ObjectKind, longest: Duration) -> Self {
        Self {
            kind,
            begun: None,
            objects: Vec::new(),
            patience: FIRST_PATIENCE.min(longest),
            longest,
        }
    }

    /// The kind that is listed.
    pub fn kind(&self) -> ObjectKind {
        self.kind
    }

    /// Reads the pages that are missing. After an error the next call goes on
    /// with them.
    pub async fn finish(&mut self, store: &StoreClient) -> Result<Listed, String> {
        if self.begun.is_some_and(|(at, ..)| at.elapsed() > MAX_AGE) {
            self.begin_anew();
        }
        loop {
            let (instant, at) = (BootInstant::now(), steady_now());
            let page = match self.next_page(store).await? {
                StoreResponse::Page(page) => page,
                other => return Err(format!("list: {other:?}")),
            };
            let (_, at, revision) = *self.begun.get_or_insert((instant, at, page.revision));
            // Pages go on behind a name. Without one the rest can't be asked for, and must
            // not count as gone.
            let more = page.more;
            if more && page.objects.iter().all(|(name, _)| name.is_empty()) {
                self.begin_anew();
                return Err("list: a page without any name".into());
            }
            self.objects.extend(page.objects);
            if !more {
                let objects = std::mem::take(&mut self.objects);
                self.begin_anew();
                self.patience = FIRST_PATIENCE.min(self.longest);
                return Ok(Listed {
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
        while calls.len() < MAX_CALLS {
            calls.push(Box::pin(store.call(&call, CALL_TIMEOUT)));
            let answer = monoio::time::timeout(self.patience, first_of(&mut calls));
            match answer.await {
                Ok(Ok(reply)) => return Ok(reply),
                // The store has refused it, or cannot be reached.
                Ok(Err(error)) => return Err(format!("list: {error}")),
                Err(_) => {
                    let waited = self.patience.as_millis();
                    log::warn!(
                        "dependency=slow kind={:?} calls={} waited_ms={waited}",
                        self.kind,
                        calls.len()
                    );
                    self.patience = (self.patience * 2).min(self.longest);
                }
            }
        }
        Err(format!("list: no answer to {MAX_CALLS} calls"))
    }

    /// The last name that could be read.
    fn last_name(&self) -> Option<String> {
        let mut names = self.objects.iter().rev().map(|(name, _)| name);
        names.find(|name| !name.is_empty()).cloned()
    }

    fn begin_anew(&mut self) {
        self.begun = None;
        self.objects.clear();
    }
}

/// The first reply to any of the calls; an error once all of them have failed.
async fn first_of<F>(calls: &mut Vec<F>) -> Result<StoreResponse, NoReply>
where
    F: Future<Output = Result<StoreResponse, NoReply>> + Unpin,
{
    loop {
        let (ended, index, _) = select_all(calls.iter_mut()).await;
        drop(calls.swap_remove(index));
        if ended.is_ok() || calls.is_empty() {
            return ended;
        }
    }
}

/// All objects of a kind, in one go.
pub async fn list_all(
    store: &StoreClient,
    kind: ObjectKind,
) -> Result<Vec<(String, StoreObject)>, String> {
    let mut listing = Listing::new(kind, FIRST_PATIENCE);
    let listed = monoio::time::timeout(ONE_GO_TIMEOUT, listing.finish(store));
    let listed = listed.await.map_err(|_| "list: timeout".to_string())??;
    Ok(listed.objects)
}
