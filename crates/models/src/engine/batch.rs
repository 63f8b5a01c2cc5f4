//! Continuous batching: requests join and leave the batch at any step, and
//! each slows down the others.

use peatgrade_schema::engine::{CompletionChunk, CompletionRequest};
use peatgrade_types::http::ResponsePart;
use peatgrade_types::{Duration, Time};

use super::EngineSettings;
use crate::platform::RequestId;
use crate::text::Expected;

/// Time between two steps of the model.
pub const STEP: Duration = Duration::from_millis(50);
/// How much slower each request is in a full batch than alone.
const FULL_BATCH_SLOWDOWN: f64 = 0.7;

#[derive(Debug)]
struct Sequence {
    id: RequestId,
    priority: u8,
    arrived: Time,
    shape: Expected,
    prefill_left: f64,
    position: u32,
    partial: f64,
}

/// Sequences in the batch and in front of it.
#[derive(Debug, Default)]
pub struct Batch {
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    last: Time,
}

impl Batch {
    /// Sequences that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Sequences in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Adds a request; `prefill` is the part of its prompt not cached.
    pub fn add(
        &mut self,
        now: Time,
        id: RequestId,
        body: &CompletionRequest,
        shape: Expected,
        prefill: f64,
    ) {
        if self.running.is_empty() && self.waiting.is_empty() {
            self.last = now;
        }
        self.waiting.push(Sequence {
            id,
            priority: body.priority,
            arrived: now,
            shape,
            prefill_left: prefill,
            position: body.resume_from.min(shape.length),
            partial: 0.0,
        });
        self.waiting
            .sort_by_key(|sequence| (sequence.priority, sequence.arrived));
    }

    /// Gives a request up.
    pub fn cancel(&mut self, id: RequestId) {
        self.running.retain(|sequence| sequence.id != id);
        self.waiting.retain(|sequence| sequence.id != id);
    }

    /// Drops everything; returns the requests.
    pub fn clear(&mut self) -> Vec<RequestId> {
        let dropped = self.running.drain(..).chain(self.waiting.drain(..));
        dropped.map(|sequence| sequence.id).collect()
    }

    /// A request that has generated something.
    pub fn first_started(&self) -> Option<RequestId> {
        let started = self.running.iter().find(|sequence| sequence.position > 0);
        started.map(|sequence| sequence.id)
    }

    /// When the next step is due.
    pub fn next_step(&self) -> Time {
        self.last + STEP
    }

    /// Lets time pass without work.
    pub fn skip_to(&mut self, now: Time) {
        self.last = now;
    }

    /// Generates until `now` with one weight version.
    pub fn advance(
        &mut self,
        now: Time,
        settings: &EngineSettings,
        speed: f64,
        weights: u64,
        out: &mut Vec<(RequestId, ResponsePart)>,
    ) {
        self.fill(settings.slots as usize);
        let elapsed = now.since(self.last).as_secs_f64();
        if now < self.next_step() {
            return;
        }
        self.last = now;
        let fullness = self.running.len() as f64 / f64::from(settings.slots.max(1));
        let rate = settings.tokens_per_second * speed / (1.0 + FULL_BATCH_SLOWDOWN * fullness);
        let prefill = settings.prefill_per_second * speed / (1.0 + fullness);
        for sequence in &mut self.running {
            let seconds = sequence.spend_prefill(elapsed, prefill);
            sequence.partial += seconds * rate;
            let whole = sequence.partial.floor();
            sequence.partial -= whole;
            emit(sequence, whole as u32, weights, out);
        }
        self.running
            .retain(|sequence| sequence.position < sequence.shape.length);
        self.fill(settings.slots as usize);
    }

    /// Moves waiting sequences into the batch; an urgent one takes the place
    /// of one that can wait, which keeps what it has generated.
    fn fill(&mut self, slots: usize) {
        while self.running.len() < slots && !self.waiting.is_empty() {
            let next = self.waiting.remove(0);
            self.running.push(next);
        }
        while self
            .waiting
            .first()
            .is_some_and(|first| first.priority == 0)
        {
            let Some(index) = self.running.iter().position(|s| s.priority >= 2) else {
                return;
            };
            let urgent = self.waiting.remove(0);
            let displaced = std::mem::replace(&mut self.running[index], urgent);
            self.waiting.push(displaced);
            self.waiting.sort_by_key(|s| (s.priority, s.arrived));
        }
    }
}

impl Sequence {
    /// Spends time on the prompt; returns the seconds that are left.
    fn spend_prefill(&mut self, seconds: f64, rate: f64) -> f64 {
        let needed = self.prefill_left / rate;
        if needed >= seconds {
            self.prefill_left -= seconds * rate;
            return 0.0;
        }
        self.prefill_left = 0.0;
        seconds - needed
    }
}

fn emit(
    sequence: &mut Sequence,
    tokens: u32,
    weights: u64,
    out: &mut Vec<(RequestId, ResponsePart)>,
) {
    let end = (sequence.position + tokens).min(sequence.shape.length);
    let finished = end == sequence.shape.length;
    if end == sequence.position && !finished {
        return;
    }
    let text: String = (sequence.position..end)
        .map(|position| sequence.shape.token(position, weights))
        .collect();
    let chunk = CompletionChunk {
        text,
        tokens: end - sequence.position,
        weights,
        finish_reason: if finished {
            "stop".into()
        } else {
            String::new()
        },
        cached_tokens: 0,
    };
    sequence.position = end;
    let mut event = b"data: ".to_vec();
    event.extend_from_slice(&serde_json::to_vec(&chunk).unwrap_or_default());
    event.extend_from_slice(b"\n\n");
    if finished {
        event.extend_from_slice(b"data: [DONE]\n\n");
    }
    out.push((sequence.id, ResponsePart::Data(event.into())));
    if finished {
        out.push((sequence.id, ResponsePart::End));
    }
}
