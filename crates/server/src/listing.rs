//! Reads all objects of a kind, page by page.
//!
//! A large fleet does not fit one page, and when many machines start together
//! the store is busy for seconds. So a list that is cut goes on behind the last
//! object that arrived, and each page that was lost is waited for longer, up to a
//! bound: a page that was asked for while the store was silent never comes, and
//! must not keep this machine from asking again when the store is back. What
//! changes meanwhile is told by a watch from the revision of the first page.

use peatgrade_ports::{ObjectKind, StoreCall, StoreObject, StoreReply};
use peatgrade_types::Time;
use std::time::{Duration, Instant};

use crate::clock::steady_now;
use crate::store_client::StoreClient;

/// Time after which a page counts as lost at first.
const FIRST_TIMEOUT: Duration = Duration::from_millis(800);
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
    begun: Option<(Instant, Time, u64)>,
    objects: Vec<(String, StoreObject)>,
    timeout: Duration,
    longest: Duration,
}

impl Listing {
    /// A list that has not begun, whose pages are waited for up to `longest`.
    pub fn new(kind: ObjectKind, longest: Duration) -> Self {
        Self {
            kind,
            begun: None,
            objects: Vec::new(),
            timeout: FIRST_TIMEOUT.min(longest),
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
            let (instant, at) = (Instant::now(), steady_now());
            let page = match self.next_page(store).await? {
                StoreReply::Page(page) => page,
                other => return Err(format!("list: {other:?}")),
            };
            let (_, at, revision) = *self.begun.get_or_insert((instant, at, page.revision));
            let more = page.more && !page.objects.is_empty();
            self.objects.extend(page.objects);
            if !more {
                let objects = std::mem::take(&mut self.objects);
                self.begin_anew();
                self.timeout = FIRST_TIMEOUT.min(self.longest);
                return Ok(Listed {
                    at,
                    objects,
                    revision,
                });
            }
        }
    }

    async fn next_page(&mut self, store: &StoreClient) -> Result<StoreReply, String> {
        let call = StoreCall::List {
            kind: self.kind,
            after: self.objects.last().map(|(name, _)| name.clone()),
        };
        let reply = store.call(&call, self.timeout).await;
        reply.map_err(|error| {
            self.timeout = (self.timeout * 2).min(self.longest);
            format!("list: {error}")
        })
    }

    fn begin_anew(&mut self) {
        self.begun = None;
        self.objects.clear();
    }
}

/// All objects of a kind, in one go.
pub async fn list_all(
    store: &StoreClient,
    kind: ObjectKind,
) -> Result<Vec<(String, StoreObject)>, String> {
    let listed = Listing::new(kind, FIRST_TIMEOUT).finish(store).await?;
    Ok(listed.objects)
}
