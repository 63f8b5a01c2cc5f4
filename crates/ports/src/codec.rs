//! The translation that a wire needs.

use bytes::Bytes;
use peatgrade_types::http::{HttpRequest, ResponseHead};

use crate::caller::{Answer, BadRequest, CallerMessage, CallerRequest, Submission};
use crate::duties::{DutyAnswer, UsageReport};
use crate::engine::{AnswerHead, EngineCall, EngineReport, EventReader, OrderAnswer};
use crate::store::{StoreCall, StoreReply};

/// Translates between a wire's HTTP messages and typed ones. Pure functions.
pub trait Codec {
    /// Whether a request asks if this node is ready.
    fn is_ready_check(&self, request: &HttpRequest) -> bool;
    /// What a caller's request asks for.
    fn caller_message(&self, request: HttpRequest) -> CallerMessage;
    /// A request on a batch route as a submission.
    fn submission(&self, request: &CallerRequest) -> Result<Submission, BadRequest>;
    /// An answer of this system.
    fn answer(&self, answer: &Answer) -> (ResponseHead, Bytes);
    /// An engine's answer as it goes back to the caller.
    fn passed_head(&self, head: &ResponseHead, request: &CallerRequest) -> ResponseHead;

    /// A request to an engine.
    fn engine_request(&self, call: &EngineCall) -> HttpRequest;
    /// What the head of an engine's answer says.
    fn answer_head(&self, head: &ResponseHead) -> AnswerHead;
    /// A reader of a generation's events.
    fn event_reader(&self) -> Box<dyn EventReader>;
    /// An engine's account of itself.
    fn report(&self, body: &[u8]) -> Option<EngineReport>;
    /// What a status means in answer to an order.
    fn order_answer(&self, status: u16) -> OrderAnswer;

    /// A request to the object store.
    fn store_request(&self, call: &StoreCall) -> HttpRequest;
    /// The store's answer.
    fn store_reply(&self, call: &StoreCall, status: u16, body: &[u8]) -> StoreReply;

    /// A report of usage to the platform.
    fn usage_request(&self, report: &UsageReport) -> HttpRequest;
    /// What a status means in answer to a duty's call.
    fn duty_answer(&self, status: u16) -> DutyAnswer;
}
