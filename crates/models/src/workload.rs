//! Callers: open-loop streams of requests, and what became of each.
//!
//! Arrivals are a Poisson process from a seed and do not wait for answers, so
//! that a slow system cannot hide its slowness. A caller that is told
//! `not-run` comes back when told to; one that lost its connection repeats a
//! request only if that is safe.

use peatgrade_schema::engine::{CompletionAnswer, Problem};
use peatgrade_schema::peer::Span;
use peatgrade_types::http::{HttpFailure, HttpRequest, ResponseHead};
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::client::WholeResponse;
use crate::text;

mod answers;
mod arrivals;
mod events;
mod stream;

use answers::{announced_break, check_app, check_streamed, last_event};
pub use events::{Ending, WorkloadEvent};
pub use stream::StreamSettings;

/// Tries of one request by its caller.
const MAX_TRIES: u32 = 4;
const TIMEOUT: Duration = Duration::from_secs(40);
/// Turns after which a session ends and another begins.
const TURNS_PER_SESSION: u32 = 8;

#[derive(Clone, Debug)]
struct Session {
    id: String,
    transcript: String,
    turn: u32,
    busy: bool,
}

#[derive(Clone, Debug)]
struct Logical {
    stream: usize,
    request_id: String,
    key: Option<String>,
    request: HttpRequest,
    prompt: String,
    seed: u64,
    session: Option<usize>,
    sent: Time,
    tries: u32,
    /// Tries under way.
    open: u32,
    ended: bool,
    node: usize,
    /// Whether a try was lost without any word of the system.
    lost: bool,
}

/// All streams of a deployment.
#[derive(Debug)]
pub struct Workload {
    streams: Vec<StreamSettings>,
    next_arrival: Vec<Time>,
    sessions: Vec<Vec<Session>>,
    requests: BTreeMap<u64, Logical>,
    tries: BTreeMap<u64, u64>,
    again: BTreeSet<(Time, u64)>,
    next_id: u64,
    next_try: u64,
    run: String,
    random: SmallRng,
    events: VecDeque<WorkloadEvent>,
    until: Time,
}

impl Workload {
    /// Streams that start at `start` and end at `until`. `run` keeps ids of
    /// different runs apart.
    pub fn new(
        streams: Vec<StreamSettings>,
        start: Time,
        until: Time,
        seed: u64,
        run: &str,
    ) -> Self {
        let mut workload = Self {
            next_arrival: vec![start; streams.len()],
            sessions: streams.iter().map(|_| Vec::new()).collect(),
            streams,
            requests: BTreeMap::new(),
            tries: BTreeMap::new(),
            again: BTreeSet::new(),
            next_id: 1,
            next_try: 1,
            run: run.to_string(),
            random: SmallRng::seed_from_u64(seed),
            events: VecDeque::new(),
            until,
        };
        for stream in 0..workload.streams.len() {
            workload.next_arrival[stream] = start + workload.gap(stream);
        }
        workload
    }

    /// Time to the next arrival of a stream.
    fn gap(&mut self, stream: usize) -> Duration {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        let seconds = -uniform.ln() / self.streams[stream].rate.max(1e-9);
        Duration((seconds * 1e6) as u64)
    }

    /// Requests not ended yet.
    pub fn open(&self) -> usize {
        self.requests
            .values()
            .filter(|request| !request.ended)
            .count()
    }

    /// What callers saw since the last call.
    pub fn take_events(&mut self) -> Vec<WorkloadEvent> {
        self.events.drain(..).collect()
    }

    /// When the next request is due.
    pub fn next_wake(&self) -> Option<Time> {
        let arrivals = self
            .next_arrival
            .iter()
            .copied()
            .filter(|at| *at < self.until);
        let again = self.again.first().map(|(at, _)| *at);
        arrivals.chain(again).min()
    }

    /// Takes in the end of a try.
    pub fn on_response(
        &mut self,
        now: Time,
        number: u64,
        result: Result<WholeResponse, HttpFailure>,
    ) {
        let Some(id) = self.tries.remove(&number) else {
            return;
        };
        let Some(logical) = self.requests.get_mut(&id) else {
            return;
        };
        logical.open -= 1;
        if logical.ended {
            // The slower of two tries: only its correctness is of interest.
            let logical = logical.clone();
            self.check_late(&logical, result);
            self.forget_if_done(id);
            return;
        }
        match result {
            Ok(response) => self.on_word(now, id, &response),
            Err(failure) => self.on_lost(now, id, &failure),
        }
        self.forget_if_done(id);
    }

    fn forget_if_done(&mut self, id: u64) {
        let done = self
            .requests
            .get(&id)
            .is_some_and(|r| r.ended && r.open == 0);
        if done {
            self.requests.remove(&id);
        }
    }

    fn check_late(&mut self, logical: &Logical, result: Result<WholeResponse, HttpFailure>) {
        let Ok(response) = result else {
            return;
        };
        if response.head.status == 200 {
            if let Err(reason) = self.check_answer(logical, &response) {
                self.push_ended(logical, Ending::Wrong(reason), Duration(0));
            }
        }
    }

    fn push_ended(&mut self, logical: &Logical, ending: Ending, latency: Duration) {
        self.events.push_back(WorkloadEvent::Ended {
            request_id: logical.request_id.clone(),
            stream: self.streams[logical.stream].name.clone(),
            ending,
            latency,
        });
    }

