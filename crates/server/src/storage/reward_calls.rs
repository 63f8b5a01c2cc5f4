//! Reward calls: the leader sends them to engines as a gateway forwards a lookup.

use peatgrade_forward::{AcceptedCall, CallId, ForwardAction, Forwarder, HttpId, QuarantinePolicy};
use peatgrade_jobs::{ScoreCall, ScoreId, ScoreOutcome};
use peatgrade_types::http::{ResponseHead, ResponsePart};
use peatgrade_types::Time;
use std::collections::HashMap;

use super::engine_exchanges::{EngineExchange, ExchangeId};
use super::process::StorageProcess;
use crate::gateway_process::from_std_duration;

/// Reward calls in flight.
pub(super) struct RewardCalls {
    forwarder: Forwarder,
    /// Heads of incomplete responses.
    heads: HashMap<CallId, ResponseHead>,
    /// The exchange of each request to an engine.
    pub exchanges: HashMap<HttpId, ExchangeId>,
}

impl RewardCalls {
    pub fn new(forwarder: Forwarder) -> Self {
        Self {
            forwarder,
            heads: HashMap::new(),
            exchanges: HashMap::new(),
        }
    }
}

impl StorageProcess {
    pub(super) fn start_reward_call(&mut self, now: Time, score: ScoreId, call: ScoreCall) {
        let mut actions = Vec::new();
        self.reward_calls.forwarder.start(
            now,
            AcceptedCall {
                call: CallId(score.0),
                request: call.request,
                route: &call.route,
                priority: call.route.priority,
                configuration_version: call.configuration,
                quarantine_policy: QuarantinePolicy::SingleAttempt,
            },
            &mut self.directory,
            &mut actions,
        );
        self.execute_forward_actions(now, actions);
    }

    /// Records which reward calls got a connection, and how long that took.
    fn record_opened_connections(&mut self) {
        for opened in self.client.take_connected() {
            let exchange = self.exchanges.get(&opened.id);
            if let Some(EngineExchange::Score(id)) = exchange {
                let connected_in = opened.connect_time.map(from_std_duration);
                let forwarder = &mut self.reward_calls.forwarder;
                forwarder.on_connected(*id, connected_in, &mut self.directory);
                if opened.is_resent {
                    forwarder.on_resent(*id);
                }
            }
        }
    }

    /// Returns the forwarder's counters of reward calls.
    pub(super) fn reward_call_metrics(&self) -> [(&'static str, u64); 5] {
        self.reward_calls.forwarder.counts().metrics()
    }

    pub(super) fn cancel_reward_call(&mut self, score: ScoreId) {
        let mut actions = Vec::new();
        let call = CallId(score.0);
        self.reward_calls
            .forwarder
            .cancel(call, &mut self.directory, &mut actions);
        for action in actions {
            if let ForwardAction::CancelHttp(id) = action {
                self.cancel_reward_request(id);
            }
        }
    }

    /// Retries calls on a second engine if the first is silent, and ends late calls.
    pub(super) fn tick_reward_calls(&mut self, now: Time) {
        self.record_opened_connections();
        let mut actions = Vec::new();
        self.reward_calls
            .forwarder
            .tick(now, &mut self.directory, &mut actions);
        self.execute_forward_actions(now, actions);
    }

    pub(super) fn on_reward_part(&mut self, now: Time, id: HttpId, part: ResponsePart) {
        self.record_opened_connections();
        let mut actions = Vec::new();
        self.reward_calls.forwarder.on_response_part(
            now,
            id,
            part,
            &mut self.directory,
            &mut actions,
        );
        self.execute_forward_actions(now, actions);
    }

    fn execute_forward_actions(&mut self, now: Time, actions: Vec<ForwardAction>) {
        for action in actions {
            match action {
                ForwardAction::SendHttp {
                    id,
                    address,
                    request,
                    new_connection,
                } => self.send_score_request(id, &address, request, new_connection),
                ForwardAction::ProbeEngine {
                    id,
                    address,
                    request,
                } => {
                    self.metrics.count("engine_check");
                    self.send_request(EngineExchange::Check(id), &address, request);
                }
                ForwardAction::CancelHttp(id) => self.cancel_reward_request(id),
                ForwardAction::EngineFailed(call) => {
                    self.finish_reward_call(now, call, ScoreOutcome::EngineFailed);
                }
                // Reward calls are made by the system and not metered to a tenant.
                ForwardAction::ExecutionStarted { .. } => {}
                ForwardAction::Respond { call, part } => self.on_reward_response(now, call, part),
            }
        }
    }

    fn cancel_reward_request(&mut self, id: HttpId) {
        if let Some(exchange) = self.reward_calls.exchanges.remove(&id) {
            self.cancel_exchange(exchange);
        }
    }

    fn on_reward_response(&mut self, now: Time, call: CallId, part: ResponsePart) {
        match part {
            ResponsePart::Head(head) => {
                self.reward_calls.heads.insert(call, head);
            }
            // Only the signature is used; the forwarder has checked that the body is complete.
            ResponsePart::Data(_) => {}
            ResponsePart::End => {
                let head = self.reward_calls.heads.remove(&call);
                let outcome =
                    head.map_or(ScoreOutcome::Failed, |head| self.outcome_from_head(&head));
                self.finish_reward_call(now, call, outcome);
            }
            ResponsePart::Failed(_) => {
                self.reward_calls.heads.remove(&call);
                self.finish_reward_call(now, call, ScoreOutcome::Failed);
            }
        }
    }

    fn outcome_from_head(&self, head: &ResponseHead) -> ScoreOutcome {
        let response = self.codec.engine_response_head(head);
        match (response.status, response.signature) {
            (200..300, Some(signature)) => ScoreOutcome::Scored(signature),
            // Generated by the forwarder, only if no engine ran the call.
            (503, None) => ScoreOutcome::NotRun {
                come_back: response.retry_after,
            },
            _ => ScoreOutcome::Failed,
        }
    }

    fn finish_reward_call(&mut self, now: Time, call: CallId, outcome: ScoreOutcome) {
        let name = match &outcome {
            ScoreOutcome::EngineFailed => "reward_call_engine_failed",
            ScoreOutcome::Scored(_) => "reward_call_scored",
            ScoreOutcome::NotRun { .. } => "reward_call_not_run",
            ScoreOutcome::Failed => "reward_call_failed",
        };
        self.metrics.count(name);
        let score = ScoreId(call.0);
        let wait_time = self
            .dispatcher
            .on_score(now, score, outcome, &self.configuration);
        if let Some(wait_time) = wait_time {
            self.metrics.score_seconds.observe(wait_time.as_secs_f64());
        }
        let actions = self.dispatcher.take_actions();
        self.execute_dispatch(actions);
    }
}
