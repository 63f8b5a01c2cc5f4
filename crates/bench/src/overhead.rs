//! What a node adds to a request, and how many it carries.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use peatgrade_runtime::{now, HttpClient, SendOptions};
use peatgrade_types::http::{HttpRequest, ResponsePart};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::processor_time;

const SILENCE: Duration = Duration::from_secs(10);

/// Latency of one way, in microseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Way {
    /// Requests answered with 200.
    pub answered: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
}

/// Latency of both ways, taken in turn, so that a drift hits both.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Paired {
    /// Straight to the engine.
    pub direct: Way,
    /// Through a node.
    pub through_node: Way,
}

/// What a node carries when it is kept busy.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Capacity {
    /// Requests answered in a second.
    pub per_second: f64,
    /// Processor time of the node's thread for one request, in microseconds.
    pub node_us_per_request: f64,
    /// Requests a second that one core of processor time carries.
    pub per_core: f64,
    /// Requests that were not answered with 200.
    pub failed: u64,
    /// Resident memory of the process before and after, in bytes.
    pub memory_bytes: (u64, u64),
}

/// A request to be repeated.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Address of the engine.
    pub engine: String,
    /// Request as the engine takes it.
    pub engine_request: HttpRequest,
    /// Address of the node.
    pub node: String,
    /// Request as the node takes it.
    pub node_request: HttpRequest,
}

struct Sender {
    client: HttpClient<u64>,
    received: futures_channel::mpsc::UnboundedReceiver<(u64, ResponsePart)>,
}

impl Sender {
    fn new() -> Self {
        let (parts, received) = unbounded();
        Self {
            client: HttpClient::new(parts),
            received,
        }
    }

    /// Sends one request and waits for its end; returns microseconds.
    async fn once(&mut self, id: u64, address: &str, request: HttpRequest) -> Option<u64> {
        let start = now();
        let _cancel = self.client.send(
            id,
            address,
            request,
            SendOptions::with_read_timeout(SILENCE),
        );
        let mut good = false;
        while let Some((ended, part)) = self.received.next().await {
            match part {
                ResponsePart::Head(head) if ended == id => good = head.status == 200,
                ResponsePart::End if ended == id => {
                    return good.then(|| now().since(start).0);
                }
                ResponsePart::Failed(_) if ended == id => return None,
                _ => {}
            }
        }
        None
    }
}

fn way(histogram: &Histogram<u64>) -> Way {
    Way {
        answered: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
    }
}

/// Sends `pairs` requests each way, in turn.
pub async fn paired(probe: &Probe, pairs: u64) -> Paired {
    let mut sender = Sender::new();
    let new = || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    let (mut direct, mut through) = (new(), new());
    const WARM_UP: u64 = 50;
    for pair in 0..pairs + WARM_UP {
        let id = pair * 2;
        let engine = sender
            .once(id, &probe.engine, probe.engine_request.clone())
            .await;
        let node = sender
            .once(id + 1, &probe.node, probe.node_request.clone())
            .await;
        if pair < WARM_UP {
            continue;
        }
        if let Some(micros) = engine {
            let _ = direct.record(micros.max(1));
        }
        if let Some(micros) = node {
            let _ = through.record(micros.max(1));
        }
    }
    Paired {
        direct: way(&direct),
        through_node: way(&through),
    }
}

/// Keeps `concurrency` requests on one node for `length`. `thread` is the name
/// of the node's thread in this process.
pub async fn capacity(probe: &Probe, concurrency: u64, length: Duration, thread: &str) -> Capacity {
    let mut sender = Sender::new();
    let before = node_time(thread);
    let memory_before = processor_time::resident_bytes();
    let start = now();
    let mut open = BTreeMap::new();
    let mut next = 0;
    let mut answered = 0;
    let mut failed = 0;
    while next < concurrency {
        open.insert(
            next,
            sender.client.send(
                next,
                &probe.node,
                probe.node_request.clone(),
                SendOptions::with_read_timeout(SILENCE),
            ),
        );
        next += 1;
    }
    while let Some((id, part)) = sender.received.next().await {
        let ended = match part {
            ResponsePart::Head(head) => {
                failed += u64::from(head.status != 200);
                false
            }
            ResponsePart::Data(_) => false,
            ResponsePart::End => true,
            ResponsePart::Failed(_) => {
                failed += 1;
                true
            }
        };
        if !ended {
            continue;
        }
        answered += 1;
        open.remove(&id);
        if now().since(start).0 >= length.as_micros() as u64 {
            break;
        }
        open.insert(
            next,
            sender.client.send(
                next,
                &probe.node,
                probe.node_request.clone(),
                SendOptions::with_read_timeout(SILENCE),
            ),
        );
        next += 1;
    }
    let seconds = now().since(start).as_secs_f64();
    let spent = node_time(thread) - before;
    Capacity {
        per_second: answered as f64 / seconds,
        node_us_per_request: spent * 1e6 / answered.max(1) as f64,
        per_core: answered as f64 / spent.max(1e-9),
        failed,
        memory_bytes: (memory_before, processor_time::resident_bytes()),
    }
}

/// Processor time of a node's thread. The system cuts names at 15 bytes.
fn node_time(thread: &str) -> f64 {
    const NAME_BYTES: usize = 15;
    let cut = &thread[..thread.len().min(NAME_BYTES)];
    let times = processor_time::of_threads();
    times
        .iter()
        .filter(|(name, _)| name == cut)
        .map(|(_, seconds)| seconds)
        .sum()
}
