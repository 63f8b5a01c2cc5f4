//! A service that scores samples.

use peatgrade_schema::engine::{ScoreReply, ScoreRequest};
use peatgrade_types::hash_bytes;
use peatgrade_types::http::{HttpRequest, ResponseHead, ResponsePart};

use crate::platform::RequestId;

/// A scorer that answers at once.
#[derive(Debug, Default)]
pub struct ScorerModel {
    out: Vec<(RequestId, ResponsePart)>,
}

impl ScorerModel {
    /// Takes in a request; the score is a function of the text.
    pub fn request(&mut self, id: RequestId, request: &HttpRequest) {
        let parsed = serde_json::from_slice::<ScoreRequest>(&request.body);
        let (status, body) = match parsed {
            Ok(asked) => {
                let score = (hash_bytes(asked.text.as_bytes()) % 1_000) as f64 / 1_000.0;
                let reply = ScoreReply { score };
                (200, serde_json::to_vec(&reply).unwrap_or_default())
            }
            Err(error) => (400, error.to_string().into_bytes()),
        };
        let head = ResponseHead::new(status, "application/json");
        self.out.push((id, ResponsePart::Head(head)));
        self.out.push((id, ResponsePart::Data(body.into())));
        self.out.push((id, ResponsePart::End));
    }

    /// What came out.
    pub fn advance(&mut self) -> Vec<(RequestId, ResponsePart)> {
        std::mem::take(&mut self.out)
    }
}
