//! Statistics of one engine from the requests of this node.

use peatgrade_ports::EngineLoad;
use peatgrade_types::{Duration, Time};

/// Weight of a new latency in the exponential moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Decay time constant of the long-term event interval.
const LONG_TERM_DECAY: Duration = Duration::from_millis(2_000);
/// Decay time constant of the recent event interval.
const RECENT_DECAY: Duration = Duration::from_millis(400);
/// Minimum decayed number of events from which an interval is computed.
const MIN_EVENTS: f64 = 2.0;
/// Time without events after which the recent event interval is unknown.
const RECENT_TTL: Duration = Duration::from_millis(4_000);
/// Backoff after the first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_millis(4_000);
/// Unanswered requests since the last response from which on an engine counts as
/// unresponsive. A single one may just take long.
const UNRESPONSIVE_THRESHOLD: u32 = 2;
/// Validity of a load that the engine reported.
const LOAD_TTL: Duration = Duration::from_millis(1_000);

/// Statistics of one engine incarnation.
#[derive(Clone, Debug, Default)]
pub struct EngineStats {
    /// Requests of this node in flight.
    pub in_flight: u32,
    /// Moving average of the response latency, in microseconds; 0 before the first response.
    pub mean_latency_us: f64,
    long_term: DecayingInterval,
    recent: DecayingInterval,
    pub consecutive_failures: u32,
    /// Time of the last failure or unanswered request.
    pub failed_at: Time,
    /// Requests hedged for lack of a response, since the last response or event.
    pub unanswered: u32,
    /// The engine is avoided until then if there is another one.
    pub backoff_until: Time,
    /// The load that it last reported, and when.
    pub load: Option<(Time, EngineLoad)>,
    /// Time of the last response or event.
    pub last_response: Time,
    /// Nothing listened at its address, and no response or event has come since.
    pub is_unreachable: bool,
    /// Consecutive connection timeouts.
    pub connect_timeouts: u32,
}

impl EngineStats {
    /// Records a complete response.
    pub fn record_response(&mut self, now: Time, latency: Duration) {
        self.consecutive_failures = 0;
        self.unanswered = 0;
        self.backoff_until = Time(0);
        self.is_unreachable = false;
        self.connect_timeouts = 0;
        self.last_response = now;
        self.mean_latency_us =
            moving_average(self.mean_latency_us, latency.0 as f64, LATENCY_WEIGHT);
    }

    /// Records `count` events of one generation that arrived within `span`.
    pub fn record_events(&mut self, now: Time, span: Duration, count: u32) {
        self.consecutive_failures = 0;
        self.unanswered = 0;
        self.is_unreachable = false;
        self.connect_timeouts = 0;
        self.last_response = now;
        self.long_term.add(now, span, count, LONG_TERM_DECAY);
        self.recent.add(now, span, count, RECENT_DECAY);
    }

    /// Long-term mean time between two events of a generation, in microseconds; `None` before
    /// enough events were received.
    pub fn event_interval_us(&self) -> Option<f64> {
        self.long_term.interval_us()
    }

    /// The same over the most recent events; `None` if they are too old, so that an engine
    /// that was slow is tried again.
    pub fn recent_event_interval_us(&self, now: Time) -> Option<f64> {
        let is_stale = now.since(self.recent.at) >= RECENT_TTL;
        self.recent.interval_us().filter(|_| !is_stale)
    }

    /// The recent event interval, corrected for events that were produced but not read yet.
    /// With a mean interval of `expected_us`, half an interval is subtracted for each request
    /// in flight. Without the correction, delayed reads make an engine look slow.
    pub fn adjusted_recent_event_interval_us(&self, now: Time, expected_us: f64) -> Option<f64> {
        let recent_us = self.recent_event_interval_us(now)?;
        let unread_us = f64::from(self.in_flight) * expected_us / 2.0;
        let adjusted = (self.recent.span - unread_us) / self.recent.events;
        Some(adjusted.clamp(recent_us.min(expected_us), recent_us))
    }

    /// Records a failure and starts or extends the backoff.
    pub fn record_failure(&mut self, now: Time) {
        let factor = 1_u64 << self.consecutive_failures.min(4);
        self.consecutive_failures += 1;
        self.failed_at = now;
        let span = Duration((INITIAL_BACKOFF.0 * factor).min(MAX_BACKOFF.0));
        self.backoff_until = now + span;
    }

    /// Records a request that was hedged because no response came in time. The request itself
    /// fails only seconds later, and more would be sent to the same engine until then.
    pub fn record_unanswered(&mut self, now: Time) {
        self.unanswered += 1;
        self.failed_at = now;
    }

    /// Whether too many requests are without a response.
    pub fn is_unresponsive(&self) -> bool {
        self.unanswered >= UNRESPONSIVE_THRESHOLD
    }

    /// Records a connection timeout. Other nodes may still reach the engine.
    pub fn record_connect_timeout(&mut self, now: Time) {
        self.connect_timeouts += 1;
        self.record_failure(now);
    }

    /// Records that another engine answered the hedged copy of a request first. This one may
    /// be slow with this request only, so it is no failure.
    pub fn record_lost_hedge(&mut self, now: Time) {
        self.record_rejection(now, INITIAL_BACKOFF);
    }

    /// Records a rejection: the engine is overloaded, not failing.
    pub fn record_rejection(&mut self, now: Time, span: Duration) {
        self.backoff_until = self.backoff_until.max(now + span);
    }

    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    pub fn is_healthy(&self, now: Time) -> bool {
        !self.is_backing_off(now) && !self.is_unreachable
    }

    /// Requests running or waiting there: those of this node, or those that the engine last
    /// reported if these are more.
    pub fn active_requests(&self, now: Time) -> u32 {
        let load = self.fresh_load(now);
        let reported = load.map_or(0, |load| load.running + load.waiting);
        self.in_flight.max(reported)
    }

    /// The load that it last reported, unless expired.
    pub fn fresh_load(&self, now: Time) -> Option<EngineLoad> {
        let reported = self.load.filter(|(at, _)| now.since(*at) <= LOAD_TTL);
        reported.map(|(_, load)| load)
    }
}

/// Exponentially decayed sums of time and events over all generations of an engine. Unlike
/// a mean of single gaps, they don't depend on how events are batched into reads.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingInterval {
    span: f64,
    events: f64,
    at: Time,
}

impl DecayingInterval {
    fn add(&mut self, now: Time, span: Duration, count: u32, decay: Duration) {
        let age = now.since(self.at).0 as f64 / decay.0 as f64;
        let kept = (-age).exp();
        self.span = self.span * kept + span.0 as f64;
        self.events = self.events * kept + f64::from(count);
        self.at = now;
    }

    fn interval_us(&self) -> Option<f64> {
        (self.events >= MIN_EVENTS).then(|| self.span / self.events)
    }
}

fn moving_average(old: f64, new: f64, weight: f64) -> f64 {
    if old == 0.0 {
        return new;
    }
    old + (new - old) * weight
}
