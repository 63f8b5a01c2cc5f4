//! Requests that go to an engine and back.

use bytes::BytesMut;
use peatgrade_fleet::{EngineDirectory, Incarnation};
use peatgrade_ports::{AnswerHead, CallerRequest, Codec, EngineCall, Instance, Route, RouteKind};
use peatgrade_quarantine::{Fingerprint, RequestParts};
use peatgrade_types::http::ResponseHead;
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::action::{CallId, ForwardAction, HttpId};
use crate::admission::{Rejection, RejectionRate};
use crate::connect_times::ConnectTimes;
use crate::retry_budget::RetryBudgets;
use crate::stream::PassedStream;
use crate::suspects::EngineCheck;

/// Shortest wait before a second engine is tried while the first is silent.
const HEDGE_MIN: Duration = Duration::from_millis(60);
/// That wait as a multiple of the engine's usual time.
const HEDGE_FACTOR: f64 = 3.0;
/// Time kept back from the caller's own, for the way to it and for the turn of this
/// machine in which it sees that the time is over.
const RETURN_MARGIN: Duration = Duration::from_millis(30);
/// Time that a request without a deadline may take.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

pub(crate) struct Attempt {
    pub call: CallId,
    pub fingerprint: Fingerprint,
    pub instance: Instance,
    /// The life of the engine in which it was sent.
    pub life: Incarnation,
    pub sent: Time,
    /// How long its connection may take to come up.
    pub connect_patience: Duration,
    /// That time was over at the last look.
    pub is_overdue: bool,
    /// Bytes of it may have gone out.
    pub is_open: bool,
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
    pub configuration_version: u64,
    /// Engines that were sent to and did not refuse.
    pub sends: u32,
    pub refusals: u32,
    /// Engines to which no connection came up.
    pub unconnected: u32,
    /// Why it was not offered to one more engine.
    pub rejection: Option<Rejection>,
    /// The budget had no copy for it.
    pub is_copy_denied: bool,
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
            actions.push(ForwardAction::ExecutionStarted { tenant, at });
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
    pub configuration_version: u64,
}

/// What a forwarder is told at its start.
#[derive(Clone, Debug)]
pub struct ForwarderSettings {
    /// Zone of this machine.
    pub zone: String,
    /// Seed of random choices.
    pub seed: u64,
    /// Whether a request that no engine can serve in time is rejected before it is sent.
    pub rejects_unservable: bool,
    /// Copies, repeats and hedges, for each hundred first tries; 0 for no bound.
    pub retry_budget_percent: u32,
}

/// Requests under way to engines.
pub struct Forwarder {
    pub(crate) codec: Rc<dyn Codec>,
    pub(crate) zone: String,
    pub(crate) rejects_unservable: bool,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) connect_times: ConnectTimes,
    pub(crate) rejections: RejectionRate,
    /// Counts of what happened here.
    pub(crate) counts: ForwardCounts,
    pub(crate) random: SmallRng,
    pub(crate) calls: BTreeMap<CallId, Forward>,
    pub(crate) attempts: HashMap<HttpId, Attempt>,
    /// Engines that are asked whether they are there.
    pub(crate) checks: HashMap<HttpId, EngineCheck>,
    pub(crate) next_id: u64,
    /// Engines that had started again when open requests were last looked through.
    pub(crate) lives_seen: u64,
}

impl Forwarder {
    /// A forwarder without requests.
    pub fn new(codec: Rc<dyn Codec>, settings: ForwarderSettings) -> Self {
        Self {
            codec,
            zone: settings.zone,
            rejects_unservable: settings.rejects_unservable,
            retry_budgets: RetryBudgets::new(settings.retry_budget_percent),
            connect_times: ConnectTimes::default(),
            rejections: RejectionRate::default(),
            counts: ForwardCounts::default(),
            random: SmallRng::seed_from_u64(settings.seed),
            calls: BTreeMap::new(),
            attempts: HashMap::new(),
            checks: HashMap::new(),
            next_id: 1,
            lives_seen: 0,
        }
    }

    /// What happened here since the start.
    pub fn counts(&self) -> ForwardCounts {
        ForwardCounts {
            extra_attempts: self.retry_budgets.granted,
            extra_attempts_denied: self.retry_budgets.denied,
            ..self.counts
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
            configuration_version,
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
            configuration_version,
            sends: 0,
            refusals: 0,
            unconnected: 0,
            rejection: None,
            is_copy_denied: false,
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
        self.retry_budgets.record_first_attempt(&forward.service);
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

    pub(crate) fn send(
        &mut self,
        now: Time,
        call: CallId,
        instance: &Instance,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let list_age = now.since(directory.confirmed_at);
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(life) = directory.begin_request(now, instance) else {
            return;
        };
        let Some(state) = directory.get(instance) else {
            return;
        };
        let id = HttpId(self.next_id);
        self.next_id += 1;
        let usual = Duration((state.stats.mean_latency_us * HEDGE_FACTOR) as u64);
        let latest = Duration(forward.target_latency.0 / 2).max(HEDGE_MIN);
        let (zone, unconnected) = (&state.record.zone, state.stats.connect_timeouts);
        let target = forward.target_latency;
        let connect_patience = self.connect_times.timeout(zone, unconnected, target);
        forward.hedge_at = now + usual.clamp(HEDGE_MIN, latest);
        forward.sends += 1;
        forward.tried.push(instance.clone());
        forward.open.push(id);
        let left = forward.deadline.since(now);
        log::info!(
            "decision=send request={} fingerprint={} engine={instance} service={} attempt={} \
             running={} latency_us={:.0} connect_patience_ms={} left_ms={} configuration={} \
             list_age_ms={}",
            forward.request.id,
            forward.fingerprint,
            forward.service,
            forward.sends,
            state.stats.in_flight,
            state.stats.mean_latency_us,
            connect_patience.as_millis(),
            left.as_millis(),
            forward.configuration_version,
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
            life,
            sent: now,
            connect_patience,
            is_overdue: false,
            is_open: false,
            began: None,
            head: None,
            body: BytesMut::new(),
        };
        self.attempts.insert(id, attempt);
        actions.push(ForwardAction::SendHttp {
            id,
            address,
            request,
            // A kept connection may just be closing, and then nobody can tell
            // whether the request ran. Nor does it show that anybody is there: of the
            // attempts that a request has, one at least is spent on an engine that
            // listens (nine requests timed out at two dark ones in 10 s without).
            new_connection: forward.kind != RouteKind::Safe || forward.sends > 1,
        });
    }

    pub(crate) fn forget(
        &mut self,
        id: HttpId,
        directory: &mut EngineDirectory,
    ) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        directory.end_request(&attempt.instance, attempt.life);
        if let Some(forward) = self.calls.get_mut(&attempt.call) {
            forward.open.retain(|open| *open != id);
        }
        Some(attempt)
    }
}

/// Counts of a forwarder, each since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ForwardCounts {
    /// Requests that were rejected before an engine was asked, or after none took them,
    /// because none could serve them in time.
    pub rejected: u64,
    /// Attempts that were given up because no connection came up.
    pub unconnected: u64,
    /// Repeats and hedges.
    pub extra_attempts: u64,
    /// Repeats and hedges that were left out for want of budget.
    pub extra_attempts_denied: u64,
}

impl ForwardCounts {
    /// The same with their names.
    pub fn metrics(&self) -> [(&'static str, u64); 4] {
        [
            ("lookups_rejected", self.rejected),
            ("lookups_unconnected", self.unconnected),
            ("lookup_copies", self.extra_attempts),
            ("lookup_copies_denied", self.extra_attempts_denied),
        ]
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
