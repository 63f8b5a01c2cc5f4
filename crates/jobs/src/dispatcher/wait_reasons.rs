//! Why items wait for an engine, as a log line per item and counts by reason.

use peatgrade_fleet::{EngineDirectory, EngineState};
use peatgrade_ports::Configuration;
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, HashMap};

use super::eligibility::{batch_route, give_up_reason, target_service};
use super::suspects::may_start;
use super::Dispatcher;
use crate::item::{ItemKey, OpenItem};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Waits below this are part of normal operation.
const MIN_REPORTED_WAIT: Duration = Duration::from_millis(1_000);
/// Time between two log lines about the same item.
const LOG_INTERVAL: Duration = Duration::from_millis(2_000);
/// Maximum number of items logged per report.
const MAX_LOGGED_ITEMS: usize = 16;

/// Why an item waits for an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WaitReason {
    /// Its last run has just failed or was refused.
    Backoff,
    /// No batch route of the configuration matches it.
    NoRoute,
    /// It may not run under a configuration that is older than the newest one in the log.
    OutdatedConfiguration,
    /// Engines crashed while running it, and its next run is delayed.
    Quarantined,
    /// The service has no listed engine, or its working set is not filled yet.
    NoEngine,
    /// No engine holds an allowed version of the weights.
    NoVersion,
    /// The engines that could run it are loading weights.
    Loading,
    /// The engines that could run it failed or refused recently.
    EngineBackoff,
    /// The engines that could run it were not found at their addresses.
    EngineAbsent,
    /// All slots are occupied.
    Busy,
    /// An engine has a free slot.
    Unplaced,
}

impl WaitReason {
    const ALL: [Self; 11] = [
        Self::Backoff,
        Self::NoRoute,
        Self::OutdatedConfiguration,
        Self::Quarantined,
        Self::NoEngine,
        Self::NoVersion,
        Self::Loading,
        Self::EngineBackoff,
        Self::EngineAbsent,
        Self::Busy,
        Self::Unplaced,
    ];

    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Backoff => "backoff",
            Self::NoRoute => "no-route",
            Self::OutdatedConfiguration => "outdated-configuration",
            Self::Quarantined => "quarantined",
            Self::NoEngine => "no-engine",
            Self::NoVersion => "no-version",
            Self::Loading => "loading",
            Self::EngineBackoff => "engine-backoff",
            Self::EngineAbsent => "engine-absent",
            Self::Busy => "busy",
            Self::Unplaced => "unplaced",
        }
    }

    /// Name of the metric that counts the items waiting for this reason.
    fn metric(self) -> &'static str {
        match self {
            Self::Backoff => "items_waiting_backoff",
            Self::NoRoute => "items_waiting_no_route",
            Self::OutdatedConfiguration => "items_waiting_outdated_configuration",
            Self::Quarantined => "items_waiting_quarantined",
            Self::NoEngine => "items_waiting_no_engine",
            Self::NoVersion => "items_waiting_no_version",
            Self::Loading => "items_waiting_loading",
            Self::EngineBackoff => "items_waiting_engine_backoff",
            Self::EngineAbsent => "items_waiting_engine_absent",
            Self::Busy => "items_waiting_busy",
            Self::Unplaced => "items_waiting_unplaced",
        }
    }
}

/// Items that have waited for at least a second at the last report.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct WaitingItems {
    /// Number of items by reason, in the order of `WaitReason::ALL`.
    counts: [u64; WaitReason::ALL.len()],
    /// Longest wait, except for occupied slots.
    longest: Duration,
}

impl WaitingItems {
    /// Number of items that wait for a reason.
    pub fn count(&self, reason: WaitReason) -> u64 {
        self.counts[reason as usize]
    }

    fn record(&mut self, reason: WaitReason, waited: Duration) {
        self.counts[reason as usize] += 1;
        if reason != WaitReason::Busy {
            self.longest = self.longest.max(waited);
        }
    }

    /// Values with their metric names.
    pub fn metrics(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let longest = ("item_longest_wait_ms", self.longest.as_millis());
        let counts = WaitReason::ALL.iter().zip(self.counts);
        let counts = counts.map(|(reason, count)| (reason.metric(), count));
        counts.chain(std::iter::once(longest))
    }
}

/// State kept between reports.
#[derive(Debug, Default)]
pub(super) struct WaitReport {
    next_at: Time,
    waiting: WaitingItems,
    backlog: BTreeMap<String, usize>,
}

/// Requirements that determine which engines may run an item.
type EngineClass<'a> = (&'a str, &'a str, u64, Option<u64>);

/// Engines of a class, by what keeps them from running an item. Each engine counts once.
#[derive(Clone, Copy, Default, Debug)]
struct ClassEngines {
    listed: usize,
    allowed: usize,
    loading: usize,
    backing_off: usize,
    absent: usize,
    full: usize,
    free: usize,
    /// Engines without an allowed version, less than half full.
    outdated_idle: usize,
}

impl ClassEngines {
    fn of(now: Time, directory: &EngineDirectory, class: &EngineClass<'_>) -> Self {
        let (service, model, min_version, exact_version) = *class;
        let mut engines = Self::default();
        for state in directory.batch_engines(service, model) {
            engines.listed += 1;
            let version = state.version(model);
            let is_allowed = model.is_empty()
                || version >= min_version.max(1) && exact_version.is_none_or(|e| e == version);
            if is_allowed {
                engines.allowed += 1;
                engines.add_allowed(now, state, model);
            } else {
                let is_idle = state.stats.in_flight * 2 < state.record.slots.max(1);
                engines.outdated_idle += usize::from(is_idle);
            }
        }
        engines
    }

