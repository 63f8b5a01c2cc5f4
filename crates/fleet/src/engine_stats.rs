//! What this machine has seen of one engine.

use peatgrade_ports::EngineLoad;
use peatgrade_types::{Duration, Time};

/// Weight of a new latency in its running mean.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time in which what counts for an engine's usual pace fades to a third.
const USUAL_FADE: Duration = Duration::from_millis(2_000);
/// The same for its pace just now.
const RECENT_FADE: Duration = Duration::from_millis(400);
/// Events, faded, that a pace must rest on.
const LEAST_EVENTS: f64 = 2.0;
/// Silence after which an engine's pace just now is not known any more.
const RECENT_SILENCE: Duration = Duration::from_millis(4_000);
/// First time that an engine is avoided after a failure; doubles each time.
const FIRST_BLOCK: Duration = Duration::from_millis(400);
/// Longest such time.
const MAX_BLOCK: Duration = Duration::from_millis(4_000);
/// Requests left unanswered since the last answer from which on an engine is doubted: one
/// may just be long.
const SILENCES_THAT_COUNT: u32 = 2;
/// How long a load report counts.
const LOAD_FRESH: Duration = Duration::from_millis(1_000);

/// Own experience of an engine.
#[derive(Clone, Debug, Default)]
pub struct EngineStats {
    /// Requests of this machine under way there.
    pub in_flight: u32,
    /// Mean time to an answer, in microseconds; 0 before any.
    pub mean_latency_us: f64,
    usual: PaceWindow,
    recent: PaceWindow,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// When it last failed or left a request unanswered.
    pub failed_at: Time,
    /// Requests left unanswered since the last answer or event.
    pub unanswered: u32,
    /// Avoided until then, unless nothing else is there.
    pub backoff_until: Time,
    /// What it last said of its load, and when.
    pub load: Option<(Time, EngineLoad)>,
    /// When the last answer or event came.
    pub last_response: Time,
    /// Nobody listened at its address, and nothing came from it since.
    pub is_unreachable: bool,
    /// New connections to it in a row that did not come up in time.
    pub connect_timeouts: u32,
}

impl EngineStats {
    /// Takes note of a whole answer.
    pub fn record_response(&mut self, now: Time, took: Duration) {
        self.consecutive_failures = 0;
        self.unanswered = 0;
        self.backoff_until = Time(0);
        self.is_unreachable = false;
        self.connect_timeouts = 0;
        self.last_response = now;
        self.mean_latency_us = mean(self.mean_latency_us, took.0 as f64, LATENCY_WEIGHT);
    }

    /// Takes note of `count` events of one generation that came in `span`.
    pub fn record_events(&mut self, now: Time, span: Duration, count: u32) {
        self.consecutive_failures = 0;
        self.unanswered = 0;
        self.is_unreachable = false;
        self.connect_timeouts = 0;
        self.last_response = now;
        self.usual.add(now, span, count, USUAL_FADE);
        self.recent.add(now, span, count, RECENT_FADE);
    }

    /// Usual time between two events of a generation, in microseconds; none
    /// before a few were seen.
    pub fn event_interval_us(&self) -> Option<f64> {
        self.usual.pace()
    }

    /// The same, as of the last half second in which events came; none if that
    /// is long ago: an engine that was slow deserves another try.
    pub fn recent_event_interval_us(&self, now: Time) -> Option<f64> {
        let silent = now.since(self.recent.at) >= RECENT_SILENCE;
        self.recent.pace().filter(|_| !silent)
    }

    /// The same without the time that belongs to events not read yet, if they come each
    /// `gap` microseconds: half of that for each run. A stream is read up to 150 ms late,
    /// so a second read brings what an engine makes in 78 ms after twice that. Without
    /// it, 223 runs of a day on which no engine was slow were moved away from a slow one.
    pub fn adjusted_recent_event_interval_us(&self, now: Time, gap: f64) -> Option<f64> {
        let pace = self.recent_event_interval_us(now)?;
        let unread = f64::from(self.in_flight) * gap / 2.0;
        let settled = (self.recent.span - unread) / self.recent.events;
        Some(settled.clamp(pace.min(gap), pace))
    }

    /// Takes note of a failure.
    pub fn record_failure(&mut self, now: Time) {
        let factor = 1_u64 << self.consecutive_failures.min(4);
        self.consecutive_failures += 1;
        self.failed_at = now;
        let span = Duration((FIRST_BLOCK.0 * factor).min(MAX_BLOCK.0));
        self.backoff_until = now + span;
    }

    /// Takes note that a request was tried elsewhere because no answer came in time: it
    /// fails only seconds later, and others would run into the same engine until then.
    pub fn record_unanswered(&mut self, now: Time) {
        self.unanswered += 1;
        self.failed_at = now;
    }

    /// Whether so many requests wait for an answer that it is doubted.
    pub fn is_unresponsive(&self) -> bool {
        self.unanswered >= SILENCES_THAT_COUNT
    }

    /// Takes note of a connection that did not come up in time. Others may reach it.
    pub fn record_connect_timeout(&mut self, now: Time) {
        self.connect_timeouts += 1;
        self.record_failure(now);
    }

    /// Takes note of another engine that answered a request first which this one had
    /// before: it may be slow with this request only, so it does not count as a failure.
    pub fn record_lost_hedge(&mut self, now: Time) {
        self.record_rejection(now, FIRST_BLOCK);
    }

    /// Takes note of a refusal: it is full, not broken.
    pub fn record_rejection(&mut self, now: Time, span: Duration) {
        self.backoff_until = self.backoff_until.max(now + span);
    }

    /// Whether it is avoided now.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    /// Whether nothing speaks against it now.
    pub fn is_healthy(&self, now: Time) -> bool {
        !self.is_backing_off(now) && !self.is_unreachable
    }

    /// Requests there: this machine's own, or what the engine last said if
    /// that is more.
    pub fn active_requests(&self, now: Time) -> u32 {
        let told = self.fresh_load(now);
        let told = told.map_or(0, |load| load.running + load.waiting);
        self.in_flight.max(told)
    }

    /// What it said of its load, if that is not too long ago.
    pub fn fresh_load(&self, now: Time) -> Option<EngineLoad> {
        let told = self.load.filter(|(at, _)| now.since(*at) <= LOAD_FRESH);
        told.map(|(_, load)| load)
    }
}

/// Time and events of all generations of an engine, older ones counting less.
/// Sums of both are exact however events are gathered into reads, unlike a mean
/// of single gaps.
#[derive(Clone, Copy, Debug, Default)]
struct PaceWindow {
    span: f64,
    events: f64,
    at: Time,
}

impl PaceWindow {
    fn add(&mut self, now: Time, span: Duration, count: u32, fade: Duration) {
        let age = now.since(self.at).0 as f64 / fade.0 as f64;
        let kept = (-age).exp();
        self.span = self.span * kept + span.0 as f64;
        self.events = self.events * kept + f64::from(count);
        self.at = now;
    }

    fn pace(&self) -> Option<f64> {
        (self.events >= LEAST_EVENTS).then(|| self.span / self.events)
    }
}

fn mean(old: f64, new: f64, weight: f64) -> f64 {
    if old == 0.0 {
        return new;
    }
    old + (new - old) * weight
}
