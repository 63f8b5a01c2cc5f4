//! Requests under which engines crashed: who may run, and whether an engine is gone.

use bytes::{Bytes, BytesMut};
use peatgrade_fleet::{EngineDirectory, Incarnation, Misdirection};
use peatgrade_ports::{Answer, EngineCall, Instance, Refusal};
use peatgrade_quarantine::{may_have_caused_crash, Fingerprint, RetryScope, Verdict};
use peatgrade_types::http::{HttpFailure, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};

use crate::action::{answer_parts, CallId, ForwardAction, HttpId};
use crate::forwarder::{ForwardedRequest, Forwarder};

/// Longest wait for an engine that is asked whether it is there: a refused connection
/// comes back within a round trip, a dark machine never answers.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Status of an answer that carries a report.
const STATUS_OK: u16 = 200;
/// Longest report that is read: one names some tens of runs. A longer one still shows
/// that somebody answers under the engine's name.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// When a caller may come back whose request waits for more engines of its service to be
/// there: crashed engines are back after some seconds, and callers wait two, mostly.
pub(crate) const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// An engine that is asked whether it is there.
pub(crate) struct EngineProbe {
    instance: Instance,
    /// The life that it was known in when it was asked.
    incarnation: Incarnation,
    asked_at: Time,
    /// Its report, as far as it has come.
    report: BytesMut,
}

/// Whether a request may go to an engine, after crashes under it.
///
/// One that was there at two crashes runs alone, and not on the last engine of its
/// service: with that, one such request ends three engines of three in two tries of its
/// caller and never all at once; without, 20 engines ended in 12 s and the service was
/// away each time (real processes, three engines that are back after 1.5 s).
pub(crate) fn may_run_on(
    now: Time,
    directory: &EngineDirectory,
    forward: &ForwardedRequest,
    engine: &Instance,
) -> bool {
    match directory.quarantine.verdict(forward.fingerprint) {
        Verdict::Clear => true,
        Verdict::Convicted { .. } => false,
        Verdict::Suspected { .. } => {
            let is_only = directory.serving(&forward.service).count() == 1;
            let spares = directory.others_serving(now, &forward.service, engine);
            forward.open_attempts.is_empty() && (is_only || spares > 0)
        }
    }
}

/// A run that came to no whole answer.
#[derive(Clone, Copy, Debug)]
pub struct InterruptedRun<'a> {
    /// Where it was.
    pub engine: &'a Instance,
    /// The life of it in which the run began.
    pub incarnation: Incarnation,
    /// What it asked for.
    pub request: Fingerprint,
    /// Where that may come again.
    pub retry_scope: RetryScope,
    /// When the first part of a streamed answer came.
    pub first_response_at: Option<Time>,
}

/// Takes note of a run that broke off, or of an engine that nobody could reach.
pub fn record_failure(
    now: Time,
    run: &InterruptedRun<'_>,
    failure: &HttpFailure,
    directory: &mut EngineDirectory,
) {
    match failure.step {
        HttpStep::Connect => {}
        HttpStep::Refused if directory.is_over(run.engine, run.incarnation) => {}
        HttpStep::Refused => directory.engine_refused(now, run.engine),
        HttpStep::Send | HttpStep::Head | HttpStep::Body => {
            if may_have_caused_crash(now, run.first_response_at) {
                directory.run_broke(
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
    /// Asks engines under which runs broke off whether they are still there.
    pub(crate) fn probe_engines(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let probes = self.probes.iter();
        let late = probes.filter(|(_, probe)| now.since(probe.asked_at) >= PROBE_TIMEOUT);
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
                    .engine_request(&EngineCall::Report(instance.clone())),
            });
            let probe = EngineProbe {
                incarnation: state.incarnation,
                instance,
                asked_at: now,
                report: BytesMut::new(),
            };
            self.probes.insert(id, probe);
        }
    }

    /// Takes what came of such a question; whether it was one.
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
                // Without a refusal it is asked again, some times.
                let probe = self.probes.remove(&id);
                let gone = probe.filter(|_| failure.step == HttpStep::Refused);
                if let Some(probe) = gone.filter(|c| !directory.is_over(&c.instance, c.incarnation))
                {
                    directory.engine_refused(now, &probe.instance);
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
        let told = self.codec.answer_head(head);
        let meaning = directory.note_head(now, &instance, incarnation, &told, None);
        if meaning == Some(Misdirection::NotThere) {
            // Nobody of its name is at its address: it is not there any more.
            directory.engine_refused(now, &instance);
        } else if told.status == STATUS_OK {
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

    /// An engine answers under its name. One that started again since the run broke did
    /// crash: who answers is its next life.
    fn on_report(&self, now: Time, probe: &EngineProbe, directory: &mut EngineDirectory) {
        if let Some(report) = self.codec.report(&probe.report) {
            directory.note_report(now, &probe.instance, &report);
        }
        directory.quarantine.record_engine_alive(&probe.instance);
    }

    /// Ends the requests under way that turned out to end engines: one may still wait at
    /// an engine for its turn.
    pub(crate) fn refuse_convicted_calls(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        if directory.quarantine.is_empty() {
            return;
        }
        let quarantine = &directory.quarantine;
        let convicted: Vec<CallId> = self.calls_where(|forward| {
            let verdict = quarantine.verdict(forward.fingerprint);
            matches!(verdict, Verdict::Convicted { .. })
        });
        for call in convicted {
            self.refuse_convicted(now, call, directory, actions);
        }
    }

    /// Answers a request that ends engines: at once, and with no time to come back.
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
            return actions.push(stream_failure(call, "engines crash under it"));
        }
        let answer = Answer::Refused {
            refusal: Refusal::EndsEngines,
            detail: "engines crash under this request; it is not run again".into(),
            retry_after: None,
        };
        actions.extend(answer_parts(self.codec.as_ref(), call, &answer));
    }
}

/// Half a stream must not look whole.
pub(crate) fn stream_failure(call: CallId, reason: &str) -> ForwardAction {
    let part = ResponsePart::Failed(HttpFailure {
        peer: String::new(),
        step: HttpStep::Body,
        reason: reason.into(),
    });
    ForwardAction::Respond { call, part }
}
