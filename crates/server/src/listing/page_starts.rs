//! Checks that no object after which a page started has changed while a list was read.
//!
//! A store may list objects by the revision of their last change. An object that changes moves to
//! the end of such a list, and a page that starts after it lacks the objects in between.

use peatgrade_ports::{ListCursor, ObjectKind, StoreRequest, StoreResponse};
use peatgrade_types::{hash_bytes, Duration as Span};
use std::collections::HashSet;
use std::time::Duration;

use crate::store_client::StoreClient;

/// Time for which the store may hold the call for changes; it responds at once if there are any.
const CHANGES_WAIT: Span = Span::from_millis(1);

/// Revisions of the first and the last page of a list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListRevisions {
    pub first: u64,
    pub last: u64,
}

/// Names after which the pages of a list started.
#[derive(Debug, Default)]
pub(super) struct PageStarts {
    /// Hashes of the names.
    names: HashSet<u64>,
}

impl PageStarts {
    /// Records that the list went on with a page after `cursor`.
    pub fn record(&mut self, cursor: &ListCursor) {
        self.names.insert(hash_bytes(&cursor.0));
    }

    /// Whether any of the objects may have changed since the first page.
    pub async fn may_have_changed(
        &self,
        store: &StoreClient,
        kind: ObjectKind,
        revisions: ListRevisions,
        timeout: Duration,
    ) -> Result<bool, String> {
        if self.names.is_empty() || revisions.last == revisions.first {
            return Ok(false);
        }
        let call = StoreRequest::Watch {
            kind,
            revision: revisions.first,
            wait: CHANGES_WAIT,
        };
        match store.call(&call, timeout).await {
            Ok(StoreResponse::Events { events, revision }) => {
                let mut names = events.iter().map(|event| hash_bytes(event.name.as_bytes()));
                Ok(revision < revisions.last || names.any(|name| self.names.contains(&name)))
            }
            Ok(StoreResponse::Compacted) => Ok(true),
            Ok(other) => Err(format!("list: unexpected response to a watch {other:?}")),
            Err(error) => Err(format!("list: {error}")),
        }
    }
}
