//! Enforcement of the quarantine, and probes of engines whose runs were interrupted.

use bytes::{Bytes, BytesMut};
use peatgrade_fleet::{EngineDirectory, Incarnation, Misdirection};
use peatgrade_ports::{CallerResponse, EngineRequest, Instance, Refusal};
use peatgrade_quarantine::{may_have_caused_crash, Fingerprint, RetryScope, Verdict};
use peatgrade_types::http::{HttpFailure, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};

use crate::action::{answer_parts, CallId, ForwardAction, HttpId};
use crate::forwarded_request::ForwardedRequest;
use crate::forwarder::{Forwarder, QuarantinePolicy};

/// Time after which a liveness probe is abandoned.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Status of a response that carries a report.
const STATUS_OK: u16 = 200;
/// Maximum size of an engine's report. A longer one is not read but proves that the engine
/// is alive.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// `retry_after` of a suspected request that has to wait until more engines are available.
pub(crate) const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// A liveness probe of an engine.
pub(crate) struct EngineProbe {
    instance: Instance,
    /// Incarnation of the engine that was known when the probe was sent.
    incarnation: Incarnation,
    sent_at: Time,
    /// Bytes of the engine's report that have been received.
    report: BytesMut,
}

/// Whether quarantine allows a request to be sent to an engine.
///
/// A suspected request may run on one engine at a time, and not on the last available engine
/// of its service, so that it cannot take down the whole service.
pub(crate) fn may_run_on(
    now: Time,
    directory: &EngineDirectory,
    forward: &ForwardedRequest,
    engine: &Instance,
) -> bool {
    let verdict = directory.quarantine.verdict(forward.fingerprint);
    match (verdict, forward.quarantine_policy) {
        (Verdict::Clear, _) => true,
        (_, QuarantinePolicy::SingleAttempt) => forward.tried.is_empty(),
        (Verdict::Convicted { .. }, QuarantinePolicy::Refuse) => false,
        (Verdict::Suspected { .. }, QuarantinePolicy::Refuse) => {
            let is_only = directory.serving(&forward.service).count() == 1;
            let spares = directory.count_other_healthy(now, &forward.service, engine);
            forward.open_attempts.is_empty() && (is_only || spares > 0)
        }
    }
}

/// Whether the quarantine refuses a request.
pub(crate) fn is_refused(directory: &EngineDirectory, forward: &ForwardedRequest) -> bool {
    let verdict = directory.quarantine.verdict(forward.fingerprint);
    forward.quarantine_policy == QuarantinePolicy::Refuse
        && matches!(verdict, Verdict::Convicted { .. })
}

/// A run that ended without a complete response.
#[derive(Clone, Copy, Debug)]
pub struct InterruptedRun<'a> {
    /// Engine that ran it.
    pub engine: &'a Instance,
    /// Incarnation of the engine when the run started.
    pub incarnation: Incarnation,
    /// Content of the request.
    pub request: Fingerprint,
    /// Machines at which the request may arrive again.
    pub retry_scope: RetryScope,
    /// When the first part of a streamed response arrived, if any.
    pub first_response_at: Option<Time>,
}

/// Records an interrupted run, or an engine that refused the connection.
pub fn record_failure(
    now: Time,
    run: &InterruptedRun<'_>,
    failure: &HttpFailure,
    directory: &mut EngineDirectory,
) {
    match failure.step {
        HttpStep::Connect => {}
        HttpStep::Refused if directory.has_ended(run.engine, run.incarnation) => {}
        HttpStep::Refused => directory.engine_unreachable(now, run.engine),
        HttpStep::Send | HttpStep::Head | HttpStep::Body => {
            if may_have_caused_crash(now, run.first_response_at) {
                directory.record_interrupted_run(
                    now,
                    run.engine,
                    run.incarnation,
                    run.request,
                    run.retry_scope,
                );
            }
        }
    }
}

