//! A generation in progress, put together from one or more engines' streams.

use peatgrade_schema::engine::{CompletionChunk, WeightSpan};
use peatgrade_schema::peer::Span;
use peatgrade_training::extend_spans;

/// Reads server-sent events from pieces of a body.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventDecoder {
    buffer: Vec<u8>,
}

impl EventDecoder {
    /// The data of every event completed by this piece.
    pub fn feed(&mut self, piece: &[u8]) -> Vec<Vec<u8>> {
        self.buffer.extend_from_slice(piece);
        let mut events = Vec::new();
        while let Some(end) = find(&self.buffer, b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let line = event.strip_prefix(b"data: ".as_slice());
            events.extend(line.map(|data| data[..data.len() - 2].to_vec()));
        }
        events
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

/// Text and provenance generated so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Generation {
    pub text: String,
    pub tokens: u32,
    pub spans: Vec<Span>,
    /// Why generation ended; empty while it has not.
    pub finish_reason: String,
}

/// What one piece of a stream brought.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// New text.
    pub text: String,
    /// Whether the stream said that the answer is whole.
    pub whole: bool,
}

impl Generation {
    /// Takes in one event. Provenance is what the engine says with the tokens,
    /// never what it was asked for.
    pub fn on_event(&mut self, data: &[u8], progress: &mut Progress) {
        if data == b"[DONE]" {
            progress.whole = !self.finish_reason.is_empty();
            return;
        }
        let Ok(chunk) = serde_json::from_slice::<CompletionChunk>(data) else {
            return;
        };
        self.text.push_str(&chunk.text);
        progress.text.push_str(&chunk.text);
        self.tokens += chunk.tokens;
        extend_spans(&mut self.spans, chunk.weights, chunk.tokens);
        if !chunk.finish_reason.is_empty() {
            self.finish_reason = chunk.finish_reason;
        }
    }

    /// Spans as callers see them.
    pub fn weight_spans(&self) -> Vec<WeightSpan> {
        weight_spans(&self.spans)
    }
}

/// Spans as callers and trainers see them.
pub(crate) fn weight_spans(spans: &[Span]) -> Vec<WeightSpan> {
    let converted = spans.iter().map(|span| WeightSpan {
        weights: span.weights,
        tokens: span.tokens,
    });
    converted.collect()
}
