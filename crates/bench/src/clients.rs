//! Callers and trainers over HTTP, judged by the oracle.

use bytes::BytesMut;
use futures_channel::mpsc::unbounded;
use futures_util::{select_biased, StreamExt};
use hdrhistogram::Histogram;
use peatgrade_models::workload::Ending;
use peatgrade_models::{
    ClientRequest, Deployment, Execution, Target, TrainerFigures, TrainerModel, WholeResponse,
    Workload, WorkloadEvent,
};
use peatgrade_oracle::{terms_of, Oracle, Violation};
use peatgrade_runtime::http_client::CancelOnDrop;
use peatgrade_runtime::{now, HttpClient, SendOptions};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time between two looks at what is due.
const STEP: std::time::Duration = std::time::Duration::from_millis(2);
/// Time between two reads of what engines ran.
const EXECUTIONS_EVERY: Duration = Duration::from_millis(500);
/// Longest latency that histograms hold, in microseconds.
const MAX_LATENCY: u64 = 120_000_000;
/// Time after the end of the load for open requests to end.
const GRACE: Duration = Duration::from_secs(40);

/// What clients do.
pub struct ClientPlan {
    /// Traffic and trainers.
    pub deployment: Deployment,
    /// HTTP addresses of the nodes.
    pub nodes: Vec<String>,
    /// Address of the platform's store.
    pub platform: String,
    /// Length of the load.
    pub length: Duration,
    /// Seed of arrivals.
    pub seed: u64,
    /// Factor on every rate.
    pub rate: f64,
}

/// Latencies and endings of one stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StreamReport {
    /// Requests by how they ended.
    pub endings: BTreeMap<String, u64>,
    /// Latency quantiles in milliseconds: p50, p90, p99, p99.9, longest.
    pub latency_ms: BTreeMap<String, f64>,
    /// Points of the distribution for plots: quantile and milliseconds.
    pub distribution: Vec<(f64, f64)>,
}

/// What the clients saw.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClientReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Seconds of load.
    pub seconds: f64,
    /// Streams by name.
    pub streams: BTreeMap<String, StreamReport>,
    /// Trainers by name.
    pub trainers: BTreeMap<String, TrainerFigures>,
    /// Broken promises, as text.
    pub violations: Vec<String>,
    /// Observations that the oracle checked.
    pub observations: u64,
    /// Answered requests in each second of the load.
    pub answered_per_second: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Client {
    Caller(u64),
    Trainer(usize, u64),
    Executions,
}

#[derive(Default)]
struct Open {
    client: Option<Client>,
    head: Option<ResponseHead>,
    body: BytesMut,
    deadline: Time,
    cancel: Option<CancelOnDrop>,
}

struct Stream {
    histogram: Histogram<u64>,
    endings: BTreeMap<String, u64>,
}

struct Driver {
    plan: ClientPlan,
    workload: Workload,
    trainers: Vec<TrainerModel>,
    oracle: Oracle,
    client: HttpClient<u64>,
    open: BTreeMap<u64, Open>,
    next: u64,
    streams: BTreeMap<String, Stream>,
    executions_seen: usize,
    executions_open: bool,
    next_executions: Time,
    started: Time,
    answered_per_second: Vec<u64>,
}

/// Runs clients for the length of the plan; `progress` is called twice a
/// second with what was seen so far.
pub async fn run(plan: ClientPlan, mut progress: impl FnMut(&ClientReport)) -> ClientReport {
    let (parts, mut received) = unbounded();
    let mut driver = Driver::new(plan, HttpClient::new(parts));
    let end = driver.started + driver.plan.length;
    let mut next_progress = driver.started;
    let mut interval = monoio::time::interval(STEP);
    loop {
        let part = {
            let tick = interval.tick();
            futures_util::pin_mut!(tick);
            let mut tick = futures_util::FutureExt::fuse(tick);
            select_biased! {
                part = received.next() => part,
                _ = tick => None,
            }
        };
        match part {
            Some((id, part)) => driver.on_part(id, part),
            None => driver.send_due(end),
        }
        driver.observe();
        let time = now();
        if time >= next_progress {
            next_progress = time + Duration::from_millis(500);
            progress(&driver.report());
        }
        let done = time >= end && driver.workload.open() == 0;
        if done || time >= end + GRACE {
            break;
        }
    }
    driver.finish().await
}

