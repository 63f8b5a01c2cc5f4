//! Routes each caller's message and joins the parts of the gateway.

use peatgrade_authentication::{Denied, KeyDigest};
use peatgrade_fleet::EngineDirectory;
use peatgrade_forward::{
    answer_parts, AcceptedCall, CallId, ForwardAction, ForwardCounts, Forwarder, ForwarderSettings,
    HttpId, DEFAULT_RETRY_AFTER,
};
use peatgrade_ports::{
    Answer, CallerMessage, CallerRequest, Codec, Configuration, Refusal, RouteKind,
};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{EndJob, JobCall, JobReply, ReadItem, ReadJob};
use peatgrade_types::http::ResponsePart;
use peatgrade_types::{Duration, Time};
use std::rc::Rc;

use crate::relay::{subject_of, JobRelay, RelaySettings};
use crate::unchecked_ends::UncheckedEnds;

/// Most bytes of results in one answer.
const MAX_RESULT_BYTES: u64 = 900_000;
/// Stands for a caller that has gone; the driver numbers callers from 1 on.
const NO_CALLER: CallId = CallId(0);
/// When a caller may come back to a gateway that knows nothing yet.
const COME_BACK_STARTING: Duration = Duration::from_millis(200);

/// What the gateway wants done.
#[derive(Clone, Debug)]
pub enum GatewayAction {
    /// Serve a caller's request.
    Forward(ForwardAction),
    /// Send a batch-job call to a replica.
    SendJobCall {
        /// IP and port.
        address: String,
        /// The call.
        call: JobCall,
    },
}

/// What a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// How single requests go to engines, and from where.
    pub forwarding: ForwarderSettings,
    /// Number of the first batch-job call, another in each life.
    pub first_call_id: u64,
    /// Age of the news of the configuration from which on no key is believed; none if
    /// keys are believed however old it is.
    pub max_key_staleness: Option<Duration>,
}

/// The core of a gateway.
pub struct Gateway {
    codec: Rc<dyn Codec>,
    forwarder: Forwarder,
    relay: JobRelay,
    unchecked_ends: UncheckedEnds,
    /// Nothing new is taken any more.
    draining: bool,
    max_key_staleness: Option<Duration>,
    /// Time since the store last proved that nothing newer is there.
    pub store_staleness: Duration,
    /// Newest configuration; none before the first.
    pub configuration: Option<Rc<Configuration>>,
    /// Engines.
    pub directory: EngineDirectory,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(settings: GatewaySettings, codec: Rc<dyn Codec>) -> Self {
        Self {
            relay: JobRelay::new(
                RelaySettings::default(),
                settings.forwarding.zone.clone(),
                settings.first_call_id,
            ),
            forwarder: Forwarder::new(codec.clone(), settings.forwarding),
            codec,
            unchecked_ends: UncheckedEnds::default(),
            draining: false,
            max_key_staleness: settings.max_key_staleness,
            store_staleness: Duration(0),
            configuration: None,
            directory: EngineDirectory::default(),
        }
    }

    /// Takes nothing new from here on. Callers may go on coming after a stop was
    /// asked for, where too few other gateways are there: without an end to it,
    /// what is under way would never be done before the process must go.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Takes a newer configuration; an older one changes nothing.
    pub fn apply_configuration(&mut self, configuration: Configuration) -> bool {
        let held = self.configuration.as_ref().map_or(0, |c| c.version);
        if configuration.version <= held {
            return false;
        }
        let services = configuration.services.keys();
        self.directory.set_services(services);
        self.configuration = Some(Rc::new(configuration));
        true
    }

    /// Addresses of replicas to ask for the leader.
    pub fn set_replicas(&mut self, addresses: Vec<String>) {
        self.relay.set_replicas(addresses);
    }

    /// Whether no replica leads, as far as this gateway knows, though calls
    /// wait for one.
    pub fn needs_replica_lookup(&self, now: Time) -> bool {
        self.relay.needs_replica_lookup(now)
    }

    /// Requests under way.
    pub fn in_flight(&self) -> usize {
        self.forwarder.in_flight() + self.relay.in_flight() + self.unchecked_ends.len()
    }

    /// What became of single requests.
    pub fn forward_counts(&self) -> ForwardCounts {
        self.forwarder.counts()
    }

