//! Calls to the object store.

use peatgrade_ports::{Codec, ObjectKind, StoreRequest, StoreResponse};
use peatgrade_runtime::{HttpClient, SendOptions};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::metrics::Metrics;

/// Why a call has no reply. The store may still carry it out, now or later.
#[derive(Debug, thiserror::Error)]
#[error("object store: {0}")]
pub struct NoReply(pub String);

/// Calls the object store over kept connections.
#[derive(Clone)]
pub struct StoreClient {
    address: Rc<RefCell<String>>,
    codec: Rc<dyn Codec>,
    http: Rc<HttpClient<()>>,
    metrics: Metrics,
}

impl StoreClient {
    /// A client of the store at `address`.
    ///
    /// Each call has its price, so they are counted by purpose and outcome.
    pub fn new(address: &str, codec: Rc<dyn Codec>, metrics: Metrics) -> Self {
        let (parts, _) = futures_channel::mpsc::unbounded();
        Self {
            address: Rc::new(RefCell::new(address.to_string())),
            codec,
            http: Rc::new(HttpClient::new(parts)),
            metrics,
        }
    }

    /// Calls go to another address from now on, for all who share this client.
    pub fn set_address(&self, address: &str) {
        *self.address.borrow_mut() = address.to_string();
    }

    /// Sends a call and waits for its reply.
    pub async fn call(
        &self,
        call: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreResponse, NoReply> {
        let reply = self.exchange(call, timeout).await;
        let labels = [purpose_of(call), outcome_of(&reply)];
        self.metrics.store_calls.with_label_values(&labels).inc();
        reply
    }

    async fn exchange(
        &self,
        call: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreResponse, NoReply> {
        let request = self.codec.store_request(call);
        let address = self.address.borrow().clone();
        let options = SendOptions::with_read_timeout(timeout);
        let fetch = self.http.fetch(&address, request, options);
        let whole = monoio::time::timeout(timeout, fetch).await;
        let (status, body) = whole
            .map_err(|_| NoReply("timeout".into()))?
            .map_err(|failure| NoReply(failure.to_string()))?;
        Ok(self.codec.store_response(call, status, &body))
    }
}

/// What a call is for.
fn purpose_of(call: &StoreRequest) -> &'static str {
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

/// What came of a call.
fn outcome_of(reply: &Result<StoreResponse, NoReply>) -> &'static str {
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
