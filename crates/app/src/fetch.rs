//! One request and its whole response.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use peatgrade_runtime::{HttpClient, SendOptions};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponsePart};
use std::time::Duration;

/// Longest silence of the other side.
const SILENCE: Duration = Duration::from_secs(10);

/// Status and body of a response.
pub async fn fetch(address: &str, request: HttpRequest) -> Result<(u16, Vec<u8>), HttpFailure> {
    let (parts, mut received) = unbounded();
    let client = HttpClient::<u8>::new(parts);
    let _cancel = client.send(0, address, request, SendOptions::with_read_timeout(SILENCE));
    let mut status = 0;
    let mut body = Vec::new();
    while let Some((_, part)) = received.next().await {
        match part {
            ResponsePart::Head(head) => status = head.status,
            ResponsePart::Data(data) => body.extend_from_slice(&data),
            ResponsePart::End => return Ok((status, body)),
            ResponsePart::Failed(failure) => return Err(failure),
        }
    }
    Err(HttpFailure {
        peer: address.to_string(),
        step: HttpStep::Head,
        reason: "no response".into(),
    })
}