    /// Takes a caller's message.
    pub fn on_caller_message(
        &mut self,
        now: Time,
        call: CallId,
        message: CallerMessage,
    ) -> Vec<GatewayAction> {
        let mut actions = Vec::new();
        // The end of a job is taken to the last: it costs nothing, and work ends with it.
        if self.draining && !matches!(message, CallerMessage::EndJob { .. }) {
            let reason = "this gateway is stopping";
            let (subject, later) = (message.to_string(), Some(DEFAULT_RETRY_AFTER));
            self.refuse(&mut actions, call, &subject, Refusal::NotRun, reason, later);
            return actions;
        }
        match message {
            CallerMessage::Bad(bad) => {
                let (subject, refusal) = ("request=unreadable", Refusal::Malformed);
                self.refuse(&mut actions, call, subject, refusal, &bad.reason, None);
            }
            CallerMessage::Request(request) => self.on_request(now, call, request, &mut actions),
            CallerMessage::ReadJob(read) => {
                let wait = read.wait;
                let body = OneOfbody::read(ReadJob {
                    job: read.job,
                    position: read.position,
                    wait_ms: wait.as_millis(),
                    max_bytes: MAX_RESULT_BYTES,
                });
                self.on_job_call(now, call, read.key, body, wait, &mut actions);
            }
            CallerMessage::ReadItem { job, item, key } => {
                let body = OneOfbody::item(ReadItem { job, item });
                self.on_job_call(now, call, key, body, Duration(0), &mut actions);
            }
            CallerMessage::EndJob { job, key } => {
                let body = OneOfbody::end(EndJob { job });
                self.on_job_call(now, call, key, body, Duration(0), &mut actions);
            }
        }
        actions
    }

    /// Finds out which tenant asks about a batch job, and passes the call on in its name.
    fn on_job_call(
        &mut self,
        now: Time,
        call: CallId,
        key: Option<KeyDigest>,
        body: OneOfbody,
        wait: Duration,
        actions: &mut Vec<GatewayAction>,
    ) {
        let subject = subject_of(&body);
        let Some(configuration) = self.configuration.clone() else {
            if let OneOfbody::end(end) = body {
                if self.unchecked_ends.keep(now, call, end.job, key) {
                    return log::info!("decision=keep {subject} reason=no-configuration-yet");
                }
            }
            return self.refuse_starting(actions, call, &subject);
        };
        let subject = format!("{subject} configuration={}", configuration.version);
        match configuration.tenant_of_job_call(key) {
            Ok(Some(_)) if self.is_key_unproven() => {
                self.refuse_unproven(actions, call, &subject);
            }
            Ok(tenant) => {
                let tenant = tenant.unwrap_or("").to_string();
                self.relay_call(now, call, tenant, body, wait, actions);
            }
            Err(denied) => self.deny(actions, call, &subject, denied),
        }
    }

    /// Passes on ends that came before the first configuration, and answers callers that
    /// have waited for one for long. It is kept, so that it will not be done would be a
    /// false promise.
    fn follow_unchecked_ends(&mut self, now: Time, actions: &mut Vec<GatewayAction>) {
        for call in self.unchecked_ends.take_late_callers(now) {
            let reason = "no configuration is known yet";
            let refusal = Refusal::Unknown;
            self.refuse(actions, call, "call=end", refusal, reason, None);
        }
        if self.configuration.is_none() {
            return;
        }
        for end in self.unchecked_ends.take_all() {
            // Whoever has gone is told nothing, but the end is carried on all the same.
            let caller = end.caller.unwrap_or(NO_CALLER);
            let body = OneOfbody::end(EndJob { job: end.job });
            self.on_job_call(now, caller, end.key, body, Duration(0), actions);
            if end.caller.is_none() {
                self.relay.on_caller_disconnected(now, NO_CALLER);
            }
        }
    }

    /// Whether a key may have been taken away without word of it here, where that must not
    /// be risked.
    fn is_key_unproven(&self) -> bool {
        let limit = self.max_key_staleness;
        limit.is_some_and(|limit| self.store_staleness >= limit)
    }

    fn refuse_unproven(&self, actions: &mut Vec<GatewayAction>, call: CallId, subject: &str) {
        let reason = "keys cannot be checked just now";
        let subject = format!("{subject} news_age_ms={}", self.store_staleness.as_millis());
        let later = Some(DEFAULT_RETRY_AFTER);
        self.refuse(actions, call, &subject, Refusal::NotRun, reason, later);
    }

    /// Nobody who is known asks: final, and nothing of the request goes further.
    fn deny(&self, actions: &mut Vec<GatewayAction>, call: CallId, subject: &str, denied: Denied) {
        let reason = denied.to_string();
        let subject = &format!("{subject} news_age_ms={}", self.store_staleness.as_millis());
        self.refuse(actions, call, subject, Refusal::Unauthorized, &reason, None);
    }

    fn refuse_starting(&self, actions: &mut Vec<GatewayAction>, call: CallId, subject: &str) {
        let reason = "no configuration is known yet";
        let later = Some(COME_BACK_STARTING);
        self.refuse(actions, call, subject, Refusal::NotRun, reason, later);
    }

