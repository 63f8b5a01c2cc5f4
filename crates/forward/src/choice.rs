//! Choice of an engine for a request.

use peatgrade_fleet::{
    choose_best_of_two, EngineDirectory, EngineSnapshot, EngineState, WeightedCandidate,
};
use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::Rng;

use crate::admission::Candidate;
use crate::connect_times::ConnectTimes;
use crate::forwarder::Forward;

/// How much slower an engine counts whose weights are one version behind the
/// newest of its service: an answer from old weights is worth less.
const BEHIND_FACTOR: f64 = 1.25;
/// The same for each further version. Few engines may have the newest for a
/// while, and nobody is served by all requests waiting there.
const FURTHER_BEHIND_FACTOR: f64 = 2.0;
/// How much slower an engine counts when all its places are taken, beyond the wait for
/// one. A guess: some engines slow down as they fill. It orders engines with free places,
/// so that requests spread over them.
const FILLED_FACTOR: f64 = 1.2;
/// Round trip to another zone while none was measured. A guess that prefers the own zone
/// among equals.
const UNKNOWN_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Age up to which a sign of life proves that an engine listens, to a request that has
/// met one that does not: engines that fall silent do so together, and the signs of life
/// of the others go on.
const PROOF_AGE: Duration = Duration::from_millis(3_000);
/// Usual time of an answer while none of any engine was seen.
const UNKNOWN_ANSWER: Duration = Duration::from_millis(1);
/// Round trips of an exchange: one for the connection, one for request and answer.
const ROUND_TRIPS: u64 = 2;

/// Where a request may go, and what for.
pub(crate) struct Choice<'a> {
    pub now: Time,
    pub directory: &'a EngineDirectory,
    pub forward: &'a Forward,
    pub zone: &'a str,
    pub connect_times: &'a ConnectTimes,
}

impl Choice<'_> {
    /// Engines that the request has not met, without those that were not found at their
    /// address.
    fn candidates(&self) -> impl Iterator<Item = &EngineState> {
        let serving = self.directory.serving(&self.forward.service);
        let fresh = serving.filter(|state| !self.forward.tried.contains(&state.record.instance));
        fresh.filter(|state| !state.is_absent(self.now))
    }

    /// The same as admission sees them.
    pub fn prospects(&self) -> Vec<Candidate> {
        let candidates = self.candidates();
        let seen = candidates
            .map(|state| Candidate::from_state(state, &state.snapshot(self.now), self.now));
        seen.collect()
    }

    /// The engine with the shortest expected time, old weights counting as slow, drawn
    /// among equals; one that is avoided only if there is no other. Where others told that
    /// most engines are full it is the better of two that are drawn.
    pub fn best(&self, random: &mut SmallRng) -> Option<Instance> {
        let model = self.forward.request.model.as_str();
        let serving = self.directory.serving(&self.forward.service);
        let newest = serving.map(|state| state.version(model)).max().unwrap_or(0);
        let untried = self.mean_answer();
        let candidates: Vec<(&EngineState, EngineSnapshot)> = self
            .candidates()
            .map(|state| (state, with_usual(state.snapshot(self.now), untried)))
            .collect();
        if few_are_free(&candidates) {
            let weigh = |(state, outlook): &(&EngineState, EngineSnapshot)| {
                let expected = self.expected(state, outlook, newest - state.version(model));
                WeightedCandidate::new(outlook, expected).unverified(self.is_unproven(state))
            };
            let weighed: Vec<WeightedCandidate> = candidates.iter().map(weigh).collect();
            let chosen = choose_best_of_two(&weighed, [random.random(), random.random()])?;
            return Some(candidates[chosen].0.record.instance.clone());
        }
        let mut best: Option<(Rank, &EngineState)> = None;
        for (state, outlook) in candidates {
            let rank = Rank {
                is_avoided: outlook.is_avoided,
                is_unproven: self.is_unproven(state),
                expected: self.expected(state, &outlook, newest - state.version(model)),
                // Machines that know as little would all choose the first of the list.
                draw: random.random(),
            };
            if best.as_ref().is_none_or(|(other, _)| rank.is_before(other)) {
                best = Some((rank, state));
            }
        }
        best.map(|(_, state)| state.record.instance.clone())
    }

    /// Usual time of an answer of the service's engines: one that was not tried counts as
    /// one of them. Counted as fast, it is preferred to all that have shown that they
    /// are there, and a gateway that sees few requests sends most of them to engines that
    /// it knows nothing of: up to five dark ones for one request.
    fn mean_answer(&self) -> Duration {
        let serving = self.directory.serving(&self.forward.service);
        let answers = serving.filter_map(|state| state.snapshot(self.now).mean_latency);
        let (count, sum) = answers.fold((0, 0), |(count, sum), answer| (count + 1, sum + answer.0));
        let mean = u64::checked_div(sum, count);
        mean.map_or(UNKNOWN_ANSWER, Duration)
    }

    /// Whether a request that has met engines that do not listen may meet one more here.
    fn is_unproven(&self, state: &EngineState) -> bool {
        let heard = state.stats.last_response;
        let is_proven = heard > Time(0) && self.now.since(heard) <= PROOF_AGE;
        self.forward.unconnected > 0 && !is_proven
    }

    /// Microseconds that an answer counts as taking.
    fn expected(&self, state: &EngineState, outlook: &EngineSnapshot, behind: u64) -> f64 {
        let filled = f64::from(outlook.active_requests) / f64::from(outlook.slots);
        let crowding = 1.0 + (FILLED_FACTOR - 1.0) * filled;
        let answer = outlook.expected_latency().0 as f64 * crowding;
        let away = if state.record.zone == self.zone {
            0
        } else {
            let measured = self.connect_times.mean(&state.record.zone);
            ROUND_TRIPS * measured.unwrap_or(UNKNOWN_ROUND_TRIP).0
        };
        (answer + away as f64) * staleness_factor(behind)
    }
}

/// Whether others told of most engines that they are full: then all machines know the same
/// few free ones, and would go there together.
fn few_are_free(candidates: &[(&EngineState, EngineSnapshot)]) -> bool {
    let outlooks = candidates.iter().map(|(_, outlook)| outlook);
    let told_full = outlooks.filter(|outlook| outlook.has_peer_load && outlook.free_slots() == 0);
    told_full.count() * 2 > candidates.len()
}

/// An outlook in which an engine that was not tried answers in the time of the others.
fn with_usual(outlook: EngineSnapshot, untried: Duration) -> EngineSnapshot {
    EngineSnapshot {
        mean_latency: outlook.mean_latency.or(Some(untried)),
        ..outlook
    }
}

/// Where an engine stands among those that a request may go to.
struct Rank {
    is_avoided: bool,
    is_unproven: bool,
    expected: f64,
    draw: u32,
}

impl Rank {
    fn is_before(&self, other: &Self) -> bool {
        let beliefs = (self.is_avoided, self.is_unproven);
        let order = beliefs.cmp(&(other.is_avoided, other.is_unproven));
        let order = order.then(self.expected.total_cmp(&other.expected));
        order.then(self.draw.cmp(&other.draw)).is_lt()
    }
}

/// How much slower an engine counts for weights so many versions behind.
fn staleness_factor(behind: u64) -> f64 {
    match behind {
        0 => 1.0,
        _ => BEHIND_FACTOR * FURTHER_BEHIND_FACTOR.powi((behind - 1).min(8) as i32),
    }
}
