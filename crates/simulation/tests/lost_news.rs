//! News whose messenger is lost: an engine begins to leave, or a configuration
//! is accepted, while a node is away or cut off.

use peatgrade_models::{Deployment, FaultKind};
use peatgrade_node_core::Mutation;
use peatgrade_oracle::Promise;
use peatgrade_simulation::{run, FaultPlan, RunReport, RunSettings, Step, StepKind, World};
use rstest::rstest;
use std::path::Path;

/// Moment at which an engine begins to leave, in milliseconds after the start.
const LEAVES_AT_MS: u64 = 30_000;

fn deployment(name: &str) -> Deployment {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    Deployment::load(&folder).unwrap()
}

fn settings(seconds: u64) -> RunSettings {
    RunSettings {
        seed: 1,
        seconds,
        ..RunSettings::default()
    }
}

fn step(at_ms: u64, kind: StepKind) -> Step {
    Step { at_ms, kind }
}

fn machine(name: &str, fault: FaultKind, for_ms: u64) -> StepKind {
    StepKind::Machine {
        name: name.to_string(),
        fault,
        for_ms,
    }
}

fn crash(node: usize, for_ms: u64) -> StepKind {
    StepKind::NodeCrash {
        node,
        for_ms,
        lose_disk: false,
    }
}

fn assert_promises(what: &str, report: &RunReport) {
    let found: Vec<String> = report.violations.iter().map(|v| v.to_string()).collect();
    assert!(found.is_empty(), "{what}: {}", found.join("\n"));
}

/// Whichever node is lost: the engine's owner, the root of its zone or of
/// another, the reader. The store is down, so that no list tells of it either.
#[rstest]
fn whichever_node_is_lost_all_others_hear_that_an_engine_leaves(
    #[values(
        ("alumni", "alumni-app-mids-brum-0"),
        ("alumni", "alumni-app-mids-leic-0"),
        ("caroni", "planner-api-tunapuna-0")
    )]
    engine: (&str, &str),
    #[values(0, 1, 2, 3, 4, 5)] node: usize,
    // The node dies before any poll can tell, after the first, after two.
    #[values(200, 600, 1_500)] later_ms: u64,
) {
    let (name, engine) = engine;
    let steps = vec![
        step(25_000, machine("store", FaultKind::Down, 40_000)),
        step(LEAVES_AT_MS, machine(engine, FaultKind::Leave, 20_000)),
        step(LEAVES_AT_MS + later_ms, crash(node, 15_000)),
    ];
    let report = run(&deployment(name), &settings(45), &FaultPlan { steps });
    assert_promises(engine, &report);
}

/// A zone is cut off just before an engine elsewhere begins to leave, and goes on
/// with what it knew when the cut ends: fuzzed seed 9310077, shrunk.
#[test]
fn a_zone_that_was_cut_off_sends_nothing_to_an_engine_that_left_meanwhile() {
    let cut = StepKind::ZoneCut {
        zone: "curepe".into(),
        for_ms: 7_218,
    };
    let leave = machine("planner-api-tunapuna-0", FaultKind::Leave, 30_000);
    let steps = vec![step(24_454, cut), step(25_676, leave)];
    let settings = RunSettings {
        seed: 9_310_077,
        ..settings(60)
    };
    let report = run(&deployment("caroni"), &settings, &FaultPlan { steps });
    assert_promises("cut off", &report);
}

/// An engine hangs, begins to leave meanwhile, and goes on, while the store is
/// down: fuzzed seed 9330075, shrunk.
#[test]
fn an_engine_that_began_to_leave_while_it_hung_gets_nothing_when_it_goes_on() {
    let engine = "ranker-llm-mids-leic-0";
    let pause = StepKind::NodePause {
        node: 2,
        for_ms: 19_928,
    };
    let other = machine("rollout-llm-mids-brum-3", FaultKind::Leave, 30_000);
    let steps = vec![
        step(21_969, machine("store", FaultKind::Down, 25_296)),
        step(43_270, other),
        step(97_608, pause),
        step(112_191, machine("store", FaultKind::Down, 68_358)),
        step(136_220, machine(engine, FaultKind::Hang, 11_110)),
        step(139_014, machine(engine, FaultKind::Leave, 30_000)),
    ];
    let settings = RunSettings {
        seed: 9_330_075,
        ..settings(180)
    };
    let report = run(&deployment("alumni"), &settings, &FaultPlan { steps });
    assert_promises("hung", &report);
}

/// A node starts again within a cut of its zone, during which operators go on
/// changing things on the other side.
fn started_within_a_cut(zone: &str, node: usize) -> FaultPlan {
    let cut = StepKind::ZoneCut {
        zone: zone.into(),
        for_ms: 50_000,
    };
    let mut steps = vec![step(25_000, crash(node, 10_000)), step(30_000, cut)];
    // Changes on both sides of the cut's end, so that some are missed.
    steps.extend((0..12).map(|n| step(41_000 + n * 3_000, StepKind::OperatorRace)));
    FaultPlan { steps }
}

/// It can't have in force what it can't have heard of, and is held to it again
/// once the cut is over.
#[rstest]
#[case("alumni", "mids-notts", 2)]
#[case("alumni", "mids-leic", 5)]
#[case("caroni", "tunapuna", 3)]
#[case("caroni", "curepe", 5)]
fn a_node_that_starts_behind_a_cut_has_the_newest_configuration_after_it(
    #[case] name: &str,
    #[case] zone: &str,
    #[case] node: usize,
) {
    let plan = started_within_a_cut(zone, node);
    let report = run(&deployment(name), &settings(110), &plan);
    assert_promises(zone, &report);
}

/// The check bites after the cut: nodes that do not ask for what they missed
/// are noticed.
#[rstest]
#[case("alumni", "mids-leic", 5)]
#[case("caroni", "curepe", 5)]
fn a_node_that_never_asks_for_what_it_missed_behind_a_cut_is_noticed(
    #[case] name: &str,
    #[case] zone: &str,
    #[case] node: usize,
) {
    let broken = RunSettings {
        mutation: Some(Mutation::NeverAskForNewer),
        ..settings(110)
    };
    let report = run(
        &deployment(name),
        &broken,
        &started_within_a_cut(zone, node),
    );
    let node_name = format!("node-{zone}-1 still has configuration");
    let noticed = report.violations.iter().any(|violation| {
        violation.promise == Promise::Configuration && violation.what.starts_with(&node_name)
    });
    assert!(noticed, "{:?}", report.violations.first());
}

/// To stop a run now and then, for a look at it, changes nothing.
#[test]
fn a_run_in_steps_is_the_same_run() {
    let whole = run(&deployment("caroni"), &settings(20), &FaultPlan::default());
    let mut stepped = World::new(&deployment("caroni"), settings(20), FaultPlan::default());
    for tenths in 1..=600 {
        stepped.run_until(tenths * 100);
    }
    stepped.run();
    assert_promises("in steps", &stepped.report());
    assert_eq!(stepped.report().trace, whole.trace);
}
