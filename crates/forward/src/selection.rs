//! Selection of an engine for a request.

use peatgrade_fleet::{
    choose_best_of_two, EngineDirectory, EngineSnapshot, EngineState, WeightedCandidate,
};
use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::Rng;

use crate::admission::Candidate;
use crate::connect_times::ConnectTimes;
use crate::forwarded_request::ForwardedRequest;

/// Latency penalty for an engine whose weights are one version behind the newest of its
/// service.
const STALE_WEIGHTS_FACTOR: f64 = 1.25;
/// Latency penalty for each further version. Penalties instead of exclusion keep requests
/// from queueing at the few engines that already have the newest weights.
const ADDITIONAL_VERSION_FACTOR: f64 = 2.0;
/// Latency penalty for an engine whose slots are all occupied, proportionally less for
/// others. It spreads requests over engines with free slots.
const FULL_ENGINE_FACTOR: f64 = 1.2;
/// Round trip to another zone without measurements, so that equal engines in the local zone
/// are preferred.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Maximum age of the last contact with an engine for it to count as reachable, once a
/// request has failed to reach another one. Engines often become unreachable together.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(3_000);
/// Latency assumed while no response of any engine has been measured.
const DEFAULT_LATENCY: Duration = Duration::from_millis(1);
/// One round trip for the connection and one for request and response.
const ROUND_TRIPS_PER_REQUEST: u64 = 2;

/// Inputs for the selection of an engine for one request.
pub(crate) struct EngineSelector<'a> {
    pub now: Time,
    pub directory: &'a EngineDirectory,
    pub forward: &'a ForwardedRequest,
    pub zone: &'a str,
    pub connect_times: &'a ConnectTimes,
}

impl EngineSelector<'_> {
    /// Engines that the request has not tried and that are not known to be absent.
    fn candidates(&self) -> impl Iterator<Item = &EngineState> {
        let serving = self.directory.serving(&self.forward.service);
        let untried = serving.filter(|state| !self.forward.tried.contains(&state.record.instance));
        untried.filter(|state| !state.is_absent(self.now))
    }

    /// The candidates as seen by admission control.
    pub fn candidates_for_admission(&self) -> Vec<Candidate> {
        let candidates = self.candidates();
        let seen = candidates
            .map(|state| Candidate::from_state(state, &state.snapshot(self.now), self.now));
        seen.collect()
    }

    /// Selects the engine with the lowest expected latency, which includes penalties for old
    /// weights. Avoided engines are used only if there is no other. If most engines are
    /// reported as full, the better of two random engines is selected instead.
    pub fn select(&self, random: &mut SmallRng) -> Option<Instance> {
        let model = self.forward.request.model.as_str();
        let serving = self.directory.serving(&self.forward.service);
        let newest = serving.map(|state| state.version(model)).max().unwrap_or(0);
        let default_latency = self.mean_latency();
        let candidates: Vec<(&EngineState, EngineSnapshot)> = self
            .candidates()
            .map(|state| {
                (
                    state,
                    with_default_latency(state.snapshot(self.now), default_latency),
                )
            })
            .collect();
        if most_are_full(&candidates) {
            let weigh = |(state, snapshot): &(&EngineState, EngineSnapshot)| {
                let expected =
                    self.expected_latency(state, snapshot, newest - state.version(model));
                WeightedCandidate::new(snapshot, expected)
                    .unverified(self.doubt(state) > Doubt::None)
            };
            let weighed: Vec<WeightedCandidate> = candidates.iter().map(weigh).collect();
            let chosen = choose_best_of_two(&weighed, [random.random(), random.random()])?;
            return Some(candidates[chosen].0.record.instance.clone());
        }
        let mut best: Option<(Rank, &EngineState)> = None;
        for (state, snapshot) in candidates {
            let rank = Rank {
                is_avoided: snapshot.is_avoided,
                doubt: self.doubt(state),
                expected: self.expected_latency(state, &snapshot, newest - state.version(model)),
                // Breaks ties randomly, so that machines do not all select the same engine.
                draw: random.random(),
            };
            if best.as_ref().is_none_or(|(other, _)| rank.is_before(other)) {
                best = Some((rank, state));
            }
        }
        best.map(|(_, state)| state.record.instance.clone())
    }

    /// Mean latency of the service's engines, which is assumed for engines without
    /// measurements. A lower assumption would make a gateway with little traffic prefer
    /// unknown engines, which may be unreachable, to known ones.
    fn mean_latency(&self) -> Duration {
        let serving = self.directory.serving(&self.forward.service);
        let latencies = serving.filter_map(|state| state.snapshot(self.now).mean_latency);
        let (count, sum) =
            latencies.fold((0, 0), |(count, sum), latency| (count + 1, sum + latency.0));
        let mean = u64::checked_div(sum, count);
        mean.map_or(DEFAULT_LATENCY, Duration)
    }

    /// Whether the engine may not be there either, after the request has failed to reach another
    /// one.
    fn doubt(&self, state: &EngineState) -> Doubt {
        let last_response = state.stats.last_response;
        let has_recent_contact =
            last_response > Time(0) && self.now.since(last_response) <= MAX_CONTACT_AGE;
        let wrong_addresses = &self.forward.wrong_addresses;
        if has_recent_contact {
            Doubt::None
        } else if wrong_addresses.contains(&state.record.address) {
            Doubt::WrongAddress
        } else if self.forward.connect_failures > 0 || !wrong_addresses.is_empty() {
            Doubt::NoRecentContact
        } else {
            Doubt::None
        }
    }

    /// Expected latency in microseconds, including penalties.
    fn expected_latency(&self, state: &EngineState, snapshot: &EngineSnapshot, behind: u64) -> f64 {
        let occupancy = f64::from(snapshot.active_requests) / f64::from(snapshot.slots);
        let load_factor = 1.0 + (FULL_ENGINE_FACTOR - 1.0) * occupancy;
        let latency = snapshot.expected_latency().0 as f64 * load_factor;
        let network = if state.record.zone == self.zone {
            0
        } else {
            let measured = self.connect_times.mean(&state.record.zone);
            ROUND_TRIPS_PER_REQUEST * measured.unwrap_or(DEFAULT_ROUND_TRIP).0
        };
        (latency + network as f64) * staleness_factor(behind)
    }
}

