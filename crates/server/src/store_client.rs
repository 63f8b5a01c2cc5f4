//! Calls to the object store.

use peatgrade_ports::{Codec, StoreCall, StoreReply};
use peatgrade_runtime::{HttpClient, SendOptions};
use std::rc::Rc;
use std::time::Duration;

/// Why a call has no reply. The store may still carry it out, now or later.
#[derive(Debug, thiserror::Error)]
#[error("object store: {0}")]
pub struct NoReply(pub String);

/// Calls the object store over kept connections.
#[derive(Clone)]
pub struct StoreClient {
    address: Rc<str>,
    codec: Rc<dyn Codec>,
    http: Rc<HttpClient<()>>,
}

impl StoreClient {
    /// A client of the store at `address`.
    pub fn new(address: &str, codec: Rc<dyn Codec>) -> Self {
        let (parts, _) = futures_channel::mpsc::unbounded();
        Self {
            address: Rc::from(address),
            codec,
            http: Rc::new(HttpClient::new(parts)),
        }
    }

    /// Sends a call and waits for its reply.
    pub async fn call(&self, call: &StoreCall, timeout: Duration) -> Result<StoreReply, NoReply> {
        let request = self.codec.store_request(call);
        let fetch = self
            .http
            .fetch(&self.address, request, SendOptions::reusing(timeout));
        let whole = monoio::time::timeout(timeout, fetch).await;
        let (status, body) = whole
            .map_err(|_| NoReply("timeout".into()))?
            .map_err(|failure| NoReply(failure.to_string()))?;
        Ok(self.codec.store_reply(call, status, &body))
    }
}
