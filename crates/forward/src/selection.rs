//! Choice of an engine for a request.

use peatgrade_fleet::{choose_of_two, EngineDirectory, EngineState, Outlook, WeighedEngine};
use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::Rng;

use crate::admission::Candidate;
use crate::connect_times::ConnectTimes;
use crate::forwarder::ForwardedRequest;

/// How much slower an engine counts whose weights are one version behind the
/// newest of its service: an answer from old weights is worth less.
const STALE_WEIGHTS_FACTOR: f64 = 1.25;
/// The same for each further version. Few engines may have the newest for a
/// while, and nobody is served by all requests waiting there.
const ADDITIONAL_VERSION_FACTOR: f64 = 2.0;
/// How much slower an engine counts when all its places are taken, beyond the wait for
/// one. A guess: some engines slow down as they fill. It orders engines with free places,
/// so that requests spread over them.
const FULL_ENGINE_FACTOR: f64 = 1.2;
/// Round trip to another zone while none was measured. A guess that prefers the own zone
/// among equals.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Age up to which a sign of life proves that an engine listens, to a request that has
/// met one that does not: engines that fall silent do so together, and the signs of life
/// of the others go on.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(3_000);
/// Usual time of an answer while none of any engine was seen.
const DEFAULT_LATENCY: Duration = Duration::from_millis(1);
/// Round trips of an exchange: one for the connection, one for request and answer.
const ROUND_TRIPS_PER_REQUEST: u64 = 2;

/// Where a request may go, and what for.
pub(crate) struct EngineSelector<'a> {
    pub now: Time,
    pub directory: &'a EngineDirectory,
    pub forward: &'a ForwardedRequest,
    pub zone: &'a str,
    pub connect_times: &'a ConnectTimes,
}

impl EngineSelector<'_> {
    /// Engines that the request has not met, without those that were not found at their
    /// address.
    fn candidates(&self) -> impl Iterator<Item = &EngineState> {
        let serving = self.directory.serving(&self.forward.service);
        let fresh = serving.filter(|state| !self.forward.tried.contains(&state.record.instance));
        fresh.filter(|state| !state.is_absent(self.now))
    }

    /// The same as admission sees them.
    pub fn candidates_for_admission(&self) -> Vec<Candidate> {
        let candidates = self.candidates();
        let seen = candidates
            .map(|state| Candidate::from_state(state, &state.outlook(self.now), self.now));
        seen.collect()
    }

    /// The engine with the shortest expected time, old weights counting as slow, drawn
    /// among equals; one that is avoided only if there is no other. Where others told that
    /// most engines are full it is the better of two that are drawn.
    pub fn select(&self, random: &mut SmallRng) -> Option<Instance> {
        let model = self.forward.request.model.as_str();
        let serving = self.directory.serving(&self.forward.service);
        let newest = serving.map(|state| state.version(model)).max().unwrap_or(0);
        let untried = self.mean_latency();
        let candidates: Vec<(&EngineState, Outlook)> = self
            .candidates()
            .map(|state| {
                (
                    state,
                    with_default_latency(state.outlook(self.now), untried),
                )
            })
            .collect();
        if most_are_full(&candidates) {
            let weigh = |(state, outlook): &(&EngineState, Outlook)| {
                let expected = self.expected(state, outlook, newest - state.version(model));
                WeighedEngine::new(outlook, expected).unproven(self.lacks_recent_contact(state))
            };
            let weighed: Vec<WeighedEngine> = candidates.iter().map(weigh).collect();
            let chosen = choose_of_two(&weighed, [random.random(), random.random()])?;
            return Some(candidates[chosen].0.record.instance.clone());
        }
        let mut best: Option<(Rank, &EngineState)> = None;
        for (state, outlook) in candidates {
            let rank = Rank {
                is_avoided: outlook.is_avoided,
                lacks_recent_contact: self.lacks_recent_contact(state),
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
    fn mean_latency(&self) -> Duration {
        let serving = self.directory.serving(&self.forward.service);
        let answers = serving.filter_map(|state| state.outlook(self.now).usual_answer);
        let (count, sum) = answers.fold((0, 0), |(count, sum), answer| (count + 1, sum + answer.0));
        let mean = u64::checked_div(sum, count);
        mean.map_or(DEFAULT_LATENCY, Duration)
    }

    /// Whether a request that has met engines that do not listen may meet one more here.
    fn lacks_recent_contact(&self, state: &EngineState) -> bool {
        let heard = state.experience.heard;
        let is_proven = heard > Time(0) && self.now.since(heard) <= MAX_CONTACT_AGE;
        self.forward.connect_failures > 0 && !is_proven
    }

    /// Microseconds that an answer counts as taking.
    fn expected(&self, state: &EngineState, outlook: &Outlook, behind: u64) -> f64 {
        let filled = f64::from(outlook.occupied) / f64::from(outlook.slots);
        let crowding = 1.0 + (FULL_ENGINE_FACTOR - 1.0) * filled;
        let answer = outlook.expected_answer().0 as f64 * crowding;
        let away = if state.record.zone == self.zone {
            0
        } else {
            let measured = self.connect_times.mean(&state.record.zone);
            ROUND_TRIPS_PER_REQUEST * measured.unwrap_or(DEFAULT_ROUND_TRIP).0
        };
        (answer + away as f64) * staleness_factor(behind)
    }
}

/// Whether others told of most engines that they are full: then all machines know the same
/// few free ones, and would go there together.
fn most_are_full(candidates: &[(&EngineState, Outlook)]) -> bool {
    let outlooks = candidates.iter().map(|(_, outlook)| outlook);
    let told_full = outlooks.filter(|outlook| outlook.has_told_load && outlook.free_places() == 0);
    told_full.count() * 2 > candidates.len()
}

/// An outlook in which an engine that was not tried answers in the time of the others.
fn with_default_latency(outlook: Outlook, untried: Duration) -> Outlook {
    Outlook {
        usual_answer: outlook.usual_answer.or(Some(untried)),
        ..outlook
    }
}

/// Where an engine stands among those that a request may go to.
struct Rank {
    is_avoided: bool,
    lacks_recent_contact: bool,
    expected: f64,
    draw: u32,
}

impl Rank {
    fn is_before(&self, other: &Self) -> bool {
        let beliefs = (self.is_avoided, self.lacks_recent_contact);
        let order = beliefs.cmp(&(other.is_avoided, other.lacks_recent_contact));
        let order = order.then(self.expected.total_cmp(&other.expected));
        order.then(self.draw.cmp(&other.draw)).is_lt()
    }
}

/// How much slower an engine counts for weights so many versions behind.
fn staleness_factor(behind: u64) -> f64 {
    match behind {
        0 => 1.0,
        _ => STALE_WEIGHTS_FACTOR * ADDITIONAL_VERSION_FACTOR.powi((behind - 1).min(8) as i32),
    }
}