impl Driver {
    fn new(plan: ClientPlan, client: HttpClient<u64>) -> Self {
        let started = now();
        let mut streams = plan.deployment.traffic.clone();
        for stream in &mut streams {
            stream.rate *= plan.rate;
        }
        let run = format!("r{:x}", started.0 / 1_000);
        let end = started + plan.length;
        let workload = Workload::new(streams, started, end, plan.seed, &run);
        let trainers = plan.deployment.trainers.iter().enumerate();
        let trainers = trainers
            .map(|(i, t)| TrainerModel::new(t.clone(), i))
            .collect();
        Self {
            oracle: Oracle::new(terms_of(&plan.deployment)),
            workload,
            trainers,
            client,
            open: BTreeMap::new(),
            next: 1,
            streams: BTreeMap::new(),
            executions_seen: 0,
            executions_open: false,
            next_executions: started,
            started,
            answered_per_second: Vec::new(),
            plan,
        }
    }

    fn send_due(&mut self, end: Time) {
        let time = now();
        for request in self.workload.poll(time) {
            let client = Client::Caller(request.id);
            self.send(client, request);
        }
        for trainer in 0..self.trainers.len() {
            if time >= end {
                break;
            }
            if let Some(request) = self.trainers[trainer].poll(time) {
                let client = Client::Trainer(trainer, request.id);
                self.send(client, request);
            }
        }
        if !self.executions_open && time >= self.next_executions {
            self.executions_open = true;
            self.next_executions = time + EXECUTIONS_EVERY;
            let path = format!("/executions?after={}", self.executions_seen);
            let request = ClientRequest {
                id: 0,
                target: Target::Platform,
                request: HttpRequest::new("GET", path, ""),
                timeout: Duration::from_secs(5),
            };
            self.send(Client::Executions, request);
        }
        self.time_out(time);
    }

    fn send(&mut self, client: Client, request: ClientRequest) {
        let address = match request.target {
            Target::Node(index) => self.plan.nodes[index % self.plan.nodes.len()].clone(),
            Target::Platform => self.plan.platform.clone(),
        };
        let id = self.next;
        self.next += 1;
        let silence = std::time::Duration::from_micros(request.timeout.0);
        let cancel = self.client.send(
            id,
            &address,
            request.request,
            SendOptions::with_read_timeout(silence),
        );
        let open = Open {
            client: Some(client),
            deadline: now() + request.timeout,
            cancel: Some(cancel),
            ..Open::default()
        };
        self.open.insert(id, open);
    }

    fn time_out(&mut self, time: Time) {
        let late = self.open.iter().filter(|(_, open)| time >= open.deadline);
        let late: Vec<u64> = late.map(|(id, _)| *id).collect();
        for id in late {
            let failure = HttpFailure {
                peer: "node".into(),
                step: HttpStep::Head,
                reason: "the client gave up".into(),
            };
            self.end(id, Err(failure));
        }
    }

