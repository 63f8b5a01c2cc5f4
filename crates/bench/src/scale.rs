//! The scale run: control traffic, processor time, memory and times of one
//! region at several sizes, with hollow nodes.
//!
//! A hollow node is the real core with the real messages, without sockets. All
//! nodes of a run share this process. Bytes are counted from encoded sizes
//! plus 28 bytes of IP and UDP headers; processor time is that of the real
//! handlers on this machine. Regions exchange no peer messages, so a region of
//! 180 nodes and 300 engines is half of the target and stands for it.

use peatgrade_membership::ZoneTree;
use peatgrade_models::deployment::PoolSettings;
use peatgrade_models::engine::EngineSettings;
use peatgrade_models::trainer::TrainerSettings;
use peatgrade_models::workload::StreamSettings;
use peatgrade_models::Deployment;
use peatgrade_simulation::kinds::is_data;
use peatgrade_simulation::{FaultPlan, NodeTraffic, RunSettings, Step, StepKind, World};
use peatgrade_types::NodeId;
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeMap;

use crate::fit::Fit;
use crate::processor_time::resident_bytes;

/// Zones of a region at the target.
const ZONES: u32 = 4;
/// Nodes and engines of a zone at the target.
pub const TARGET_NODES_PER_ZONE: u32 = 45;
const TARGET_ENGINES_PER_ZONE: u32 = 75;
/// Trainers of a region at the target: five for both regions, rounded up.
const TRAINERS: u32 = 3;
/// Milliseconds until a region has settled, and until a measurement ends.
const SETTLED_MS: u64 = 200_000;
const MEASURED_MS: u64 = 260_000;

/// Budget of a node for control, from the letter.
pub const BUDGET_BYTES_PER_SECOND: f64 = 2_000.0;
/// Share of a core.
pub const BUDGET_CORE_SHARE: f64 = 0.039;
/// Memory.
pub const BUDGET_MEMORY_BYTES: f64 = 128e6;

/// Control figures of one node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeFigures {
    /// Name.
    pub name: String,
    /// Roles it had.
    pub roles: Vec<String>,
    /// Messages a second, out and in.
    pub messages: (f64, f64),
    /// Bytes a second, out and in, with headers.
    pub bytes: (f64, f64),
    /// Share of a core for control: ticks, messages and polls.
    pub core_share: f64,
    /// Bytes of registers held.
    pub register_bytes: usize,
    /// Bytes a second by kind of message, out and in.
    pub kinds: BTreeMap<String, (f64, f64)>,
}

/// One size.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SizeReport {
    /// Nodes of the region.
    pub nodes: u32,
    /// Engines of the region.
    pub engines: u32,
    /// Mean over all nodes.
    pub mean_bytes: (f64, f64),
    /// Mean share of a core.
    pub mean_core_share: f64,
    /// The node with the most bytes out.
    pub worst_out: NodeFigures,
    /// The node with the most bytes in.
    pub worst_in: NodeFigures,
    /// The node with the most processor time.
    pub worst_core: NodeFigures,
    /// Mean figures of the nodes with each role.
    pub roles: BTreeMap<String, NodeFigures>,
    /// Resident memory of the process for each node, models included.
    pub memory_per_node: f64,
    /// Mean processor time by kind of message, in nanoseconds.
    pub handler_nanos: BTreeMap<String, f64>,
    /// Mean processor time of a tick, in nanoseconds.
    pub tick_nanos: f64,
}

/// All sizes with their lines.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ScaleReport {
    /// Sizes, smallest first.
    pub sizes: Vec<SizeReport>,
    /// Lines by what they are of, over the number of nodes.
    pub fits: BTreeMap<String, Fit>,
}

