//! A model engine: batching, prefix cache, priorities, fenced orders.

mod batch;
mod cache;
mod orders;

pub use orders::{Transfer, WeightState};

use batch::Batch;
use cache::PrefixCache;
use peatgrade_routing::prefix_blocks;
use peatgrade_schema::engine::{CompletionRequest, EngineOrder, LoadDocument};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, EngineId, Time};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

use crate::faults::{Fault, FaultKind, FaultState};
use crate::platform::RequestId;
use crate::text;
use crate::Execution;

/// What a model engine is like.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Requests generated at once.
    pub slots: u32,
    /// Tokens a second of a request that is alone.
    pub tokens_per_second: f64,
    /// Prompt tokens a second that are prefilled.
    pub prefill_per_second: f64,
    /// Blocks of 64 bytes that the prefix cache holds.
    pub cache_blocks: usize,
    /// How late the load is reported.
    pub load_lag_ms: u64,
    /// Shortest answer; see [`crate::text::expected`].
    pub shortest_answer: u32,
    /// Time to copy one version over a free link.
    pub stage_ms: u64,
    /// Time without generation while a version is taken into use.
    pub swap_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            tokens_per_second: 80.0,
            prefill_per_second: 8_000.0,
            cache_blocks: 4_096,
            load_lag_ms: 300,
            shortest_answer: 24,
            stage_ms: 800,
            swap_ms: 250,
        }
    }
}

/// A model engine.
#[derive(Debug)]
pub struct EngineModel {
    /// Identity in the machine list.
    pub id: EngineId,
    name: String,
    settings: EngineSettings,
    faults: FaultState,
    batch: Batch,
    cache: PrefixCache,
    weights: WeightState,
    boot: u64,
    seed: u64,
    leaving_since: Option<Time>,
    history: VecDeque<(Time, u32, u32)>,
    out: Vec<(RequestId, ResponsePart)>,
    executions: Vec<Execution>,
    was_down: bool,
}

impl EngineModel {
    /// An engine that has just started with version 0.
    pub fn new(name: &str, settings: EngineSettings, seed: u64) -> Self {
        Self {
            id: EngineId::from_name(name),
            name: name.to_string(),
            faults: FaultState::default(),
            batch: Batch::default(),
            cache: PrefixCache::new(settings.cache_blocks, seed),
            weights: WeightState::default(),
            boot: 1,
            seed,
            leaving_since: None,
            history: VecDeque::new(),
            out: Vec::new(),
            executions: Vec::new(),
            was_down: false,
            settings,
        }
    }

    /// Requests waiting and running.
    pub fn load(&self) -> (usize, usize) {
        (self.batch.waiting(), self.batch.running())
    }

    /// Version in use.
    pub fn version(&self) -> u64 {
        self.weights.active
    }

    /// Weights and orders.
    pub fn weights(&mut self) -> &mut WeightState {
        &mut self.weights
    }

    /// Whether it is on its way out.
    pub fn leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Whether it refuses connections.
    pub fn down(&self, now: Time) -> bool {
        self.faults.down(now)
    }

    /// What it ran since the last call.
    pub fn take_executions(&mut self) -> Vec<Execution> {
        std::mem::take(&mut self.executions)
    }

    /// Switches a fault on.
    pub fn apply(&mut self, now: Time, fault: &Fault) {
        self.faults.apply(now, fault);
        match fault.kind {
            FaultKind::Crash | FaultKind::Down => self.crash(now),
            FaultKind::Leave => self.leaving_since = self.leaving_since.or(Some(now)),
            FaultKind::FailSwap => {
                self.faults.fail_next_swap = false;
                self.weights.fail_next = true;
            }
            _ => {}
        }
    }

    fn crash(&mut self, _now: Time) {
        for id in self.batch.clear().into_iter().chain(self.weights.clear()) {
            self.out.push((
                id,
                ResponsePart::Failed(self.failure(HttpStep::Body, "reset")),
            ));
        }
        self.boot += 1;
        self.cache = PrefixCache::new(self.settings.cache_blocks, self.seed + self.boot);
        self.weights = WeightState::default();
        self.history.clear();
        self.was_down = true;
        self.leaving_since = None;
    }

    fn failure(&self, step: HttpStep, reason: &str) -> HttpFailure {
        HttpFailure {
            peer: self.name.clone(),
            step,
            reason: reason.into(),
        }
    }

