//! Requests that go to an engine and back.

use bytes::BytesMut;
use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{AnswerHead, CallerRequest, Codec, EngineCall, Instance, Route, RouteKind};
use peatgrade_quarantine::{Fingerprint, RequestParts, Verdict};
use peatgrade_types::http::ResponseHead;
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::action::{CallId, ForwardAction, HttpId};
use crate::choice::choose;
use crate::stream::PassedStream;
use crate::suspects::{may_risk, EngineCheck};

/// Shortest wait before a second engine is tried while the first is silent.
const HEDGE_MIN: Duration = Duration::from_millis(60);
/// That wait as a multiple of the engine's usual time.
const HEDGE_FACTOR: f64 = 3.0;
/// Time kept back from the caller's own, for the way to it.
const RETURN_MARGIN: Duration = Duration::from_millis(15);
/// Refusals of engines that one request may meet.
const MAX_REFUSALS: u32 = 4;
/// Time that a request without a deadline may take.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

pub(crate) struct Attempt {
    pub call: CallId,
    pub fingerprint: Fingerprint,
    pub instance: Instance,
    pub sent: Time,
    /// When a streamed answer began.
    pub began: Option<Time>,
    pub head: Option<(ResponseHead, AnswerHead)>,
    pub body: BytesMut,
}

pub(crate) struct Forward {
    pub request: CallerRequest,
    /// What is asked for, whatever the id of this try.
    pub fingerprint: Fingerprint,
    pub service: String,
    pub kind: RouteKind,
    pub max_attempts: u32,
    pub priority: u32,
    pub received: Time,
    pub deadline: Time,
    pub hedge_at: Time,
    pub target_latency: Duration,
    pub configuration: u64,
    /// Engines that were sent to and did not refuse.
    pub sends: u32,
    pub refusals: u32,
    pub tried: Vec<Instance>,
    pub open: Vec<HttpId>,
    pub may_have_run: bool,
    /// It was kept from the engine that was there for it, after crashes under it.
    pub held_back: bool,
    /// Whether a stream may be taken up at another engine.
    pub resumable: bool,
    /// A streamed answer has begun at the caller.
    pub stream: Option<PassedStream>,
    /// The attempt that the stream comes from just now.
    pub streaming: Option<HttpId>,
    /// It was told that an engine began it.
    pub began_told: bool,
}

impl Forward {
    /// Tells once that an engine began it.
    pub fn tell_began(&mut self, at: Time, actions: &mut Vec<ForwardAction>) {
        if !std::mem::replace(&mut self.began_told, true) {
            let tenant = self.request.tenant.clone();
            actions.push(ForwardAction::Began { tenant, at });
        }
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(&self) -> bool {
        let resumes = self.kind == RouteKind::Streaming && self.resumable;
        self.kind == RouteKind::Safe || resumes
    }
}

/// A request that may go to an engine.
#[derive(Debug)]
pub struct AcceptedCall<'a> {
    /// Who waits for the answer.
    pub call: CallId,
    /// The request.
    pub request: CallerRequest,
    /// Its route.
    pub route: &'a Route,
    /// Its rank: that of its tenant, or else of its route.
    pub priority: u32,
    /// Version of the configuration that names the route.
    pub configuration: u64,
}

/// Requests under way to engines.
pub struct Forwarder {
    pub(crate) codec: Rc<dyn Codec>,
    pub(crate) zone: String,
    pub(crate) random: SmallRng,
    pub(crate) calls: BTreeMap<CallId, Forward>,
    pub(crate) attempts: HashMap<HttpId, Attempt>,
    /// Engines that are asked whether they are there.
    pub(crate) checks: HashMap<HttpId, EngineCheck>,
    pub(crate) next_id: u64,
}

impl Forwarder {
    /// A forwarder without requests.
    pub fn new(codec: Rc<dyn Codec>, zone: String, seed: u64) -> Self {
        Self {
            codec,
            zone,
            random: SmallRng::seed_from_u64(seed),
            calls: BTreeMap::new(),
            attempts: HashMap::new(),
            checks: HashMap::new(),
            next_id: 1,
        }
    }

