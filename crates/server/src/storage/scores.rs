//! Reward calls: the leader is their caller, and sends them as a gateway sends a
//! lookup.

use peatgrade_forward::{AcceptedCall, CallId, ForwardAction, Forwarder, HttpId};
use peatgrade_jobs::{ScoreCall, ScoreId, ScoreOutcome};
use peatgrade_types::http::{ResponseHead, ResponsePart};
use peatgrade_types::Time;
use std::collections::HashMap;

use super::engines::{EngineExchange, ExchangeId};
use super::process::StorageProcess;
use crate::gateway_process::from_std_duration;

/// Reward calls under way.
pub(super) struct ScoreCalls {
    forwarder: Forwarder,
    /// Heads of answers whose end has not come.
    heads: HashMap<CallId, ResponseHead>,
    /// The exchange of each request to an engine.
    pub exchanges: HashMap<HttpId, ExchangeId>,
}

impl ScoreCalls {
    pub fn new(forwarder: Forwarder) -> Self {
        Self {
            forwarder,
            heads: HashMap::new(),
            exchanges: HashMap::new(),
        }
    }
}

impl StorageProcess {
    pub(super) fn start_score(&mut self, now: Time, score: ScoreId, call: ScoreCall) {
        let mut actions = Vec::new();
        self.scores.forwarder.start(
            now,
            AcceptedCall {
                call: CallId(score.0),
                request: call.request,
                route: &call.route,
                priority: call.route.priority,
                configuration_version: call.configuration,
            },
            &mut self.directory,
            &mut actions,
        );
        self.carry_out_scores(now, actions);
    }

    /// Tells which reward calls got a connection: see the gateway's.
    fn hear_opened(&mut self) {
        for opened in self.client.take_opened() {
            let exchange = self.exchanges.get(&opened.id);
            if let Some(EngineExchange::Score(id)) = exchange {
                let connected_in = opened.connected_in.map(from_std_duration);
                self.scores
                    .forwarder
                    .on_connected(*id, connected_in, &mut self.directory);
            }
        }
    }

    /// What became of reward calls on their way to engines.
    pub(super) fn score_figures(&self) -> [(&'static str, u64); 4] {
        self.scores.forwarder.counts().metrics()
    }

    pub(super) fn cancel_score(&mut self, score: ScoreId) {
        let mut actions = Vec::new();
        let call = CallId(score.0);
        self.scores
            .forwarder
            .cancel(call, &mut self.directory, &mut actions);
        for action in actions {
            if let ForwardAction::CancelHttp(id) = action {
                self.cancel_score_request(id);
            }
        }
    }

    /// Tries a second engine where the first is silent, and ends what is late.
    pub(super) fn tick_scores(&mut self, now: Time) {
        self.hear_opened();
        let mut actions = Vec::new();
        self.scores
            .forwarder
            .tick(now, &mut self.directory, &mut actions);
        self.carry_out_scores(now, actions);
    }

    pub(super) fn on_score_part(&mut self, now: Time, id: HttpId, part: ResponsePart) {
        self.hear_opened();
        let mut actions = Vec::new();
        self.scores
            .forwarder
            .on_response_part(now, id, part, &mut self.directory, &mut actions);
        self.carry_out_scores(now, actions);
    }

    fn carry_out_scores(&mut self, now: Time, actions: Vec<ForwardAction>) {
        for action in actions {
            match action {
                ForwardAction::SendHttp {
                    id,
                    address,
                    request,
                    new_connection,
                } => self.begin_score(id, &address, request, new_connection),
                ForwardAction::ProbeEngine {
                    id,
                    address,
                    request,
                } => {
                    self.metrics.count("engine_check");
                    self.begin_request(EngineExchange::Check(id), &address, request);
                }
                ForwardAction::CancelHttp(id) => self.cancel_score_request(id),
                ForwardAction::EngineFailed(call) => {
                    self.on_score(now, call, ScoreOutcome::EngineFailed);
                }
                // What the system asks for itself is no tenant's usage.
                ForwardAction::ExecutionStarted { .. } => {}
                ForwardAction::Respond { call, part } => self.on_score_answer(now, call, part),
            }
        }
    }

    fn cancel_score_request(&mut self, id: HttpId) {
        if let Some(exchange) = self.scores.exchanges.remove(&id) {
            self.drop_exchange(exchange);
        }
    }

    fn on_score_answer(&mut self, now: Time, call: CallId, part: ResponsePart) {
        match part {
            ResponsePart::Head(head) => {
                self.scores.heads.insert(call, head);
            }
            // Only the signature counts; that the body is whole was checked.
            ResponsePart::Data(_) => {}
            ResponsePart::End => {
                let head = self.scores.heads.remove(&call);
                let outcome = head.map_or(ScoreOutcome::Failed, |head| self.outcome_of(&head));
                self.on_score(now, call, outcome);
            }
            ResponsePart::Failed(_) => {
                self.scores.heads.remove(&call);
                self.on_score(now, call, ScoreOutcome::Failed);
            }
        }
    }

    fn outcome_of(&self, head: &ResponseHead) -> ScoreOutcome {
        let told = self.codec.engine_response_head(head);
        match (told.status, told.signature) {
            (200..300, Some(signature)) => ScoreOutcome::Scored(signature),
            // An answer of the forwarder itself, which says so only if it is true.
            (503, None) => ScoreOutcome::NotRun {
                come_back: told.retry_after,
            },
            _ => ScoreOutcome::Failed,
        }
    }

    fn on_score(&mut self, now: Time, call: CallId, outcome: ScoreOutcome) {
        let name = match &outcome {
            ScoreOutcome::EngineFailed => "reward_call_engine_failed",
            ScoreOutcome::Scored(_) => "reward_call_scored",
            ScoreOutcome::NotRun { .. } => "reward_call_not_run",
            ScoreOutcome::Failed => "reward_call_failed",
        };
        self.metrics.count(name);
        let score = ScoreId(call.0);
        let waited = self
            .dispatcher
            .on_score(now, score, outcome, &self.configuration);
        if let Some(waited) = waited {
            self.metrics.score_seconds.observe(waited.as_secs_f64());
        }
        let actions = self.dispatcher.take_actions();
        self.carry_out_dispatch(actions);
    }
}