    /// Takes in a request.
    pub fn request(&mut self, now: Time, id: RequestId, request: &HttpRequest) {
        if self.faults.down(now) {
            let failure = self.failure(HttpStep::Connect, "connection refused");
            self.out.push((id, ResponsePart::Failed(failure)));
            return;
        }
        if self.faults.hung(now) {
            return;
        }
        match (request.method.as_str(), request.path_only()) {
            ("GET", "/load") => self.answer_load(now, id),
            ("POST", "/v1/completions") => self.start_generation(now, id, request),
            ("POST", "/orders") => match serde_json::from_slice::<EngineOrder>(&request.body) {
                Ok(order) => self.weights.order(now, id, order, &self.settings),
                Err(error) => self.answer(id, 400, error.to_string().into_bytes()),
            },
            _ => self.answer(id, 404, b"{}".to_vec()),
        }
    }

    fn answer(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        let head = ResponseHead::new(status, "application/json");
        self.out.push((id, ResponsePart::Head(head)));
        self.out.push((id, ResponsePart::Data(body.into())));
        self.out.push((id, ResponsePart::End));
    }

    fn answer_load(&mut self, now: Time, id: RequestId) {
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let seen = self
            .history
            .iter()
            .rev()
            .find(|(at, _, _)| now.since(*at) >= lag);
        let (waiting, running) = seen.map_or((0, 0), |(_, waiting, running)| (*waiting, *running));
        let document = LoadDocument {
            waiting,
            running,
            weights: self.weights.active,
            staged: self.weights.staged,
            leaving: self.leaving_since.is_some(),
            out_of_service: self.weights.unknown,
            age_ms: self.settings.load_lag_ms as u32,
            cache_used_permille: self.cache.used_permille(),
            boot: self.boot,
            events: self.cache.events(now),
        };
        self.answer(id, 200, serde_json::to_vec(&document).unwrap_or_default());
    }

    fn start_generation(&mut self, now: Time, id: RequestId, request: &HttpRequest) {
        let body = match serde_json::from_slice::<CompletionRequest>(&request.body) {
            Ok(body) => body,
            Err(error) => return self.answer(id, 400, error.to_string().into_bytes()),
        };
        let request_id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_string();
        self.executions.push(Execution {
            at: now,
            engine: self.id,
            sample: request_id.starts_with("sample-"),
            request_id,
            key: request.header("idempotency-key").map(str::to_string),
            leaving_since: self.leaving_since,
        });
        let blocks = prefix_blocks(body.prompt.as_bytes());
        let prompt_tokens = (body.prompt.len() / 4) as f64;
        let imported = !body.kv_source.is_empty();
        let held = if imported {
            blocks.len()
        } else {
            self.cache.matching(&blocks)
        };
        let share = held as f64 / blocks.len().max(1) as f64;
        self.cache.insert(now, &blocks);
        let shape = text::expected(
            &body.prompt,
            body.seed,
            self.settings.shortest_answer,
            body.max_tokens,
        );
        self.batch.add(
            now,
            id,
            &body,
            shape,
            prompt_tokens * (1.0 - share.min(1.0)),
        );
        let head = ResponseHead::new(200, "text/event-stream");
        self.out.push((id, ResponsePart::Head(head)));
    }

    /// Gives up a request, because its caller did.
    pub fn cancel(&mut self, id: RequestId) {
        self.batch.cancel(id);
        self.weights.cancel(id);
    }

    /// Works until `now` and returns what came out.
    pub fn advance(&mut self, now: Time) -> Vec<(RequestId, ResponsePart)> {
        if self.faults.down(now) || self.faults.hung(now) {
            self.batch.skip_to(now);
            return std::mem::take(&mut self.out);
        }
        let speed = if self.faults.slow(now) { 0.1 } else { 1.0 };
        let swapping = self.weights.advance(now, &mut self.out);
        if swapping || self.weights.unknown {
            self.batch.skip_to(now);
        } else {
            self.batch.advance(
                now,
                &self.settings,
                speed,
                self.weights.active,
                &mut self.out,
            );
        }
        self.reset_one();
        self.note_history(now);
        std::mem::take(&mut self.out)
    }

    /// Breaks off one answer, if that fault is on.
    fn reset_one(&mut self) {
        if !self.faults.reset_next {
            return;
        }
        let Some(id) = self.batch.first_started() else {
            return;
        };
        self.faults.reset_next = false;
        self.batch.cancel(id);
        let failure = self.failure(HttpStep::Body, "connection reset");
        self.out.push((id, ResponsePart::Failed(failure)));
    }

    fn note_history(&mut self, now: Time) {
        let entry = (
            now,
            self.batch.waiting() as u32,
            self.batch.running() as u32,
        );
        self.history.push_back(entry);
        while self.history.len() > 64 {
            self.history.pop_front();
        }
    }

    /// When it next has something to do.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        if !self.out.is_empty() {
            return Some(now);
        }
        let busy = self.batch.waiting() + self.batch.running() > 0;
        let batch = busy.then(|| self.batch.next_step());
        [batch, self.weights.next_wake(now)]
            .into_iter()
            .flatten()
            .min()
    }
}
