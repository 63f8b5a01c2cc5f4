//! A codec without wire details.

use bytes::Bytes;
use peatgrade_ports::{
    BadRequest, CallerMessage, CallerRequest, CallerResponse, Codec, EngineReport, EngineRequest,
    EngineResponseHead, EventDecoder, Instance, OrderResponse, Refusal, StartedAt, StoreRequest,
    StoreResponse, Submission, UsageReport, UsageReportResponse,
};
use peatgrade_types::http::{HttpRequest, ResponseHead};
use peatgrade_types::Duration;

/// Encodes call metadata in plain headers such as `id`, `not-run` and `signed`.
pub struct PlainCodec;

fn status_code(refusal: Refusal) -> u16 {
    match refusal {
        Refusal::Malformed => 400,
        Refusal::Unauthorized => 401,
        Refusal::NoRoute | Refusal::NotFound => 404,
        Refusal::NotRun => 503,
        Refusal::TimedOut => 504,
        Refusal::Unknown | Refusal::EndsEngines => 502,
    }
}

impl Codec for PlainCodec {
    fn is_readiness_check(&self, _: &HttpRequest) -> bool {
        false
    }

    fn caller_message(&self, http: HttpRequest) -> CallerMessage {
        CallerMessage::Request(CallerRequest {
            http,
            ..CallerRequest::default()
        })
    }

    fn submission(&self, request: &CallerRequest) -> Result<Submission, BadRequest> {
        Ok(Submission {
            job: request.id.clone(),
            tenant: request.tenant.clone(),
            ..Submission::default()
        })
    }

    fn caller_response(&self, response: &CallerResponse) -> (ResponseHead, Bytes) {
        let (status, retry) = match response {
            CallerResponse::Refused {
                refusal,
                retry_after,
                ..
            } => (status_code(*refusal), *retry_after),
            CallerResponse::JobAccepted => (202, None),
            _ => (200, None),
        };
        let mut head = ResponseHead::new(status, "text/plain");
        if let Some(span) = retry {
            let millis = span.as_millis().to_string();
            head.headers.push(("retry-ms".into(), millis));
        }
        (head, Bytes::new())
    }

    fn forwarded_response_head(&self, head: &ResponseHead, _: &CallerRequest) -> ResponseHead {
        head.clone()
    }

    fn engine_request(&self, call: &EngineRequest) -> HttpRequest {
        let EngineRequest::Run {
            instance,
            deadline,
            last_event,
            tenant,
            ..
        } = call
        else {
            let EngineRequest::Report(instance) = call else {
                panic!("a gateway sends no orders");
            };
            return HttpRequest::new("GET", "/", "").with_header("instance", instance.0.clone());
        };
        let remaining_ms = deadline.map_or(0, Duration::as_millis);
        HttpRequest::new("POST", "/", "")
            .with_header("instance", instance.0.clone())
            .with_header("remaining-ms", remaining_ms.to_string())
            .with_header("last-event", format!("{last_event:?}"))
            .with_header("tenant", tenant.clone())
    }

    fn engine_response_head(&self, head: &ResponseHead) -> EngineResponseHead {
        EngineResponseHead {
            status: head.status,
            id: head.header("id").map(str::to_string),
            not_run: head.header("not-run").is_some(),
            reads_as_not_run: [408, 421, 429, 503].contains(&head.status),
            reads_as_misdirected: head.status == 421,
            signature: head.header("signed").map(str::to_string),
            instance: head.header("instance").map(|id| Instance(id.into())),
            ..EngineResponseHead::default()
        }
    }

    fn event_decoder(&self) -> Box<dyn EventDecoder> {
        panic!("a gateway reads no events")
    }

    /// Decodes a report, whose body is the engine's start time.
    fn engine_report(&self, body: &[u8]) -> Option<EngineReport> {
        let started = std::str::from_utf8(body).ok()?.parse().ok()?;
        Some(EngineReport {
            started: Some(StartedAt(started)),
            ..EngineReport::default()
        })
    }

    fn order_response(&self, _: u16) -> OrderResponse {
        OrderResponse::Rejected
    }

    fn store_request(&self, _: &StoreRequest) -> HttpRequest {
        HttpRequest::default()
    }

    fn store_response(&self, _: &StoreRequest, _: u16, _: &[u8]) -> StoreResponse {
        StoreResponse::Missing
    }

    fn usage_request(&self, _: &UsageReport) -> HttpRequest {
        panic!("a gateway sends no usage reports")
    }

    fn usage_report_response(&self, _: u16) -> UsageReportResponse {
        UsageReportResponse::Unknown
    }
}