/// A region of some size with light traffic.
pub fn region(nodes_per_zone: u32, model_rate: f64, train_ms: u64) -> Deployment {
    let engines = (nodes_per_zone * TARGET_ENGINES_PER_ZONE).div_ceil(TARGET_NODES_PER_ZONE);
    let pools = (0..TRAINERS).map(|number| PoolSettings {
        name: format!("llm{number}"),
        per_zone: vec![engines.div_ceil(TRAINERS); ZONES as usize],
        engine: Some(EngineSettings {
            stage_ms: 300,
            ..EngineSettings::default()
        }),
        app: None,
    });
    let trainers = (0..TRAINERS).map(|number| TrainerSettings {
        name: format!("trainer{number}"),
        model: format!("model{number}"),
        train_ms,
    });
    let traffic = (0..TRAINERS).map(|number| StreamSettings {
        name: format!("stream{number}"),
        tenant: format!("tenant{number}"),
        rate: model_rate,
        max_tokens: 64,
        ..stream_defaults()
    });
    let template = json!({ "name": "trained-model", "parameters": [
        { "name": "pool", "type": "string" }, { "name": "model", "type": "string" },
        { "name": "trainer", "type": "string" }, { "name": "oversample", "type": "integer", "default": 10 } ],
        "spec": { "pool": "${pool}", "kind": "model", "model": "${model}", "max_tokens": 64,
            "training": { "trainer": "${trainer}", "samples_per_step": 16, "oversample_percent": "${oversample}" } } });
    let mut documents = vec![("template/trained-model".to_string(), template)];
    for number in 0..TRAINERS {
        let body = json!({ "name": format!("tenant{number}"), "template": "trained-model", "parameters": {
            "pool": format!("llm{number}"), "model": format!("model{number}"), "trainer": format!("trainer{number}") } });
        documents.push((format!("tenant/tenant{number}"), body));
    }
    Deployment {
        name: format!("region-{nodes_per_zone}"),
        region: "region".into(),
        zones: (0..ZONES).map(|zone| format!("zone{zone}")).collect(),
        zone_delay_us: 500,
        local_delay_us: 100,
        client_delay_us: 3_000,
        nodes_per_zone,
        bulk_per_zone: 2,
        pools: pools.collect(),
        scorers: Vec::new(),
        trainers: trainers.collect(),
        traffic: traffic.collect(),
        documents,
    }
}

fn stream_defaults() -> StreamSettings {
    let text = "name = \"\"\ntenant = \"\"\nrate = 0.0";
    toml::from_str(text).expect("the defaults are complete")
}

/// Measures every size.
pub fn scale(sizes: &[u32], progress: impl Fn(&SizeReport)) -> ScaleReport {
    let mut report = ScaleReport::default();
    for nodes_per_zone in sizes {
        let size = measure(*nodes_per_zone);
        progress(&size);
        report.sizes.push(size);
    }
    report.fits = fits(&report.sizes);
    report
}

fn measure(nodes_per_zone: u32) -> SizeReport {
    let deployment = region(nodes_per_zone, 0.5, 120_000);
    let before = resident_bytes();
    let settings = RunSettings {
        seconds: MEASURED_MS / 1_000 + 30,
        operators: false,
        ..RunSettings::default()
    };
    let mut world = World::new(&deployment, settings, FaultPlan::default());
    world.run_until(SETTLED_MS);
    world.reset_traffic();
    world.run_until(MEASURED_MS);
    let memory = resident_bytes().saturating_sub(before);
    let seconds = (MEASURED_MS - SETTLED_MS) as f64 / 1e3;
    let roles = roles_of(&mut world, &deployment);
    let traffic = world.traffic();
    let figures: Vec<NodeFigures> = traffic
        .iter()
        .map(|(name, traffic)| {
            let (held, register_bytes) = roles.get(name).cloned().unwrap_or_default();
            figures_of(name, held, register_bytes, traffic, seconds)
        })
        .collect();
    let count = figures.len() as f64;
    let mean = |pick: fn(&NodeFigures) -> f64| figures.iter().map(pick).sum::<f64>() / count;
    let worst = |pick: fn(&NodeFigures) -> f64| {
        let most = figures
            .iter()
            .max_by(|left, right| pick(left).total_cmp(&pick(right)));
        most.cloned().unwrap_or_default()
    };
    SizeReport {
        nodes: figures.len() as u32,
        engines: deployment
            .pools
            .iter()
            .flat_map(|pool| &pool.per_zone)
            .sum(),
        mean_bytes: (mean(|node| node.bytes.0), mean(|node| node.bytes.1)),
        mean_core_share: mean(|node| node.core_share),
        worst_out: worst(|node| node.bytes.0),
        worst_in: worst(|node| node.bytes.1),
        worst_core: worst(|node| node.core_share),
        roles: by_role(&figures),
        memory_per_node: memory as f64 / count,
        handler_nanos: handler_nanos(&traffic),
        tick_nanos: tick_nanos(&traffic),
    }
}

