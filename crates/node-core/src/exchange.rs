//! Responses that are wanted whole.

use peatgrade_types::http::{HttpFailure, ResponsePart};
use std::collections::BTreeMap;

use crate::event::HttpId;

/// Status and body of a whole response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Whole {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Whole {
    /// The body read as JSON, if the status is 200.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        let parsed = serde_json::from_slice(&self.body).ok();
        parsed.filter(|_| self.status == 200)
    }
}

/// How a request ended.
pub(crate) type Ended = Result<Whole, HttpFailure>;

/// Responses of which parts have arrived.
#[derive(Debug, Default)]
pub(crate) struct Exchanges {
    open: BTreeMap<HttpId, Whole>,
}

impl Exchanges {
    /// Takes in a part; returns the end of the request, if this was its last.
    pub fn collect(&mut self, id: HttpId, part: ResponsePart) -> Option<Ended> {
        match part {
            ResponsePart::Head(head) => {
                self.open.entry(id).or_default().status = head.status;
                None
            }
            ResponsePart::Data(data) => {
                self.open
                    .entry(id)
                    .or_default()
                    .body
                    .extend_from_slice(&data);
                None
            }
            ResponsePart::End => Some(Ok(self.open.remove(&id).unwrap_or_default())),
            ResponsePart::Failed(failure) => {
                self.open.remove(&id);
                Some(Err(failure))
            }
        }
    }
}