    fn add_allowed(&mut self, now: Time, state: &EngineState, model: &str) {
        let counter = if state.is_absent(now) {
            &mut self.absent
        } else if state.loading_models.iter().any(|loaded| loaded == model) {
            &mut self.loading
        } else if state.stats.is_backing_off(now) {
            &mut self.backing_off
        } else if state.stats.in_flight >= state.record.slots.max(1) {
            &mut self.full
        } else {
            &mut self.free
        };
        *counter += 1;
    }

    /// Why these engines do not run an item that may run. If there are several reasons, the
    /// one that most engines share.
    fn wait_reason(&self) -> WaitReason {
        if self.listed == 0 {
            return WaitReason::NoEngine;
        }
        if self.allowed == 0 {
            return WaitReason::NoVersion;
        }
        if self.free > 0 {
            return WaitReason::Unplaced;
        }
        let obstacles = [
            (self.full, WaitReason::Busy),
            (self.loading, WaitReason::Loading),
            (self.backing_off, WaitReason::EngineBackoff),
            (self.absent, WaitReason::EngineAbsent),
        ];
        let most = obstacles.into_iter().max_by_key(|(engines, _)| *engines);
        most.map_or(WaitReason::Busy, |(_, reason)| reason)
    }
}

impl Dispatcher {
    /// Items that have waited for an engine for at least a second, as of the last report.
    pub fn waiting_items(&self) -> &WaitingItems {
        &self.wait_report.waiting
    }

    /// By model, the items that wait for a slot of an engine with an allowed version while
    /// engines with older versions are idle, as of the last report.
    pub fn version_backlog(&self) -> &BTreeMap<String, usize> {
        &self.wait_report.backlog
    }

    /// Counts the items that wait for an engine by reason, and logs those that wait long for
    /// anything but a free slot.
    pub(super) fn report_waiting_items(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) {
        if now < self.wait_report.next_at {
            return;
        }
        self.wait_report.next_at = now + REPORT_INTERVAL;
        self.count_visits(self.items.len());
        let is_outdated = self.is_outdated(configuration);
        let mut waiting = WaitingItems::default();
        let mut backlog: BTreeMap<String, usize> = BTreeMap::new();
        let mut engines: HashMap<EngineClass<'_>, ClassEngines> = HashMap::new();
        let mut due: Vec<(Option<Time>, ItemKey, WaitReason, ClassEngines)> = Vec::new();
        for (key, item) in &self.items {
            let waited = now.since(item.waiting_since);
            if !item.waits_for_engine() || waited < MIN_REPORTED_WAIT {
                continue;
            }
            let is_held =
                is_outdated && give_up_reason(now, item, configuration, directory).is_some();
            let (reason, available) = match is_held {
                true => (WaitReason::OutdatedConfiguration, ClassEngines::default()),
                false => wait_reason(now, item, configuration, directory, &mut engines),
            };
            waiting.record(reason, waited);
            let lacks_slot = matches!(reason, WaitReason::Busy | WaitReason::NoVersion);
            if lacks_slot && available.outdated_idle > 0 {
                *backlog.entry(item.spec.model.clone()).or_insert(0) += 1;
            }
            let logged_at = item.wait_logged_at;
            let is_due = logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
            if is_due && reason != WaitReason::Busy {
                due.push((logged_at, key.clone(), reason, available));
            }
        }
        // Items that were not logged yet go first, or the same ones would be logged each time.
        due.sort_by(|(at, key, ..), (other_at, other_key, ..)| {
            (at, key).cmp(&(other_at, other_key))
        });
        for (_, key, reason, available) in due.iter().take(MAX_LOGGED_ITEMS) {
            if let Some(item) = self.items.get_mut(key) {
                log_wait(now, key, item, *reason, available, directory);
                item.wait_logged_at = Some(now);
            }
        }
        self.wait_report.waiting = waiting;
        self.wait_report.backlog = backlog;
    }
}

/// Returns why an item waits, and the engines that could run it.
fn wait_reason<'a>(
    now: Time,
    item: &'a OpenItem,
    configuration: &'a Configuration,
    directory: &EngineDirectory,
    engines: &mut HashMap<EngineClass<'a>, ClassEngines>,
) -> (WaitReason, ClassEngines) {
    let route = batch_route(item, configuration);
    let Some(service) = route.and_then(|route| target_service(route, &item.item().id)) else {
        return (WaitReason::NoRoute, ClassEngines::default());
    };
    let model = item.spec.model.as_str();
    let class = (service, model, item.spec.min_version, item.exact_version());
    let available = *engines
        .entry(class)
        .or_insert_with(|| ClassEngines::of(now, directory, &class));
    let reason = if !may_start(now, item, service, directory) {
        WaitReason::Quarantined
    } else if now < item.not_before {
        WaitReason::Backoff
    } else {
        available.wait_reason()
    };
    (reason, available)
}

fn log_wait(
    now: Time,
    key: &ItemKey,
    item: &OpenItem,
    reason: WaitReason,
    engines: &ClassEngines,
    directory: &EngineDirectory,
) {
    let fingerprint = item.fingerprint();
    log::warn!(
        "belief=item-waiting item={} job={} reason={} waited_ms={} runs={} failures={} crashes={} fingerprint={fingerprint} listed={} allowed={} loading={} backing_off={} absent={} full={} free={} list_age_ms={}",
        item.item().id,
        key.0,
        reason.name(),
        now.since(item.waiting_since).as_millis(),
        item.runs,
        item.failures.runs,
        directory.quarantine.crash_count(fingerprint),
        engines.listed,
        engines.allowed,
        engines.loading,
        engines.backing_off,
        engines.absent,
        engines.full,
        engines.free,
        now.since(directory.confirmed_at).as_millis()
    );
}
