//! Fault plans: what goes wrong when.

use peatgrade_models::{Deployment, FaultKind};
use peatgrade_types::hash_bytes;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// One thing that goes wrong, or is done by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum StepKind {
    /// A machine of the platform fails.
    Machine {
        /// Its name; `store` is the object API.
        name: String,
        /// What goes wrong with it.
        fault: FaultKind,
        /// For how long.
        for_ms: u64,
    },
    /// A node dies and starts again later.
    NodeCrash {
        /// Index of the node.
        node: usize,
        /// Time until it starts again.
        for_ms: u64,
        /// Whether its data folder is lost too.
        lose_disk: bool,
    },
    /// A node stands still and then goes on as if nothing had happened.
    NodePause {
        /// Index of the node.
        node: usize,
        /// For how long.
        for_ms: u64,
    },
    /// A node is stopped as planned and started again later.
    NodeStop {
        /// Index of the node.
        node: usize,
        /// Time until it starts again after its exit.
        for_ms: u64,
    },
    /// The disk of a node is full.
    DiskFull {
        /// Index of the node.
        node: usize,
        /// For how long.
        for_ms: u64,
    },
    /// A zone cannot reach the others.
    ZoneCut {
        /// The zone.
        zone: String,
        /// For how long.
        for_ms: u64,
    },
    /// All nodes and engines of a zone die and start again later.
    ZoneLoss {
        /// The zone.
        zone: String,
        /// For how long.
        for_ms: u64,
    },
    /// Messages between nodes are lost, doubled and overtake each other.
    Storm {
        /// For how long.
        for_ms: u64,
    },
    /// Two operators change the same tenant at the same moment.
    OperatorRace,
    /// An operator applies an invalid change, then a valid one.
    BadChange,
}

impl StepKind {
    /// Short name, for counts.
    pub fn name(&self) -> String {
        match self {
            StepKind::Machine { name, fault, .. } => {
                let what = if name == "store" { "store" } else { "engine" };
                format!("{what}-{fault:?}").to_lowercase()
            }
            StepKind::NodeCrash {
                lose_disk: false, ..
            } => "node-crash".into(),
            StepKind::NodeCrash { .. } => "node-replaced".into(),
            StepKind::NodePause { .. } => "node-pause".into(),
            StepKind::NodeStop { .. } => "node-stop".into(),
            StepKind::DiskFull { .. } => "disk-full".into(),
            StepKind::ZoneCut { .. } => "zone-cut".into(),
            StepKind::ZoneLoss { .. } => "zone-loss".into(),
            StepKind::Storm { .. } => "storm".into(),
            StepKind::OperatorRace => "operator-race".into(),
            StepKind::BadChange => "bad-change".into(),
        }
    }
}

/// A step with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds after the start.
    pub at_ms: u64,
    /// What happens.
    pub kind: StepKind,
}

/// What a run has to endure.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultPlan {
    /// Steps in the order of their time.
    pub steps: Vec<Step>,
}

/// How plans are drawn.
#[derive(Clone, Debug)]
pub struct PlanSettings {
    /// First moment of a fault, after which the system has settled.
    pub from_ms: u64,
    /// Last moment of a fault; what follows is for recovery.
    pub until_ms: u64,
    /// Number of steps.
    pub steps: usize,
}

impl FaultPlan {
    /// Draws a plan. Steps may overlap and repeat; at most one whole zone is
    /// lost or cut at a time, since a majority of zones is what the system is
    /// built to keep.
    pub fn draw(deployment: &Deployment, seed: u64, settings: &PlanSettings) -> Self {
        let mut random = SmallRng::seed_from_u64(seed ^ hash_bytes(b"plan"));
        let mut steps = Vec::new();
        let mut zone_busy_until = 0;
        let mut replaced_until = 0;
        for _ in 0..settings.steps {
            let at_ms = random.random_range(settings.from_ms..settings.until_ms);
            steps.push(at_ms);
        }
        steps.sort_unstable();
        let mut drawn = Vec::new();
        for at_ms in steps {
            let mut kind = draw_kind(deployment, &mut random);
            let zone_step = matches!(kind, StepKind::ZoneCut { .. } | StepKind::ZoneLoss { .. });
            if zone_step && at_ms < zone_busy_until {
                kind = StepKind::OperatorRace;
            }
            // Memory-only replicas survive losing a minority of a shard's
            // replicas before the roster has replaced them.
            let kills = matches!(
                kind,
                StepKind::NodeCrash { .. } | StepKind::ZoneLoss { .. } | StepKind::NodeStop { .. }
            );
            if kills && at_ms < replaced_until {
                kind = StepKind::BadChange;
            } else if kills {
                replaced_until = at_ms + 45_000;
            }
            if let StepKind::ZoneCut { for_ms, .. } | StepKind::ZoneLoss { for_ms, .. } = &kind {
                zone_busy_until = at_ms + for_ms + 45_000;
                replaced_until = replaced_until.max(zone_busy_until);
            }
            drawn.push(Step { at_ms, kind });
        }
        Self { steps: drawn }
    }

    /// The plan without the step at an index, for shrinking.
    pub fn without(&self, index: usize) -> Self {
        let mut steps = self.steps.clone();
        steps.remove(index);
        Self { steps }
    }
}

fn draw_kind(deployment: &Deployment, random: &mut SmallRng) -> StepKind {
    let nodes = deployment.nodes().len();
    let node = random.random_range(0..nodes);
    let machines = peatgrade_models::platform::machines_of(deployment);
    let engines: Vec<&str> = machines
        .iter()
        .filter(|machine| machine.engine().is_some())
        .map(|machine| machine.name.as_str())
        .collect();
    let machine = |random: &mut SmallRng, fault, for_ms| StepKind::Machine {
        name: engines
            .choose(random)
            .copied()
            .unwrap_or("store")
            .to_string(),
        fault,
        for_ms,
    };
    let store = |fault, for_ms| StepKind::Machine {
        name: "store".into(),
        fault,
        for_ms,
    };
    let zone = deployment.zones.choose(random).cloned().unwrap_or_default();
    let span = random.random_range(2_000..20_000);
    match random.random_range(0..22) {
        0 | 1 => machine(random, FaultKind::Crash, span),
        2 => machine(random, FaultKind::Hang, span),
        3 => machine(random, FaultKind::Slow, span),
        4 => machine(random, FaultKind::ResetMidAnswer, 0),
        5 => machine(random, FaultKind::ResetMidAnswer, span),
        6 => machine(random, FaultKind::FailSwap, 0),
        7 | 8 => machine(random, FaultKind::Leave, 30_000),
        9 => store(FaultKind::Down, span * 6),
        10 => store(FaultKind::LoseAnswers, span),
        11 => store(FaultKind::Slow, span),
        12 | 13 => StepKind::NodeCrash {
            node,
            for_ms: span,
            lose_disk: false,
        },
        14 => StepKind::NodeCrash {
            node,
            for_ms: span,
            lose_disk: true,
        },
        15 => StepKind::NodePause { node, for_ms: span },
        16 => StepKind::NodeStop { node, for_ms: span },
        17 => StepKind::DiskFull { node, for_ms: span },
        18 => StepKind::ZoneCut {
            zone,
            for_ms: span * 2,
        },
        19 => StepKind::ZoneLoss { zone, for_ms: span },
        20 => StepKind::Storm { for_ms: span },
        _ => match random.random_bool(0.5) {
            true => StepKind::OperatorRace,
            false => StepKind::BadChange,
        },
    }
}
