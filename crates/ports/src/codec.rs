//! Translation between a wire protocol and typed messages.

use bytes::Bytes;
use peatgrade_types::http::{HttpRequest, ResponseHead};

use crate::caller::{BadRequest, CallerMessage, CallerRequest, CallerResponse, Submission};
use crate::engine::{EngineReport, EngineRequest, EngineResponseHead, EventDecoder, OrderResponse};
use crate::store::{StoreRequest, StoreResponse};
use crate::usage::{UsageReport, UsageReportResponse};

/// Translates between HTTP messages of a wire protocol and typed ones.
///
/// Implementations are pure functions.
pub trait Codec {
    /// Whether a request is a readiness check of this node.
    fn is_readiness_check(&self, request: &HttpRequest) -> bool;
    /// Parses a caller's request.
    fn caller_message(&self, request: HttpRequest) -> CallerMessage;
    /// Parses a request on a batch route as the submission of a job.
    fn submission(&self, request: &CallerRequest) -> Result<Submission, BadRequest>;
    /// Upper estimate of the memory that one decoded copy of a submission takes up, from a look
    /// at its body.
    fn submission_bytes(&self, request: &CallerRequest) -> usize {
        request.http.body.len()
    }
    /// Encodes a response that originates in this system.
    fn caller_response(&self, response: &CallerResponse) -> (ResponseHead, Bytes);
    /// Head of an engine's response as forwarded to the caller.
    fn forwarded_response_head(&self, head: &ResponseHead, request: &CallerRequest)
        -> ResponseHead;

    /// Encodes a request to an engine.
    fn engine_request(&self, request: &EngineRequest) -> HttpRequest;
    /// Header that names a request to an engine and that engines repeat in their responses.
    fn request_id_header(&self) -> Option<&'static str> {
        None
    }
    /// Parses the head of an engine's response.
    fn engine_response_head(&self, head: &ResponseHead) -> EngineResponseHead;
    /// Creates a decoder for one event stream.
    fn event_decoder(&self) -> Box<dyn EventDecoder>;
    /// Parses an engine's report; `None` if the body is invalid.
    fn engine_report(&self, body: &[u8]) -> Option<EngineReport>;
    /// Interprets the status code of the response to an order.
    fn order_response(&self, status: u16) -> OrderResponse;

    /// Encodes a request to the object store.
    fn store_request(&self, request: &StoreRequest) -> HttpRequest;
    /// Parses the object store's response to a request.
    fn store_response(&self, request: &StoreRequest, status: u16, body: &[u8]) -> StoreResponse;

    /// Encodes a usage report to the platform.
    fn usage_request(&self, report: &UsageReport) -> HttpRequest;
    /// Interprets the status code of the response to a usage report.
    fn usage_report_response(&self, status: u16) -> UsageReportResponse;
}