/// Roles of each node and its register bytes, at the end of a measurement.
fn roles_of(world: &mut World, deployment: &Deployment) -> BTreeMap<String, (Vec<String>, usize)> {
    let nodes = deployment.nodes();
    let roots: Vec<Option<NodeId>> = deployment
        .zones
        .iter()
        .map(|zone| {
            let members = nodes.iter().filter(|(_, home, _)| home == zone);
            ZoneTree::new(zone, members.map(|(name, _, _)| NodeId::from_name(name))).root()
        })
        .collect();
    let statuses = world.statuses();
    let named = statuses.into_iter().map(|status| {
        let mut roles: Vec<String> = status
            .leases
            .iter()
            .filter_map(|lease| lease.split('/').nth(1).map(str::to_string))
            .collect();
        if roots.contains(&Some(NodeId::from_name(&status.name))) {
            roles.push("zone root".into());
        }
        if status.engines_owned > 0 {
            roles.push("engine owner".into());
        }
        if nodes
            .iter()
            .any(|(name, _, bulk)| *name == status.name && *bulk)
        {
            roles.push("bulk storage".into());
        }
        if status.register_bytes > 0 {
            roles.push("register replica".into());
        }
        if roles.is_empty() {
            roles.push("plain member".into());
        }
        (status.name, (roles, status.register_bytes))
    });
    named.collect()
}

fn figures_of(
    name: &str,
    roles: Vec<String>,
    register_bytes: usize,
    traffic: &NodeTraffic,
    seconds: f64,
) -> NodeFigures {
    let control = traffic.total(|kind| !is_data(kind));
    let nanos = control.handler_nanos + traffic.ticks.1 + traffic.http.1;
    let kinds = traffic.kinds.iter().map(|(kind, figures)| {
        let rates = (
            figures.bytes_out as f64 / seconds,
            figures.bytes_in as f64 / seconds,
        );
        (kind.to_string(), rates)
    });
    NodeFigures {
        name: name.to_string(),
        roles,
        messages: (
            control.messages_out as f64 / seconds,
            control.messages_in as f64 / seconds,
        ),
        bytes: (
            control.bytes_out as f64 / seconds,
            control.bytes_in as f64 / seconds,
        ),
        core_share: nanos as f64 / 1e9 / seconds,
        register_bytes,
        kinds: kinds.collect(),
    }
}

fn by_role(figures: &[NodeFigures]) -> BTreeMap<String, NodeFigures> {
    let mut roles: BTreeMap<String, Vec<&NodeFigures>> = BTreeMap::new();
    for node in figures {
        for role in &node.roles {
            roles.entry(role.clone()).or_default().push(node);
        }
    }
    let means = roles.into_iter().map(|(role, nodes)| {
        let count = nodes.len() as f64;
        let mean =
            |pick: fn(&NodeFigures) -> f64| nodes.iter().map(|n| pick(n)).sum::<f64>() / count;
        let figures = NodeFigures {
            name: format!("{} nodes", nodes.len()),
            roles: vec![role.clone()],
            messages: (mean(|n| n.messages.0), mean(|n| n.messages.1)),
            bytes: (mean(|n| n.bytes.0), mean(|n| n.bytes.1)),
            core_share: mean(|n| n.core_share),
            register_bytes: mean(|n| n.register_bytes as f64) as usize,
            kinds: BTreeMap::new(),
        };
        (role, figures)
    });
    means.collect()
}

fn handler_nanos(traffic: &[(String, NodeTraffic)]) -> BTreeMap<String, f64> {
    let mut sums: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    for (kind, figures) in traffic.iter().flat_map(|(_, traffic)| &traffic.kinds) {
        let sum = sums.entry(kind.to_string()).or_default();
        sum.0 += figures.handler_nanos;
        sum.1 += figures.messages_in;
    }
    let means = sums
        .into_iter()
        .map(|(kind, (nanos, count))| (kind, nanos as f64 / count.max(1) as f64));
    means.collect()
}