    /// Requests under way.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Takes a request for a route.
    pub fn start(
        &mut self,
        now: Time,
        accepted: AcceptedCall<'_>,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let AcceptedCall {
            call,
            request,
            route,
            priority,
            configuration,
        } = accepted;
        let asked = request.deadline.unwrap_or(DEFAULT_DEADLINE);
        let caller_limit = Duration(asked.0.saturating_sub(RETURN_MARGIN.0));
        let forward = Forward {
            fingerprint: fingerprint_of(&request),
            service: self.draw_service(route),
            kind: route.kind,
            max_attempts: route.max_attempts.max(1),
            priority,
            received: now,
            deadline: now + caller_limit.min(route.timeout),
            hedge_at: now,
            target_latency: route.target_latency,
            configuration,
            sends: 0,
            refusals: 0,
            tried: Vec::new(),
            open: Vec::new(),
            may_have_run: false,
            held_back: false,
            resumable: route.resumable,
            stream: None,
            streaming: None,
            began_told: false,
            request,
        };
        self.calls.insert(call, forward);
        self.dispatch(now, call, directory, actions);
    }

    fn draw_service(&mut self, route: &Route) -> String {
        let total: u32 = route.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            let first = route.targets.first();
            return first.map_or(String::new(), |target| target.service.clone());
        }
        let mut draw = self.random.random_range(0..total);
        for target in &route.targets {
            if draw < target.weight {
                return target.service.clone();
            }
            draw -= target.weight;
        }
        String::new()
    }

    /// Sends a request to an engine that it has not met, or ends it.
    pub(crate) fn dispatch(
        &mut self,
        now: Time,
        call: CallId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        // This machine may have been suspended since: nobody waits for the answer any
        // more, and the engine would be told that no time is left (reasoned).
        if now >= forward.deadline && forward.open.is_empty() {
            return self.end_without_answer(now, call, actions);
        }
        let verdict = directory.quarantine.verdict(forward.fingerprint);
        if matches!(verdict, Verdict::Convicted { .. }) {
            return self.refuse_convicted(now, call, directory, actions);
        }
        let spent = forward.sends >= forward.max_attempts || forward.refusals >= MAX_REFUSALS;
        let chosen = choose(now, directory, forward, &self.zone).filter(|_| !spent);
        let allowed = chosen
            .clone()
            .filter(|engine| may_risk(now, directory, forward, engine));
        forward.held_back = chosen.is_some() && allowed.is_none();
        let Some(instance) = allowed else {
            if forward.open.is_empty() {
                self.end_without_answer(now, call, actions);
            }
            return;
        };
        self.send(now, call, &instance, directory, actions);
    }

    fn send(
        &mut self,
        now: Time,
        call: CallId,
        instance: &Instance,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let list_age = now.since(directory.confirmed);
        let (Some(forward), Some(state)) = (self.calls.get_mut(&call), directory.get_mut(instance))
        else {
            return;
        };
        let id = HttpId(self.next_id);
        self.next_id += 1;
        state.experience.running += 1;
        let usual = Duration((state.experience.latency * HEDGE_FACTOR) as u64);
        let latest = Duration(forward.target_latency.0 / 2).max(HEDGE_MIN);
        forward.hedge_at = now + usual.clamp(HEDGE_MIN, latest);
        forward.sends += 1;
        forward.tried.push(instance.clone());
        forward.open.push(id);
        let left = forward.deadline.since(now);
        log::info!(
            "decision=send request={} fingerprint={} engine={instance} service={} attempt={} \
             running={} latency_us={:.0} left_ms={} configuration={} list_age_ms={}",
            forward.request.id,
            forward.fingerprint,
            forward.service,
            forward.sends,
            state.experience.running,
            state.experience.latency,
            left.as_millis(),
            forward.configuration,
            list_age.as_millis()
        );
        let address = state.record.address.clone();
        let modelled = !forward.request.model.is_empty();
        let request = self.codec.engine_request(&EngineCall::Run {
            id: forward.request.id.clone(),
            host: forward.request.host.clone(),
            instance: instance.clone(),
            version: None,
            deadline: Some(left),
            last_event: forward.request.last_event,
            priority: modelled.then_some(forward.priority.min(9)),
            tenant: forward.request.tenant.clone(),
            http: forward.request.http.clone(),
        });
        let attempt = Attempt {
            call,
            fingerprint: forward.fingerprint,
            instance: instance.clone(),
            sent: now,
            began: None,
            head: None,
            body: BytesMut::new(),
        };
        self.attempts.insert(id, attempt);
        actions.push(ForwardAction::Http {
            id,
            address,
            request,
            // A kept connection may just be closing, and then nobody can tell
            // whether the request ran.
            fresh: forward.kind != RouteKind::Safe,
        });
    }

    pub(crate) fn forget(
        &mut self,
        id: HttpId,
        directory: &mut EngineDirectory,
    ) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        if let Some(state) = directory.get_mut(&attempt.instance) {
            state.experience.running = state.experience.running.saturating_sub(1);
        }
        if let Some(forward) = self.calls.get_mut(&attempt.call) {
            forward.open.retain(|open| *open != id);
        }
        Some(attempt)
    }

    /// Nobody waits for the answer any more: engines stop work for it.
    pub fn abandon(
        &mut self,
        call: CallId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        if let Some(forward) = self.calls.remove(&call) {
            log::info!("decision=abandon request={}", forward.request.id);
            self.cancel_all(&forward.open, directory, actions);
        }
    }

    pub(crate) fn cancel_all(
        &mut self,
        open: &[HttpId],
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        for id in open {
            actions.push(ForwardAction::CancelHttp(*id));
            self.forget(*id, directory);
        }
    }

    /// Ends what is late and tries a second engine where the first is silent.
    pub fn tick(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        self.check_engines(now, directory, actions);
        self.end_convicted(now, directory, actions);
        let late: Vec<CallId> = self.due(|forward| now >= forward.deadline);
        for call in late {
            let Some(forward) = self.calls.get_mut(&call) else {
                continue;
            };
            forward.may_have_run |= !forward.open.is_empty();
            let open = std::mem::take(&mut forward.open);
            self.cancel_all(&open, directory, actions);
            self.end_without_answer(now, call, actions);
        }
        let quarantine = &directory.quarantine;
        let silent: Vec<CallId> = self.due(|forward| {
            // A second copy of what ended one engine would be under way on another before
            // the first one shows anything: six of seven tries seen, each of which ended two
            // or three engines in 0.2 s, had one.
            let may_hedge = quarantine.crashes(forward.fingerprint) == 0 && !forward.may_have_run;
            forward.kind == RouteKind::Safe
                && may_hedge
                && now >= forward.hedge_at
                && forward.open.len() == 1
                && forward.sends < forward.max_attempts
        });
        for call in silent {
            self.note_silence(now, call, directory);
            self.dispatch(now, call, directory, actions);
        }
    }

    /// The engine that a request waits for has not answered in time.
    fn note_silence(&mut self, now: Time, call: CallId, directory: &mut EngineDirectory) {
        let open = self
            .calls
            .get(&call)
            .and_then(|forward| forward.open.last());
        let attempt = open.and_then(|id| self.attempts.get(id));
        if let Some(state) = attempt.and_then(|attempt| directory.get_mut(&attempt.instance)) {
            state.experience.left_unanswered(now);
        }
    }

    pub(crate) fn due(&self, test: impl Fn(&Forward) -> bool) -> Vec<CallId> {
        let due = self.calls.iter().filter(|(_, forward)| test(forward));
        due.map(|(call, _)| *call).collect()
    }
}

fn fingerprint_of(request: &CallerRequest) -> Fingerprint {
    Fingerprint::of(&RequestParts {
        method: &request.http.method,
        host: &request.host,
        path: &request.http.path,
        headers: &request.http.headers,
        body: &request.http.body,
        tenant: &request.tenant,
    })
}
