//! HTTP exchanges between the leader and engines.

use bytes::BytesMut;
use peatgrade_fleet::{CoordinatorAction, Incarnation, OrderOutcome};
use peatgrade_forward::{record_failure, HttpId, InterruptedRun};
use peatgrade_jobs::{DispatchAction, RunId, RunPart};
use peatgrade_ports::{EngineRequest, Instance, UsageReportResponse};
use peatgrade_quarantine::RetryScope;
use peatgrade_runtime::SendOptions;
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::{JobCommand, OrderNote};
use peatgrade_types::http::{HttpFailure, HttpRequest, ResponsePart};
use peatgrade_types::Time;
use std::time::Duration;

use crate::clock::steady_now;
use crate::engine_probe::{control_options, probe_options};

use super::process::StorageProcess;
use super::traffic::{self, ZoneScope};

/// Idle timeout of a run's stream. The dispatcher moves silent runs much earlier.
const RUN_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Idle timeout of a reward call, whose own deadline is shorter.
const SCORE_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Up to this many streams, events are read without batching.
const UNBATCHED_STREAMS: usize = 48;
/// Maximum time between two reads of a stream.
const MAX_GATHER_MS: u64 = 150;

/// Returns the time between reads of a stream. It grows with the number of streams so that
/// each read returns more events.
fn gather_time(streams: usize) -> Duration {
    let beyond = streams.saturating_sub(UNBATCHED_STREAMS) as u64;
    Duration::from_millis((beyond / 2).min(MAX_GATHER_MS))
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub(super) struct ExchangeId(pub u64);

/// The purpose and state of an exchange.
#[derive(Debug)]
pub(super) enum EngineExchange {
    /// A run, and whether its engine is in another zone.
    Run(RunId, ZoneScope),
    Score(HttpId),
    /// A probe of whether an engine is reachable.
    Check(HttpId),
    /// An order, the engine incarnation it is for, and the response status.
    Order(Instance, Incarnation, u16),
    /// A report request: as `Order`, and the response body received so far.
    Report(Instance, Incarnation, u16, BytesMut),
    /// A usage report for a window, and the response status.
    UsageReport(u64, u16),
}

impl StorageProcess {
    fn send_call(&mut self, exchange: EngineExchange, address: &str, call: &EngineRequest) {
        let request = self.codec.engine_request(call);
        self.send_request(exchange, address, request);
    }

    pub(super) fn send_request(
        &mut self,
        exchange: EngineExchange,
        address: &str,
        request: HttpRequest,
    ) {
        let options = match exchange {
            EngineExchange::Run(..) => SendOptions::batching_reads(RUN_IDLE_TIMEOUT),
            EngineExchange::Check(_) => probe_options(),
            _ => control_options(),
        };
        self.send_with_options(options, exchange, address, request);
    }

    /// Sends a reward call, over a new connection if `fresh` is set.
    pub(super) fn send_score_request(
        &mut self,
        score: HttpId,
        address: &str,
        request: HttpRequest,
        new_connection: bool,
    ) {
        let options = SendOptions {
            new_connection,
            ..SendOptions::with_read_timeout(SCORE_IDLE_TIMEOUT)
        };
        self.send_with_options(options, EngineExchange::Score(score), address, request);
    }

    fn send_with_options(
        &mut self,
        options: SendOptions,
        exchange: EngineExchange,
        address: &str,
        request: HttpRequest,
    ) {
        let id = ExchangeId(self.next_exchange);
        self.next_exchange += 1;
        let cancel = self.client.send(id, address, request, options);
        match exchange {
            EngineExchange::Run(run, _) => {
                self.run_exchanges.insert(run, id);
            }
            EngineExchange::Score(score) | EngineExchange::Check(score) => {
                self.reward_calls.exchanges.insert(score, id);
            }
            EngineExchange::Order(..)
            | EngineExchange::Report(..)
            | EngineExchange::UsageReport(..) => {}
        }
        self.exchanges.insert(id, exchange);
        self.cancel_handles.insert(id, cancel);
        self.client
            .set_read_interval(gather_time(self.run_exchanges.len()));
    }

    pub(super) fn execute_dispatch(&mut self, actions: Vec<DispatchAction>) {
        let now = steady_now();
        for action in actions {
            match action {
                DispatchAction::Run { run, address, call } => {
                    self.metrics.count("item_run");
                    self.iteration_monitor.work.started += 1;
                    self.runs_started += 1;
                    let zone_scope = self.zone_scope_of(&call);
                    self.send_call(EngineExchange::Run(run, zone_scope), &address, &call);
                }
                DispatchAction::Cancel(run) => {
                    self.metrics.count("item_run_cancelled");
                    self.iteration_monitor.work.cancelled += 1;
                    self.cancel_run(run);
                }
                DispatchAction::Score { score, call } => {
                    self.metrics.count("reward_call");
                    self.iteration_monitor.work.started += 1;
                    self.start_reward_call(now, score, *call);
                }
                DispatchAction::CancelScore(score) => self.cancel_reward_call(score),
                DispatchAction::ProposeResults(results) => {
                    self.propose(now, OneOfbody::results(results))
                }
                DispatchAction::ProposeProgress(progress) => {
                    self.propose(now, OneOfbody::progress(progress))
                }
            }
        }
    }

    fn zone_scope_of(&self, call: &EngineRequest) -> ZoneScope {
        let EngineRequest::Run { instance, .. } = call else {
            return ZoneScope::Unknown;
        };
        let zone = self.directory.get(instance).map(|state| &state.record.zone);
        ZoneScope::between(&self.settings.zone, zone.map_or("", String::as_str))
    }

    pub(super) fn propose(&mut self, now: Time, body: OneOfbody) {
        let command = encode(&JobCommand { body });
        if self.replica.propose(now, command).is_none() {
            // The dispatcher counts on this proposal, so its session is invalid.
            log::info!("step=propose reason=not-leading");
            self.leader_session.record_failed_proposal();
        }
    }

    fn cancel_run(&mut self, run: RunId) {
        if let Some(id) = self.run_exchanges.remove(&run) {
            self.cancel_exchange(id);
        }
    }

    /// Cancels an exchange; later parts of its response are ignored.
    pub(super) fn cancel_exchange(&mut self, id: ExchangeId) {
        self.exchanges.remove(&id);
        self.cancel_handles.remove(&id);
    }

    pub(super) fn execute_coordination(&mut self, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Order(order) => {
                let engine = order.instance.0.clone();
                let note = OneOfbody::order(OrderNote {
                    engine: engine.clone(),
                    fence: order.fence,
                    holder: order.holder.clone(),
                });
                let Some(incarnation) = self.directory.incarnation(&order.instance) else {
                    return;
                };
                self.pending_orders.insert(engine, (incarnation, order));
                self.propose(steady_now(), note);
            }
            CoordinatorAction::Report(instance) => {
                let Some(address) = self.address_of(&instance) else {
                    return;
                };
                let Some(incarnation) = self.directory.incarnation(&instance) else {
                    return;
                };
                let exchange =
                    EngineExchange::Report(instance.clone(), incarnation, 0, BytesMut::new());
                self.send_call(exchange, &address, &EngineRequest::Report(instance));
            }
        }
    }

    fn address_of(&self, instance: &Instance) -> Option<String> {
        let state = self.directory.get(instance)?;
        Some(state.record.address.clone())
    }

    /// Sends an order whose log entry is committed, if this machine still leads: the process
    /// may have been paused in between.
    pub(super) fn send_committed_order(&mut self, now: Time, engine: &str, fence: u64) {
        let pending = self.pending_orders.remove(engine);
        let Some((incarnation, order)) = pending.filter(|(_, order)| order.fence == fence) else {
            return;
        };
        if self.directory.has_ended(&order.instance, incarnation) {
            // The expected order count belongs to the previous incarnation.
            return log::info!("decision=drop-order engine={engine} reason=engine-restarted");
        }
        let Some(address) = self.address_of(&order.instance) else {
            return;
        };
        if !self.replica.can_serve(now) {
            return;
        }
        log::info!(
            "decision=order engine={engine} model={} version={} fence={fence} expected={:?}",
            order.model,
            order.version,
            order.expected
        );
        let exchange = EngineExchange::Order(order.instance.clone(), incarnation, 0);
        self.send_call(exchange, &address, &EngineRequest::Order(order));
    }

    pub(super) fn on_part(&mut self, id: ExchangeId, part: ResponsePart) {
        let now = steady_now();
        let last = matches!(part, ResponsePart::End | ResponsePart::Failed(_));
        match self.exchanges.get_mut(&id) {
            None => {}
            Some(EngineExchange::Run(run, zone_scope)) => {
                let (run, zone_scope) = (*run, *zone_scope);
                if let ResponsePart::Data(data) = &part {
                    traffic::count(&self.metrics, "item_events", zone_scope, data.len());
                }
                self.on_run_part(now, run, part);
            }
            Some(EngineExchange::Score(score) | EngineExchange::Check(score)) => {
                let score = *score;
                self.on_reward_part(now, score, part);
            }
            Some(EngineExchange::Order(instance, incarnation, status)) => match part {
                ResponsePart::Head(head) => {
                    *status = head.status;
                    let parsed = self.codec.engine_response_head(&head);
                    self.directory
                        .record_response_head(now, instance, *incarnation, &parsed, None);
                }
                ResponsePart::Data(_) => {}
                ResponsePart::End => self.on_order_response(now, id, None),
                ResponsePart::Failed(failure) => self.on_order_response(now, id, Some(failure)),
            },
            Some(EngineExchange::UsageReport(window, status)) => match part {
                ResponsePart::Head(head) => *status = head.status,
                ResponsePart::Data(_) => {}
                ResponsePart::End => {
                    let (window, response) = (*window, self.codec.usage_report_response(*status));
                    self.on_usage_report_response(now, window, response);
                }
                ResponsePart::Failed(_) => {
                    let window = *window;
                    self.on_usage_report_response(now, window, UsageReportResponse::Unknown);
                }
            },
            Some(EngineExchange::Report(instance, incarnation, status, body)) => match part {
                ResponsePart::Head(head) => {
                    *status = head.status;
                    let parsed = self.codec.engine_response_head(&head);
                    self.directory
                        .record_response_head(now, instance, *incarnation, &parsed, None);
                }
                ResponsePart::Data(data) => body.extend_from_slice(&data),
                ResponsePart::End => self.on_report_response(now, id, true),
                ResponsePart::Failed(_) => self.on_report_response(now, id, false),
            },
        }
        if last {
            match self.exchanges.remove(&id) {
                Some(EngineExchange::Run(run, _)) => {
                    self.run_exchanges.remove(&run);
                }
                Some(EngineExchange::Score(score) | EngineExchange::Check(score)) => {
                    self.reward_calls.exchanges.remove(&score);
                }
                _ => {}
            }
            self.cancel_handles.remove(&id);
        }
    }

    /// Records a run's outcome for its engine and for the quarantine of its request.
    fn record_run_outcome(&mut self, now: Time, run: RunId, part: &ResponsePart) {
        let ends = matches!(part, ResponsePart::End | ResponsePart::Failed(_));
        if !ends {
            return;
        }
        let Some(request) = self.dispatcher.run_request(run) else {
            return;
        };
        let fingerprint = request.fingerprint;
        match part {
            ResponsePart::Failed(failure) => {
                let interrupted = InterruptedRun {
                    engine: &request.engine,
                    incarnation: request.incarnation,
                    request: fingerprint,
                    retry_scope: RetryScope::LeaderOnly,
                    first_response_at: request.first_event_at,
                };
                record_failure(now, &interrupted, failure, &mut self.directory);
            }
            _ if request.is_refused => {}
            _ => self
                .directory
                .quarantine
                .record_completed_run(now, fingerprint),
        }
    }

    fn on_run_part(&mut self, now: Time, run: RunId, part: ResponsePart) {
        self.record_run_outcome(now, run, &part);
        let part = match part {
            ResponsePart::Head(head) => RunPart::Head(self.codec.engine_response_head(&head)),
            ResponsePart::Data(data) => RunPart::Data(data),
            ResponsePart::End => RunPart::End,
            ResponsePart::Failed(failure) => RunPart::Failed(failure.to_string()),
        };
        let (configuration, directory) = (&self.configuration, &mut self.directory);
        self.dispatcher
            .on_part(now, run, part, configuration, directory);
        let actions = self.dispatcher.take_actions();
        self.execute_dispatch(actions);
    }

    fn on_order_response(&mut self, now: Time, id: ExchangeId, failure: Option<HttpFailure>) {
        let Some(EngineExchange::Order(instance, incarnation, status)) = self.exchanges.remove(&id)
        else {
            return;
        };
        let outcome = match failure {
            None => OrderOutcome::Answered(self.codec.order_response(status)),
            Some(failure) if failure.step.is_unsent() => OrderOutcome::NotSent,
            Some(_) => OrderOutcome::Unknown,
        };
        self.metrics.count("weight_order");
        log::info!("belief=order engine={instance} status={status} outcome={outcome:?}");
        if self.directory.has_ended(&instance, incarnation) {
            // The outcome does not apply to the engine's current incarnation.
            return;
        }
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.on_order_outcome(now, &instance, outcome);
        }
    }

    fn on_report_response(&mut self, now: Time, id: ExchangeId, is_complete: bool) {
        let Some(EngineExchange::Report(instance, incarnation, status, body)) =
            self.exchanges.remove(&id)
        else {
            return;
        };
        let report = (is_complete && status == 200)
            .then(|| self.codec.engine_report(&body))
            .flatten();
        // A report without a start time may belong to the incarnation it was requested from.
        let is_over = self.directory.has_ended(&instance, incarnation);
        let report = report.filter(|report| !is_over || report.started.is_some());
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.on_report(now, &instance, report.as_ref(), &mut self.directory);
        }
    }
}