    fn on_request(
        &mut self,
        now: Time,
        call: CallId,
        mut request: CallerRequest,
        actions: &mut Vec<GatewayAction>,
    ) {
        let subject = format!("request={} host={}", request.id, request.host);
        let Some(configuration) = self.configuration.clone() else {
            return self.refuse_starting(actions, call, &subject);
        };
        let subject = format!("{subject} configuration={}", configuration.version);
        let route = configuration.route(&request.host, &request.http.path);
        let Some(route) = route else {
            let reason = "no route matches host and path";
            return self.refuse(actions, call, &subject, Refusal::NoRoute, reason, None);
        };
        match configuration.tenant_on(route, request.key) {
            Ok(Some(_)) if self.is_key_unproven() => {
                return self.refuse_unproven(actions, call, &subject);
            }
            Ok(tenant) => request.tenant = tenant.unwrap_or("").to_string(),
            Err(denied) => return self.deny(actions, call, &subject, denied),
        }
        if request.http.body.len() > configuration.limits.body_bytes {
            let reason = "the body is longer than allowed";
            return self.refuse(actions, call, &subject, Refusal::Malformed, reason, None);
        }
        if route.kind != RouteKind::Batch {
            let tenants = &configuration.tenants;
            let accepted = AcceptedCall {
                call,
                priority: tenants.priority_of(&request.tenant, route.priority),
                request,
                route,
                configuration_version: configuration.version,
            };
            let mut forwards = Vec::new();
            self.forwarder
                .start(now, accepted, &mut self.directory, &mut forwards);
            return actions.extend(forwards.into_iter().map(GatewayAction::Forward));
        }
        match self.codec.submission(&request) {
            Ok(submission) => {
                let tenant = submission.tenant.clone();
                let body = OneOfbody::submit(submission);
                self.relay_call(now, call, tenant, body, Duration(0), actions);
            }
            Err(bad) => {
                let refusal = Refusal::Malformed;
                self.refuse(actions, call, &subject, refusal, &bad.reason, None);
            }
        }
    }

    /// Passes a batch-job call on, or answers it at once.
    fn relay_call(
        &mut self,
        now: Time,
        call: CallId,
        tenant: String,
        body: OneOfbody,
        wait: Duration,
        actions: &mut Vec<GatewayAction>,
    ) {
        let answer = self.relay.start(now, call, tenant, body, wait, actions);
        if let Some(answer) = answer {
            self.respond(actions, call, &answer);
        }
    }

    /// A replica has sent news, which come all the time.
    pub fn on_replica_contact(&mut self, now: Time) {
        self.relay.on_replica_contact(now);
    }

    /// Answers at once without any engine. `subject` names what is refused in the log.
    fn refuse(
        &self,
        actions: &mut Vec<GatewayAction>,
        call: CallId,
        subject: &str,
        refusal: Refusal,
        detail: &str,
        retry_after: Option<Duration>,
    ) {
        log::info!("decision=refuse {subject} refusal={refusal:?} reason={detail}");
        let answer = Answer::Refused {
            refusal,
            detail: detail.to_string(),
            retry_after,
        };
        self.respond(actions, call, &answer);
    }

    fn respond(&self, actions: &mut Vec<GatewayAction>, call: CallId, answer: &Answer) {
        let parts = answer_parts(self.codec.as_ref(), call, answer);
        actions.extend(parts.map(GatewayAction::Forward));
    }

    /// A caller has gone away.
    pub fn on_caller_disconnected(&mut self, now: Time, call: CallId) -> Vec<GatewayAction> {
        let mut forwards = Vec::new();
        self.forwarder
            .cancel(call, &mut self.directory, &mut forwards);
        self.unchecked_ends.caller_gone(call);
        self.relay.on_caller_disconnected(now, call);
        forwards.into_iter().map(GatewayAction::Forward).collect()
    }

    /// A request to an engine got a connection, after so long if it is a new one.
    pub fn on_engine_connected(&mut self, id: HttpId, connected_in: Option<Duration>) {
        let directory = &mut self.directory;
        self.forwarder.on_connected(id, connected_in, directory);
    }

    /// A part of an engine's answer has come.
    pub fn on_response_part(
        &mut self,
        now: Time,
        id: HttpId,
        part: ResponsePart,
    ) -> Vec<GatewayAction> {
        let mut forwards = Vec::new();
        self.forwarder
            .on_response_part(now, id, part, &mut self.directory, &mut forwards);
        forwards.into_iter().map(GatewayAction::Forward).collect()
    }

    /// A replica has answered.
    pub fn on_job_reply(&mut self, now: Time, from: &str, reply: JobReply) -> Vec<GatewayAction> {
        let mut actions = Vec::new();
        let answered = self.relay.on_reply(now, from, reply, &mut actions);
        if let Some((call, answer)) = answered {
            self.respond(&mut actions, call, &answer);
        }
        actions
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time) -> Vec<GatewayAction> {
        let mut forwards = Vec::new();
        self.forwarder.tick(now, &mut self.directory, &mut forwards);
        let forwards = forwards.into_iter().map(GatewayAction::Forward);
        let mut actions: Vec<GatewayAction> = forwards.collect();
        self.follow_unchecked_ends(now, &mut actions);
        for (call, answer) in self.relay.tick(now, &mut actions) {
            self.respond(&mut actions, call, &answer);
        }
        actions
    }
}