    /// The system said something.
    fn on_word(&mut self, now: Time, id: u64, response: &WholeResponse) {
        let logical = self.requests[&id].clone();
        let status = response.head.status;
        if (200..300).contains(&status) {
            if let Some(problem) = announced_break(&response.body) {
                return self.on_problem(now, id, &logical, &response.head, &problem);
            }
            let ending = match self.check_answer(&logical, response) {
                Ok(()) => Ending::Answered,
                Err(reason) => Ending::Wrong(reason),
            };
            return self.end(now, id, ending);
        }
        match serde_json::from_slice::<Problem>(&response.body) {
            Ok(problem) => self.on_problem(now, id, &logical, &response.head, &problem),
            Err(_) => self.end(now, id, Ending::Invalid(status)),
        }
    }

    /// The system said why there is no answer.
    fn on_problem(
        &mut self,
        now: Time,
        id: u64,
        logical: &Logical,
        head: &ResponseHead,
        problem: &Problem,
    ) {
        match problem.outcome.as_str() {
            "not-run" => {
                let other_tries = logical.open > 0 || logical.tries > 1;
                self.events.push_back(WorkloadEvent::RefusedNotRun {
                    request_id: logical.request_id.clone(),
                    other_tries,
                });
                let wait = head
                    .header("retry-after")
                    .and_then(|s| s.parse().ok())
                    .unwrap_or(1);
                self.retry_or_end(now, id, Duration::from_secs(wait), Ending::NotRun);
            }
            "outcome-unknown" => {
                let repeatable =
                    !self.streams[logical.stream].non_repeatable && logical.session.is_none();
                if repeatable {
                    self.retry_or_end(now, id, Duration::from_millis(100), Ending::Unknown);
                } else {
                    self.end(now, id, Ending::Unknown);
                }
            }
            _ => self.end(now, id, Ending::Invalid(problem.status)),
        }
    }

    fn on_lost(&mut self, now: Time, id: u64, failure: &HttpFailure) {
        let logical = self.requests[&id].clone();
        let settings = &self.streams[logical.stream];
        let not_sent = failure.step.is_unsent();
        let safe = not_sent || logical.key.is_some() || !settings.non_repeatable;
        if let Some(request) = self.requests.get_mut(&id) {
            request.lost |= !not_sent;
        }
        if safe && logical.session.is_none() || not_sent {
            self.retry_or_end(now, id, Duration::from_millis(200), Ending::Lost);
        } else {
            self.end(now, id, Ending::Lost);
        }
    }

    fn retry_or_end(&mut self, now: Time, id: u64, wait: Duration, ending: Ending) {
        let logical = &self.requests[&id];
        if logical.open > 0 {
            return;
        }
        if logical.tries < MAX_TRIES {
            self.again.insert((now + wait, id));
        } else {
            self.end(now, id, ending);
        }
    }

    fn end(&mut self, now: Time, id: u64, ending: Ending) {
        let Some(logical) = self.requests.get_mut(&id) else {
            return;
        };
        logical.ended = true;
        let logical = logical.clone();
        if let Some(index) = logical.session {
            self.end_turn(&logical, index, &ending);
        }
        self.push_ended(&logical, ending, now.since(logical.sent));
    }

    /// A session goes on after an answered turn; after one whose outcome is
    /// not known another session begins, since its text cannot be foretold.
    fn end_turn(&mut self, logical: &Logical, index: usize, ending: &Ending) {
        let session = &mut self.sessions[logical.stream][index];
        session.busy = false;
        let goes_on = matches!(ending, Ending::Answered | Ending::NotRun);
        if !goes_on || session.turn >= TURNS_PER_SESSION {
            let base = session.id.split('~').next().unwrap_or("").to_string();
            session.id = format!("{base}~{}", self.next_id);
            session.transcript.clear();
            session.turn = 0;
        }
    }

    fn check_answer(&mut self, logical: &Logical, response: &WholeResponse) -> Result<(), String> {
        let settings = &self.streams[logical.stream];
        if !settings.path.is_empty() {
            return check_app(settings, &logical.request, &logical.request_id, response);
        }
        let answer = if settings.stream {
            last_event(&response.body)
        } else {
            serde_json::from_slice::<CompletionAnswer>(&response.body).ok()
        };
        let answer = answer.ok_or_else(|| format!("unreadable answer: {:?}", response.body))?;
        let expected = text::expected(
            &logical.prompt,
            logical.seed,
            settings.shortest_answer,
            settings.max_tokens,
        );
        let given = answer
            .choices
            .first()
            .map(|choice| choice.text.clone())
            .unwrap_or_default();
        let truth = text::check(&given, &expected).map_err(|error| error.to_string())?;
        let claimed: Vec<Span> = answer
            .spans
            .iter()
            .map(|span| Span {
                weights: span.weights,
                tokens: span.tokens,
            })
            .collect();
        if claimed != truth {
            return Err(format!("claims versions {claimed:?}, has {truth:?}"));
        }
        if settings.stream {
            check_streamed(&response.body, &given)?;
        }
        if let Some(index) = logical.session {
            let session = &mut self.sessions[logical.stream][index];
            session.turn += 1;
            if answer.session_turn != u64::from(session.turn) {
                return Err(format!(
                    "turn {} instead of {}",
                    answer.session_turn, session.turn
                ));
            }
            session.transcript = format!("{}{given}\n", logical.prompt);
        }
        Ok(())
    }
}
