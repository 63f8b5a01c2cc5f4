//! Figures of a process, as text in the usual exposition format.
//!
//! Label sets are bounded: outcomes, kinds and states are named in the code,
//! never taken from a request.

use peatgrade_ports::{CallerResponse, Codec};
use peatgrade_runtime::{serve, Incoming};
use peatgrade_types::http::ResponsePart;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};
use std::rc::Rc;

use crate::gateway_process::socket_error;
use crate::ServerError;

const METRICS_PATH: &str = "/metrics";

/// Figures of one process.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Things that happened, by `event`.
    pub events: IntCounterVec,
    /// Answers to callers, by `status`.
    pub answers: IntCounterVec,
    /// Bytes, by `kind` of message and `path`.
    pub traffic: IntCounterVec,
    /// Calls to the object store, by `purpose` and `outcome`.
    pub store_calls: IntCounterVec,
    /// State, by `name`.
    pub state: IntGaugeVec,
    /// Time from a caller's request to the end of its answer.
    pub request_seconds: Histogram,
    /// Time to write and sync the log once.
    pub sync_seconds: Histogram,
    /// Time from a whole text to its score.
    pub score_seconds: Histogram,
    /// Time by which a leader's heartbeats leave late.
    pub heartbeat_late_seconds: Histogram,
    /// Time that the main task works before it hears or sends anything again.
    pub turn_seconds: Histogram,
}

impl Metrics {
    pub fn new() -> Self {
        let registry = Registry::new();
        let events = counters("peatgrade_events_total", "Things that happened", "event");
        let answers = counters("peatgrade_answers_total", "Answers to callers", "status");
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
        let turn_seconds = histogram("peatgrade_turn_seconds", "Time of a turn", 0.000_2);
        let late = "Time by which heartbeats are late";
        let heartbeat_late_seconds = histogram("peatgrade_heartbeat_late_seconds", late, 0.000_2);
        let all: [Box<dyn prometheus::core::Collector>; 10] = [
            Box::new(heartbeat_late_seconds.clone()),
            Box::new(events.clone()),
            Box::new(answers.clone()),
            Box::new(traffic.clone()),
            Box::new(store_calls.clone()),
            Box::new(state.clone()),
            Box::new(request_seconds.clone()),
            Box::new(sync_seconds.clone()),
            Box::new(score_seconds.clone()),
            Box::new(turn_seconds.clone()),
        ];
        for collector in all {
            registry.register(collector).expect("names differ");
        }
        Self {
            registry,
            events,
            answers,
            traffic,
            store_calls,
            state,
            request_seconds,
            sync_seconds,
            score_seconds,
            turn_seconds,
            heartbeat_late_seconds,
        }
    }

    pub fn count(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    pub fn set(&self, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.state.with_label_values(&[name]).set(value);
    }

    fn text(&self) -> String {
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

/// Fourteen buckets, each twice as wide as the one before.
fn histogram(name: &str, help: &str, first: f64) -> Histogram {
    let buckets = prometheus::exponential_buckets(first, 2.0, 14).expect("fixed buckets");
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets)).expect("fixed name")
}

/// Memory of this process, from the kernel's account; 0 if there is none.
pub(crate) fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let account = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = account
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Serves `metrics` on `address`, if there is one.
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
    monoio::spawn(serve(listener, requests));
    let (metrics, codec) = (metrics.clone(), codec.clone());
    monoio::spawn(async move {
        use futures_util::StreamExt;
        while let Some(Incoming { request, responder }) = incoming.next().await {
            let known = request.method == "GET" && request.path_only() == METRICS_PATH;
            let answer = if known {
                CallerResponse::Metrics(metrics.text())
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