impl Forwarder {
    /// Sends due probes to engines whose runs were interrupted, and abandons late probes.
    pub(crate) fn probe_engines(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let probes = self.probes.iter();
        let late = probes.filter(|(_, probe)| now.since(probe.sent_at) >= PROBE_TIMEOUT);
        let late: Vec<HttpId> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.probes.remove(&id);
            actions.push(ForwardAction::CancelHttp(id));
        }
        for instance in directory.quarantine.take_due_probes(now) {
            let Some(state) = directory.get(&instance) else {
                directory.quarantine.record_engine_shutdown(&instance);
                continue;
            };
            let id = HttpId(self.next_id);
            self.next_id += 1;
            actions.push(ForwardAction::ProbeEngine {
                id,
                address: state.record.address.clone(),
                request: self
                    .codec
                    .engine_request(&EngineRequest::Report(instance.clone())),
            });
            let probe = EngineProbe {
                incarnation: state.incarnation,
                instance,
                sent_at: now,
                report: BytesMut::new(),
            };
            self.probes.insert(id, probe);
        }
    }

    /// Handles part of a response if it belongs to a probe, and returns whether it does.
    pub(crate) fn on_probe_part(
        &mut self,
        now: Time,
        id: HttpId,
        part: &ResponsePart,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        if !self.probes.contains_key(&id) {
            return false;
        }
        match part {
            ResponsePart::Head(head) => self.on_probe_head(now, id, head, directory, actions),
            ResponsePart::Data(data) => self.on_probe_data(id, data, directory, actions),
            ResponsePart::End => {
                if let Some(probe) = self.probes.remove(&id) {
                    self.on_report(now, &probe, directory);
                }
            }
            ResponsePart::Failed(failure) => {
                // Any failure other than a refused connection leads to another probe.
                let probe = self.probes.remove(&id);
                let refused = probe.filter(|_| failure.step == HttpStep::Refused);
                if let Some(probe) =
                    refused.filter(|p| !directory.has_ended(&p.instance, p.incarnation))
                {
                    directory.engine_unreachable(now, &probe.instance);
                }
            }
        }
        true
    }

    fn on_probe_head(
        &mut self,
        now: Time,
        id: HttpId,
        head: &ResponseHead,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(probe) = self.probes.get(&id) else {
            return;
        };
        let (instance, incarnation) = (probe.instance.clone(), probe.incarnation);
        let answer_head = self.codec.engine_response_head(head);
        let meaning =
            directory.record_response_head(now, &instance, incarnation, &answer_head, None);
        if meaning == Some(Misdirection::WrongEngine) {
            // Another instance, or none, answers at the address: the engine is gone.
            directory.engine_unreachable(now, &instance);
        } else if answer_head.status == STATUS_OK {
            return;
        } else {
            directory.quarantine.record_engine_alive(&instance);
        }
        self.probes.remove(&id);
        actions.push(ForwardAction::CancelHttp(id));
    }

    fn on_probe_data(
        &mut self,
        id: HttpId,
        data: &Bytes,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(probe) = self.probes.get_mut(&id) else {
            return;
        };
        if probe.report.len() + data.len() <= MAX_REPORT_BYTES {
            return probe.report.extend_from_slice(data);
        }
        directory.quarantine.record_engine_alive(&probe.instance);
        self.probes.remove(&id);
        actions.push(ForwardAction::CancelHttp(id));
    }

    /// Handles an engine's report. If it names a later incarnation, the engine crashed and
    /// restarted after the run was interrupted.
    fn on_report(&self, now: Time, probe: &EngineProbe, directory: &mut EngineDirectory) {
        if let Some(report) = self.codec.engine_report(&probe.report) {
            directory.record_report(now, &probe.instance, &report);
        }
        directory.quarantine.record_engine_alive(&probe.instance);
    }

    /// Refuses in-flight requests that have since been convicted; they may still be queued at
    /// an engine.
    pub(crate) fn refuse_convicted_calls(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        if directory.quarantine.is_empty() {
            return;
        }
        for call in self.calls_where(|forward| is_refused(directory, forward)) {
            self.refuse_convicted(now, call, directory, actions);
        }
    }

    /// Refuses a convicted request without `retry_after`.
    pub(crate) fn refuse_convicted(
        &mut self,
        now: Time,
        call: CallId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(forward) = self.calls.remove(&call) else {
            return;
        };
        self.cancel_attempts(&forward.open_attempts, directory, actions);
        directory.quarantine.record_refusal();
        log::info!(
            "decision=refuse request={} fingerprint={} refusal=EndsEngines crashes={} attempts={} held_us={}",
            forward.request.id,
            forward.fingerprint,
            directory.quarantine.crash_count(forward.fingerprint),
            forward.tried.len(),
            now.since(forward.received).0
        );
        if forward.stream.is_some() {
            return actions.push(stream_failure(
                call,
                "stream interrupted: the request is quarantined after engine crashes",
            ));
        }
        let answer = CallerResponse::Refused {
            refusal: Refusal::EndsEngines,
            detail: "engines crash under this request; it is not run again".into(),
            retry_after: None,
        };
        actions.extend(answer_parts(self.codec.as_ref(), call, &answer));
    }
}

/// Action that fails a started stream, so that the caller does not take it for complete.
pub(crate) fn stream_failure(call: CallId, reason: &str) -> ForwardAction {
    let part = ResponsePart::Failed(HttpFailure {
        peer: String::new(),
        step: HttpStep::Body,
        reason: reason.into(),
    });
    ForwardAction::Respond { call, part }
}