fn tick_nanos(traffic: &[(String, NodeTraffic)]) -> f64 {
    let (count, nanos) = traffic.iter().fold((0, 0), |sum, (_, traffic)| {
        (sum.0 + traffic.ticks.0, sum.1 + traffic.ticks.1)
    });
    nanos as f64 / count.max(1) as f64
}

fn fits(sizes: &[SizeReport]) -> BTreeMap<String, Fit> {
    let line = |pick: fn(&SizeReport) -> f64| {
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .map(|s| (f64::from(s.nodes), pick(s)))
            .collect();
        Fit::through(&points)
    };
    let lines = [
        ("mean bytes out", line(|s| s.mean_bytes.0)),
        ("mean bytes in", line(|s| s.mean_bytes.1)),
        ("worst bytes out", line(|s| s.worst_out.bytes.0)),
        ("worst bytes in", line(|s| s.worst_in.bytes.1)),
        ("mean core share", line(|s| s.mean_core_share)),
        ("worst core share", line(|s| s.worst_core.core_share)),
        ("memory per node", line(|s| s.memory_per_node)),
        ("tick nanoseconds", line(|s| s.tick_nanos)),
    ];
    lines
        .map(|(name, fit)| (name.to_string(), fit))
        .into_iter()
        .collect()
}

/// Times of one run at a size.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TimesReport {
    /// Seed.
    pub seed: u64,
    /// Nodes.
    pub nodes: u32,
    /// Whether the store was down from the first fault on.
    pub store_down: bool,
    /// Milliseconds from an operator's change until every sound node had it in
    /// force; longest and median.
    pub config_ms: (u64, u64),
    /// Milliseconds from a commit until every engine used the version; longest
    /// and median.
    pub weights_ms: (u64, u64),
    /// Milliseconds from a crash until the last node noticed.
    pub detection_ms: Vec<u64>,
    /// Live, reachable nodes held for dead.
    pub false_deaths: u64,
    /// Broken promises.
    pub violations: Vec<String>,
}

/// Length of a run without failures.
const QUIET_SECONDS: u64 = 120;

/// Unless `quiet`, fails a node, five nodes of a zone as a rack would, and a whole zone, and
/// measures how the region takes it.
pub fn times(nodes_per_zone: u32, seed: u64, store_down: bool, quiet: bool) -> TimesReport {
    let deployment = region(nodes_per_zone, 1.0, 20_000);
    let rack = 5.min(nodes_per_zone as usize / 2).max(1);
    let zone = nodes_per_zone as usize;
    let crash = |at_ms: u64, node: usize| Step {
        at_ms,
        kind: StepKind::NodeCrash {
            node,
            for_ms: 40_000,
            lose_disk: false,
        },
    };
    let mut steps = Vec::new();
    if store_down {
        steps.push(Step {
            at_ms: 75_000,
            kind: StepKind::Machine {
                name: "store".into(),
                fault: peatgrade_models::FaultKind::Down,
                for_ms: 0,
            },
        });
    }
    steps.push(crash(80_000, 1));
    steps.extend((0..rack).map(|index| crash(135_000, zone + index)));
    steps.push(Step {
        at_ms: 190_000,
        kind: StepKind::ZoneLoss {
            zone: "zone2".into(),
            for_ms: 30_000,
        },
    });
    if quiet {
        steps.clear();
    }
    let settings = RunSettings {
        seed,
        seconds: if quiet { QUIET_SECONDS } else { 240 },
        ..RunSettings::default()
    };
    let mut world = World::new(&deployment, settings, FaultPlan { steps });
    world.run();
    let report = world.report();
    let membership = world.membership();
    TimesReport {
        seed,
        nodes: nodes_per_zone * ZONES,
        store_down,
        config_ms: report.config_spread_ms,
        weights_ms: report.weights_spread_ms,
        detection_ms: membership.detection_ms,
        false_deaths: membership.false_deaths,
        violations: report
            .violations
            .iter()
            .map(ToString::to_string)
            .take(5)
            .collect(),
    }
}
