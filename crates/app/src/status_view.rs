//! Live status of a deployment in a terminal.

use peatgrade_bench::{report, ClientReport};
use peatgrade_node_core::NodeStatus;
use std::fmt::Write;

/// Engines by pool, with versions and load, as lines.
fn engine_lines(status: &NodeStatus) -> String {
    let mut text = String::new();
    for engine in &status.engines {
        let age = engine
            .age_ms
            .map_or("-".to_string(), |age| format!("{age} ms"));
        let state = if engine.leaving { "leaving" } else { "" };
        let _ = writeln!(
            text,
            "  {:<28} version {:<4} load {:>3}/{:<3} report {:<9} {state}",
            engine.name, engine.weights, engine.load, engine.slots, age
        );
    }
    text
}

/// One screen: nodes, engines, tenants, trainers, callers.
pub fn screen(statuses: &[NodeStatus], clients: &ClientReport) -> String {
    let mut text = String::new();
    for status in statuses {
        let _ = writeln!(
            text,
            "  {:<22} {:<9} config {:<4} roster {:<3} members {:<3} in flight {:<4} samples {:<4} {}",
            status.name,
            if status.ready { "ready" } else { "not ready" },
            status.config,
            status.roster,
            status.members,
            status.in_flight,
            status.rollouts,
            status.leases.join(" ")
        );
    }
    if let Some(first) = statuses.iter().find(|status| status.ready) {
        let _ = writeln!(text, "  tenants: {}", first.tenants.join(", "));
        text.push_str(&engine_lines(first));
    }
    for trainer in statuses.iter().flat_map(|status| &status.trainers) {
        let _ = writeln!(
            text,
            "  coordinator of {}: committed {}, next {}, samples in work {}, groups ready {}, dropped {}",
            trainer.tenant,
            trainer.committed,
            trainer.next_to_seal,
            trainer.running,
            trainer.complete_groups,
            trainer.dropped_stale
        );
    }
    text.push_str(&report::as_text(clients));
    text
}