    fn on_part(&mut self, id: u64, part: ResponsePart) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        match part {
            ResponsePart::Head(head) => open.head = Some(head),
            ResponsePart::Data(data) => open.body.extend_from_slice(&data),
            ResponsePart::Failed(failure) => self.end(id, Err(failure)),
            ResponsePart::End => {
                let response = WholeResponse {
                    head: open.head.take().unwrap_or_default(),
                    body: std::mem::take(&mut open.body).freeze(),
                };
                self.end(id, Ok(response));
            }
        }
    }

    fn end(&mut self, id: u64, result: Result<WholeResponse, HttpFailure>) {
        let Some(mut open) = self.open.remove(&id) else {
            return;
        };
        drop(open.cancel.take());
        let time = now();
        match open.client {
            Some(Client::Caller(number)) => self.workload.on_response(time, number, result),
            Some(Client::Trainer(trainer, number)) => {
                self.trainers[trainer].on_response(time, number, result);
            }
            Some(Client::Executions) => self.on_executions(result),
            None => {}
        }
    }

    fn on_executions(&mut self, result: Result<WholeResponse, HttpFailure>) {
        self.executions_open = false;
        let Ok(response) = result else {
            return;
        };
        let executions: Vec<Execution> = serde_json::from_slice(&response.body).unwrap_or_default();
        self.executions_seen += executions.len();
        if !executions.is_empty() {
            self.next_executions = now();
        }
        for execution in &executions {
            self.oracle.on_execution(execution);
        }
    }

    /// Hands what callers and trainers saw to the oracle and the counters.
    fn observe(&mut self) {
        let time = now();
        for event in self.workload.take_events() {
            self.oracle.on_caller(time, &event);
            if let WorkloadEvent::Ended {
                stream,
                ending,
                latency,
                ..
            } = &event
            {
                self.count(time, stream, ending, *latency);
            }
        }
        for trainer in &mut self.trainers {
            for step in trainer.take_delivered() {
                self.oracle.on_step(&step);
            }
        }
    }

    fn count(&mut self, time: Time, stream: &str, ending: &Ending, latency: Duration) {
        let entry = self
            .streams
            .entry(stream.to_string())
            .or_insert_with(|| Stream {
                histogram: Histogram::new_with_bounds(1, MAX_LATENCY, 3).expect("valid bounds"),
                endings: BTreeMap::new(),
            });
        *entry.endings.entry(ending.name()).or_default() += 1;
        if *ending == Ending::Answered {
            let _ = entry.histogram.record(latency.0.clamp(1, MAX_LATENCY));
            let second = time.since(self.started).as_secs_f64() as usize;
            if self.answered_per_second.len() <= second {
                self.answered_per_second.resize(second + 1, 0);
            }
            self.answered_per_second[second] += 1;
        }
    }

    fn report(&self) -> ClientReport {
        let streams = self.streams.iter().map(|(name, stream)| {
            let report = StreamReport {
                endings: stream.endings.clone(),
                latency_ms: quantiles(&stream.histogram),
                distribution: distribution(&stream.histogram),
            };
            (name.clone(), report)
        });
        let trainers = self
            .trainers
            .iter()
            .map(|trainer| (trainer.name().to_string(), trainer.stats().figures()));
        ClientReport {
            deployment: self.plan.deployment.name.clone(),
            seconds: now()
                .since(self.started)
                .as_secs_f64()
                .min(self.plan.length.as_secs_f64()),
            streams: streams.collect(),
            trainers: trainers.collect(),
            violations: self
                .oracle
                .violations()
                .iter()
                .map(Violation::to_string)
                .collect(),
            observations: self.oracle.observations,
            answered_per_second: self.answered_per_second.clone(),
        }
    }

    /// Reads the last executions and judges what only the end can show.
    async fn finish(mut self) -> ClientReport {
        monoio::time::sleep(std::time::Duration::from_millis(600)).await;
        let time = now();
        self.oracle.finish(time);
        self.report()
    }
}

fn quantiles(histogram: &Histogram<u64>) -> BTreeMap<String, f64> {
    let wanted = [
        ("p50", 0.5),
        ("p90", 0.9),
        ("p99", 0.99),
        ("p99.9", 0.999),
        ("longest", 1.0),
    ];
    let values = wanted.map(|(name, quantile)| {
        let micros = histogram.value_at_quantile(quantile);
        (name.to_string(), micros as f64 / 1e3)
    });
    values.into_iter().collect()
}

fn distribution(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    const POINTS: usize = 60;
    let points = (0..=POINTS).map(|index| {
        // Denser towards the tail, where it matters.
        let quantile = 1.0 - 10f64.powf(-3.0 * index as f64 / POINTS as f64);
        (quantile, histogram.value_at_quantile(quantile) as f64 / 1e3)
    });
    points.collect()
}
