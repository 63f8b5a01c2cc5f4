//! The translation that a wire needs.

use bytes::Bytes;
use peatgrade_types::http::{HttpRequest, ResponseHead};

use crate::caller::{BadRequest, CallerMessage, CallerRequest, CallerResponse, Submission};
use crate::engine::{EngineReport, EngineRequest, EngineResponseHead, EventDecoder, OrderResponse};
use crate::store::{StoreRequest, StoreResponse};
use crate::usage::{UsageReport, UsageReportResponse};

/// Translates between a wire's HTTP messages and typed ones. Pure functions.
pub trait Codec {
    /// Whether a request asks if this node is ready.
    fn is_readiness_check(&self, request: &HttpRequest) -> bool;
    /// What a caller's request asks for.
    fn caller_message(&self, request: HttpRequest) -> CallerMessage;
    /// A request on a batch route as a submission.
    fn submission(&self, request: &CallerRequest) -> Result<Submission, BadRequest>;
    /// An answer of this system.
    fn caller_response(&self, response: &CallerResponse) -> (ResponseHead, Bytes);
    /// An engine's answer as it goes back to the caller.
    fn forwarded_response_head(&self, head: &ResponseHead, request: &CallerRequest)
        -> ResponseHead;

    /// A request to an engine.
    fn engine_request(&self, call: &EngineRequest) -> HttpRequest;
    /// What the head of an engine's answer says.
    fn engine_response_head(&self, head: &ResponseHead) -> EngineResponseHead;
    /// A reader of a generation's events.
    fn event_decoder(&self) -> Box<dyn EventDecoder>;
    /// An engine's account of itself.
    fn engine_report(&self, body: &[u8]) -> Option<EngineReport>;
    /// What a status means in answer to an order.
    fn order_response(&self, status: u16) -> OrderResponse;

    /// A request to the object store.
    fn store_request(&self, call: &StoreRequest) -> HttpRequest;
    /// The store's answer.
    fn store_response(&self, call: &StoreRequest, status: u16, body: &[u8]) -> StoreResponse;

    /// A report of usage to the platform.
    fn usage_request(&self, report: &UsageReport) -> HttpRequest;
    /// What a status means in answer to a duty's call.
    fn usage_report_response(&self, status: u16) -> UsageReportResponse;
}
