//! Client of the object store.

use peatgrade_ports::{Codec, ObjectKind, StoreRequest, StoreResponse};
use peatgrade_runtime::{HttpClient, SendOptions};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::metrics::Metrics;

/// Limit of a response. A watch may return many objects after an outage.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// A call that received no response. The store may still execute it.
#[derive(Debug, thiserror::Error)]
#[error("object store: {0}")]
pub struct StoreCallError(pub String);

/// Calls the object store over pooled connections, and counts the calls by purpose and
/// outcome. Clones share the connections and the address.
#[derive(Clone)]
pub struct StoreClient {
    address: Rc<RefCell<String>>,
    codec: Rc<dyn Codec>,
    http: Rc<HttpClient<()>>,
    metrics: Metrics,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: &str, codec: Rc<dyn Codec>, metrics: Metrics) -> Self {
        let (parts, _) = futures_channel::mpsc::unbounded();
        Self {
            address: Rc::new(RefCell::new(address.to_string())),
            codec,
            http: Rc::new(HttpClient::new(parts)),
            metrics,
        }
    }

    /// Metrics of the process, for what its calls show.
    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Changes the address for all clones of this client.
    pub fn set_address(&self, address: &str) {
        *self.address.borrow_mut() = address.to_string();
    }

    /// Sends a call and waits for the response.
    pub async fn call(
        &self,
        call: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreCallError> {
        let reply = self.send(call, timeout).await;
        let labels = [purpose_label(call), outcome_label(&reply)];
        self.metrics.store_calls.with_label_values(&labels).inc();
        reply
    }

    async fn send(
        &self,
        call: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreCallError> {
        let request = self.codec.store_request(call);
        let address = self.address.borrow().clone();
        let options = SendOptions {
            max_body_bytes: MAX_RESPONSE_BYTES,
            ..SendOptions::with_read_timeout(timeout)
        };
        let fetch = self.http.fetch(&address, request, options);
        let response = monoio::time::timeout(timeout, fetch).await;
        let (status, body) = response
            .map_err(|_| StoreCallError("timeout".into()))?
            .map_err(|failure| StoreCallError(failure.to_string()))?;
        Ok(self.codec.store_response(call, status, &body))
    }
}

/// Value of the `purpose` label of a call.
fn purpose_label(call: &StoreRequest) -> &'static str {
    use ObjectKind::{Configuration, Engines, Groups, Replicas, Retirements, Versions};
    match call {
        StoreRequest::List { kind, .. } => match kind {
            Configuration => "list_configuration",
            Engines => "list_engines",
            Versions => "list_versions",
            Retirements => "list_retirements",
            Replicas => "list_replicas",
            Groups => "list_groups",
        },
        StoreRequest::Watch { kind, .. } => match kind {
            Configuration => "watch_configuration",
            Engines => "watch_engines",
            Versions => "watch_versions",
            Retirements => "watch_retirements",
            Replicas => "watch_replicas",
            Groups => "watch_groups",
        },
        StoreRequest::Get { stale: true, .. } => "get_stale",
        StoreRequest::Get { stale: false, .. } => "get",
        StoreRequest::Write(_) => "write",
    }
}

/// Value of the `outcome` label of a call.
fn outcome_label(reply: &Result<StoreResponse, StoreCallError>) -> &'static str {
    match reply {
        Ok(StoreResponse::Page(_) | StoreResponse::Events { .. } | StoreResponse::Object(..)) => {
            "done"
        }
        Ok(StoreResponse::Missing) => "missing",
        Ok(StoreResponse::Conflict) => "conflict",
        Ok(StoreResponse::Compacted) => "compacted",
        Ok(StoreResponse::Refused) => "refused",
        Ok(StoreResponse::Unreadable(_)) => "unreadable",
        Err(_) => "no_reply",
    }
}
