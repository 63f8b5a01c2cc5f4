//! Delays, losses and cuts between zones.

use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Chance behaviour of the network between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NetworkSettings {
    /// Share of messages lost.
    pub loss: f64,
    /// Share of messages delivered twice.
    pub duplication: f64,
    /// Share of messages held back by up to a second, so that others overtake.
    pub reordering: f64,
}

impl Default for NetworkSettings {
    fn default() -> Self {
        Self {
            loss: 0.001,
            duplication: 0.001,
            reordering: 0.002,
        }
    }
}

/// A cut between one zone and all others.
#[derive(Clone, Debug, PartialEq)]
struct Cut {
    zone: String,
    until: Time,
}

/// The network.
#[derive(Debug)]
pub(crate) struct Network {
    settings: NetworkSettings,
    local: Duration,
    between: Duration,
    client: Duration,
    cuts: Vec<Cut>,
    /// Raised loss until then.
    stormy_until: Time,
}

impl Network {
    pub fn new(settings: NetworkSettings, local_us: u64, between_us: u64, client_us: u64) -> Self {
        Self {
            settings,
            local: Duration(local_us),
            between: Duration(between_us),
            client: Duration(client_us),
            cuts: Vec::new(),
            stormy_until: Time::default(),
        }
    }

    /// Cuts a zone off from the others.
    pub fn cut(&mut self, zone: &str, until: Time) {
        self.cuts.push(Cut {
            zone: zone.to_string(),
            until,
        });
    }

    /// Raises loss, duplication and reordering to a tenth.
    pub fn storm(&mut self, until: Time) {
        self.stormy_until = until;
    }

    /// Whether two zones cannot reach each other.
    pub fn separated(&self, now: Time, left: &str, right: &str) -> bool {
        let cut_off = |zone: &str| self.cuts.iter().any(|c| c.zone == zone && now < c.until);
        left != right && (cut_off(left) || cut_off(right))
    }

    /// One-way delay between two zones.
    pub fn delay(&self, random: &mut SmallRng, left: &str, right: &str) -> Duration {
        let base = if left == right {
            self.local
        } else {
            self.between
        };
        let jitter = random.random_range(0..base.0 / 4 + 20);
        Duration(base.0 + jitter)
    }

    /// One-way delay between a client and a node.
    pub fn client_delay(&self, random: &mut SmallRng) -> Duration {
        Duration(self.client.0 + random.random_range(0..self.client.0 / 4 + 1))
    }

    /// Delays at which copies of a message arrive; none if it is lost.
    pub fn deliveries(
        &self,
        now: Time,
        random: &mut SmallRng,
        left: &str,
        right: &str,
    ) -> Vec<Duration> {
        if self.separated(now, left, right) {
            return Vec::new();
        }
        let storm = now < self.stormy_until;
        let chance = |usual: f64| if storm { 0.1 } else { usual };
        if random.random_bool(chance(self.settings.loss)) {
            return Vec::new();
        }
        let mut delays = vec![self.delay(random, left, right)];
        if random.random_bool(chance(self.settings.reordering)) {
            delays[0] = Duration(delays[0].0 + random.random_range(0..1_000_000));
        }
        if random.random_bool(chance(self.settings.duplication)) {
            delays.push(Duration(delays[0].0 + random.random_range(0..500_000)));
        }
        delays
    }
}
