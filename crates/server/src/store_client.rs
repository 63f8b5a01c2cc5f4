//! Calls to the object store.

use peatgrade_ports::{Codec, StoreCall, StoreReply};
use peatgrade_runtime::{HttpClient, SendOptions};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

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
}

impl StoreClient {
    /// A client of the store at `address`.
    pub fn new(address: &str, codec: Rc<dyn Codec>) -> Self {
        let (parts, _) = futures_channel::mpsc::unbounded();
        Self {
            address: Rc::new(RefCell::new(address.to_string())),
            codec,
            http: Rc::new(HttpClient::new(parts)),
        }
    }

    /// Calls go to another address from now on, for all who share this client.
    pub fn set_address(&self, address: &str) {
        *self.address.borrow_mut() = address.to_string();
    }

    /// Sends a call and waits for its reply.
    pub async fn call(&self, call: &StoreCall, timeout: Duration) -> Result<StoreReply, NoReply> {
        let request = self.codec.store_request(call);
        let address = self.address.borrow().clone();
        let options = SendOptions::reusing(timeout);
        let fetch = self.http.fetch(&address, request, options);
        let whole = monoio::time::timeout(timeout, fetch).await;
        let (status, body) = whole
            .map_err(|_| NoReply("timeout".into()))?
            .map_err(|failure| NoReply(failure.to_string()))?;
        Ok(self.codec.store_reply(call, status, &body))
    }
}
