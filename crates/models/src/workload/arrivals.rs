//! Arrivals: which requests are due, and what is in them.

use peatgrade_types::http::HttpRequest;
use peatgrade_types::{Duration, Time};
use rand::Rng;
use serde_json::json;

use super::stream::StreamSettings;
use super::{Logical, Session, Workload, WorkloadEvent, TIMEOUT};
use crate::client::{ClientRequest, Target};

impl Workload {
    /// Requests that are due.
    pub fn poll(&mut self, now: Time) -> Vec<ClientRequest> {
        let mut due = Vec::new();
        for stream in 0..self.streams.len() {
            while self.next_arrival[stream] <= now && self.next_arrival[stream] < self.until {
                let at = self.next_arrival[stream];
                self.next_arrival[stream] = at + self.gap(stream);
                self.arrive(at, stream, &mut due);
            }
        }
        while self.again.first().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, id)) = self.again.pop_first() {
                due.extend(self.try_once(id));
            }
        }
        due
    }

    fn arrive(&mut self, at: Time, stream: usize, due: &mut Vec<ClientRequest>) {
        let settings = self.streams[stream].clone();
        let id = self.next_id;
        self.next_id += 1;
        let request_id = format!("{}-{}-{id}", self.run, settings.name);
        let key = settings.keyed.then(|| format!("key-{}-{id}", self.run));
        let session = self.free_session(stream);
        if settings.sessions > 0 && session.is_none() {
            return;
        }
        let mut logical = Logical {
            stream,
            request_id,
            key,
            request: HttpRequest::default(),
            prompt: String::new(),
            seed: id,
            session,
            sent: at,
            tries: 0,
            open: 0,
            ended: false,
            node: self.random.random_range(0..1_000_000),
            lost: false,
        };
        self.fill_request(&settings, &mut logical);
        let twice = settings.keyed && self.random.random_bool(settings.duplicates.clamp(0.0, 1.0));
        self.requests.insert(id, logical);
        due.extend(self.try_once(id));
        if twice {
            // The same request by a second way, a moment later.
            let delay = Duration(self.random.random_range(0..30_000));
            self.again.insert((at + delay, id));
        }
    }

    fn free_session(&mut self, stream: usize) -> Option<usize> {
        let wanted = self.streams[stream].sessions;
        let sessions = &mut self.sessions[stream];
        if sessions.len() < wanted {
            sessions.push(Session {
                id: format!("{}-{stream}-{}", self.run, sessions.len()),
                transcript: String::new(),
                turn: 0,
                busy: false,
            });
        }
        let index = sessions.iter().position(|session| !session.busy)?;
        sessions[index].busy = true;
        Some(index)
    }

    fn fill_request(&mut self, settings: &StreamSettings, logical: &mut Logical) {
        let mut request = if settings.path.is_empty() {
            let words = settings.prompt_bytes / 8;
            let topic = self.random.random_range(0..12u32);
            // Prompts of one topic share their first half.
            let shared: String = (0..words / 2)
                .map(|n| format!("t{topic:02}w{n:03} "))
                .collect();
            let own: String = (0..words / 2)
                .map(|n| format!("{:06}{n:01} ", logical.seed % 1_000_000))
                .collect();
            logical.prompt = shared + &own;
            let body = json!({
                "model": settings.tenant,
                "prompt": logical.prompt,
                "max_tokens": settings.max_tokens,
                "seed": logical.seed,
                "stream": settings.stream,
            });
            HttpRequest::new("POST", "/v1/completions", body.to_string())
        } else {
            let path = format!("/{}{}/{}", settings.tenant, settings.path, logical.seed);
            let body = if settings.method == "GET" {
                String::new()
            } else {
                format!("body-{}", logical.seed)
            };
            HttpRequest::new(&settings.method, path, body)
        };
        request = request.with_header("x-request-id", logical.request_id.clone());
        if let Some(key) = &logical.key {
            request = request.with_header("idempotency-key", key.clone());
        }
        if let Some(index) = logical.session {
            let session = &self.sessions[logical.stream][index];
            request = request.with_header("x-session-id", session.id.clone());
            logical.prompt = format!("{}{}", session.transcript, logical.prompt);
        }
        logical.request = request;
    }

    fn try_once(&mut self, id: u64) -> Option<ClientRequest> {
        let logical = self
            .requests
            .get_mut(&id)
            .filter(|logical| !logical.ended)?;
        logical.tries += 1;
        logical.open += 1;
        logical.node += 1;
        let number = self.next_try;
        self.next_try += 1;
        self.tries.insert(number, id);
        self.events.push_back(WorkloadEvent::Sent {
            request_id: logical.request_id.clone(),
            key: logical.key.clone(),
            non_repeatable: self.streams[logical.stream].non_repeatable,
        });
        Some(ClientRequest {
            id: number,
            target: Target::Node(logical.node),
            request: logical.request.clone(),
            timeout: TIMEOUT,
        })
    }
}