/// Whether other machines report most engines as full. All machines then know the same few
/// free engines and would overload them.
fn most_are_full(candidates: &[(&EngineState, EngineSnapshot)]) -> bool {
    let snapshots = candidates.iter().map(|(_, snapshot)| snapshot);
    let reported_full =
        snapshots.filter(|snapshot| snapshot.has_peer_load && snapshot.free_slots() == 0);
    reported_full.count() * 2 > candidates.len()
}

/// The snapshot with a default latency if the engine has none.
fn with_default_latency(snapshot: EngineSnapshot, default_latency: Duration) -> EngineSnapshot {
    EngineSnapshot {
        mean_latency: snapshot.mean_latency.or(Some(default_latency)),
        ..snapshot
    }
}

/// Why an engine may not be at its address.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Doubt {
    None,
    /// It has not responded of late, and another engine of the service could not be reached.
    NoRecentContact,
    /// It has not responded of late, and the address was found to be that of nobody or of another
    /// engine.
    WrongAddress,
}

/// Sort key of a candidate; the lowest is selected.
struct Rank {
    is_avoided: bool,
    doubt: Doubt,
    expected: f64,
    draw: u32,
}

impl Rank {
    fn is_before(&self, other: &Self) -> bool {
        let flags = (self.is_avoided, self.doubt);
        let order = flags.cmp(&(other.is_avoided, other.doubt));
        let order = order.then(self.expected.total_cmp(&other.expected));
        order.then(self.draw.cmp(&other.draw)).is_lt()
    }
}

/// Latency penalty for weights that are `behind` versions old.
fn staleness_factor(behind: u64) -> f64 {
    match behind {
        0 => 1.0,
        _ => STALE_WEIGHTS_FACTOR * ADDITIONAL_VERSION_FACTOR.powi((behind - 1).min(8) as i32),
    }
}
