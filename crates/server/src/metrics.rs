//! Metrics of a process in the Prometheus text format.
//!
//! Label values are constants in the code, never taken from requests, so the number of time
//! series is bounded.

use peatgrade_ports::{CallerResponse, Codec};
use peatgrade_runtime::{
    serve_with_control, ConnectionLimit, Incoming, MemoryBudget, ServerControl, ServerLimits,
};
use peatgrade_types::http::ResponsePart;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};
use std::rc::Rc;

use crate::build_info::BuildInfo;
use crate::gateway_process::socket_error;
use crate::ServerError;

const METRICS_PATH: &str = "/metrics";

/// Metrics of one process.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Events by `event`.
    pub events: IntCounterVec,
    /// Responses to callers by `status`.
    pub responses: IntCounterVec,
    /// Bytes of messages by `kind` and `path`.
    pub traffic: IntCounterVec,
    /// Calls to the object store by `purpose` and `outcome`.
    pub store_calls: IntCounterVec,
    /// Gauges by `name`.
    pub state: IntGaugeVec,
    /// Time from a caller's request to the end of the response.
    pub request_seconds: Histogram,
    /// Time of one write and sync of the log.
    pub sync_seconds: Histogram,
    /// Time from the completion of a text to its score.
    pub score_seconds: Histogram,
    /// Delay of the leader's heartbeats.
    pub heartbeat_delay_seconds: Histogram,
    /// Duration of event loop iterations.
    pub iteration_seconds: Histogram,
}

impl Metrics {
    pub fn new() -> Self {
        let registry = Registry::new();
        let events = counters("peatgrade_events_total", "Things that happened", "event");
        let responses = counters("peatgrade_answers_total", "Answers to callers", "status");
        let opts = Opts::new("peatgrade_traffic_bytes_total", "Bytes of messages");
        let traffic = IntCounterVec::new(opts, &["kind", "path"]).expect("fixed name and labels");
        let opts = Opts::new("peatgrade_store_calls_total", "Calls to the object store");
        let labels = ["purpose", "outcome"];
        let store_calls = IntCounterVec::new(opts, &labels).expect("fixed name and labels");
        let opts = Opts::new("peatgrade_state", "Present state of the process");
        let state = IntGaugeVec::new(opts, &["name"]).expect("fixed name and label");
        let request_seconds = histogram("peatgrade_request_seconds", "Time of a request", 0.002);
        let sync_seconds = histogram("peatgrade_log_sync_seconds", "Time of a log sync", 0.000_2);
        let score_seconds = histogram("peatgrade_score_seconds", "Time to a score", 0.005);
        let iteration_seconds = histogram("peatgrade_turn_seconds", "Time of a turn", 0.000_2);
        let help = "Time by which heartbeats are late";
        let heartbeat_delay_seconds = histogram("peatgrade_heartbeat_late_seconds", help, 0.000_2);
        let collectors: [Box<dyn prometheus::core::Collector>; 10] = [
            Box::new(heartbeat_delay_seconds.clone()),
            Box::new(events.clone()),
            Box::new(responses.clone()),
            Box::new(traffic.clone()),
            Box::new(store_calls.clone()),
            Box::new(state.clone()),
            Box::new(request_seconds.clone()),
            Box::new(sync_seconds.clone()),
            Box::new(score_seconds.clone()),
            Box::new(iteration_seconds.clone()),
        ];
        for collector in collectors {
            registry.register(collector).expect("names differ");
        }
        Self {
            registry,
            events,
            responses,
            traffic,
            store_calls,
            state,
            request_seconds,
            sync_seconds,
            score_seconds,
            iteration_seconds,
            heartbeat_delay_seconds,
        }
    }

    /// Adds a gauge whose labels identify the program. Called once.
    pub fn set_build(&self, build: &BuildInfo) {
        let gauge = Box::new(build.gauge());
        self.registry.register(gauge).expect("names differ");
    }

    pub fn count(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    pub fn set(&self, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.state.with_label_values(&[name]).set(value);
    }

    fn render(&self) -> String {
        self.set(
            "log_lines_left_out",
            peatgrade_runtime::logging::dropped_lines(),
        );
        self.set("resident_bytes", resident_bytes());
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = encoded {
            log::warn!("step=encode-metrics error={error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn counters(name: &str, help: &str, label: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), &[label]).expect("fixed name and label")
}

/// Creates a histogram of 14 exponential buckets with factor 2.
fn histogram(name: &str, help: &str, first_bucket: f64) -> Histogram {
    let buckets = prometheus::exponential_buckets(first_bucket, 2.0, 14).expect("fixed buckets");
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets)).expect("fixed name")
}

/// Memory for callers of the metrics.
const MAX_METRICS_MEMORY: usize = 8 * 1024 * 1024;
const MAX_METRICS_CONNECTIONS: usize = 64;
const MAX_METRICS_BODY_BYTES: usize = 4 * 1024;

/// Resident memory of this process from `/proc`; 0 if it is not available.
pub(crate) fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    resident_pages(&statm) * page_bytes()
}

/// The second number of `/proc/self/statm`.
fn resident_pages(statm: &str) -> u64 {
    let pages = statm.split(' ').nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0)
}

/// Size of a page, which differs between kernels of one architecture.
fn page_bytes() -> u64 {
    // SAFETY: sysconf only reads a constant of the system.
    let bytes = unsafe { libc::sysconf(libc::_SC_PAGESIZE) };
    u64::try_from(bytes).unwrap_or(0)
}

/// Limits of the metrics listener, whose requests are small.
fn metrics_control() -> ServerControl {
    let control = ServerControl {
        budget: MemoryBudget::new(MAX_METRICS_MEMORY),
        connections: ConnectionLimit::new(MAX_METRICS_CONNECTIONS),
        ..ServerControl::default()
    };
    control.limits.set(ServerLimits {
        max_body_bytes: MAX_METRICS_BODY_BYTES,
        ..ServerLimits::default()
    });
    control
}

/// Serves `metrics` on `address` unless it is empty.
pub(crate) fn serve_metrics(
    address: &str,
    metrics: &Metrics,
    codec: &Rc<dyn Codec>,
) -> Result<(), ServerError> {
    if address.is_empty() {
        return Ok(());
    }
    let listener =
        monoio::net::TcpListener::bind(address).map_err(socket_error("metrics", address))?;
    let (requests, mut incoming) = futures_channel::mpsc::unbounded();
    monoio::spawn(serve_with_control(listener, requests, metrics_control()));
    let (metrics, codec) = (metrics.clone(), codec.clone());
    monoio::spawn(async move {
        use futures_util::StreamExt;
        while let Some(Incoming {
            request, responder, ..
        }) = incoming.next().await
        {
            let is_metrics_request = request.method == "GET" && request.path_only() == METRICS_PATH;
            let answer = if is_metrics_request {
                CallerResponse::Metrics(metrics.render())
            } else {
                CallerResponse::Refused {
                    refusal: peatgrade_ports::Refusal::NotFound,
                    detail: format!("GET {METRICS_PATH} is served here"),
                    retry_after: None,
                }
            };
            let (head, body) = codec.caller_response(&answer);
            for part in [
                ResponsePart::Head(head),
                ResponsePart::Data(body),
                ResponsePart::End,
            ] {
                let _ = responder.send(part);
            }
        }
    });
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/resident_memory.rs"]
mod tests;
