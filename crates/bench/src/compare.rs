//! Two reports side by side.

use crate::clients::ClientReport;
use std::fmt::Write;

fn change(before: f64, after: f64) -> String {
    if before == 0.0 {
        return "-".into();
    }
    format!("{:+.1} %", (after / before - 1.0) * 100.0)
}

/// Figures of both reports and their change, as lines.
pub fn compare(before: &ClientReport, after: &ClientReport) -> String {
    let mut text = format!("{:<40} {:>12} {:>12} {:>10}\n", "", "A", "B", "change");
    let mut row = |name: String, a: f64, b: f64| {
        let _ = writeln!(text, "{name:<40} {a:>12.2} {b:>12.2} {:>10}", change(a, b));
    };
    for (name, stream) in &before.streams {
        let Some(other) = after.streams.get(name) else {
            continue;
        };
        for quantile in ["p50", "p99"] {
            let value =
                |report: &crate::clients::StreamReport| report.latency_ms.get(quantile).copied();
            let (a, b) = (value(stream).unwrap_or(0.0), value(other).unwrap_or(0.0));
            row(format!("{name} {quantile} ms"), a, b);
        }
        let answered = |report: &crate::clients::StreamReport| {
            report.endings.get("answered").copied().unwrap_or(0) as f64
        };
        row(
            format!("{name} answered"),
            answered(stream),
            answered(other),
        );
    }
    for (name, trainer) in &before.trainers {
        let Some(other) = after.trainers.get(name) else {
            continue;
        };
        row(
            format!("{name} idle %"),
            trainer.idle_share * 100.0,
            other.idle_share * 100.0,
        );
        row(
            format!("{name} staleness mean"),
            trainer.staleness_mean,
            other.staleness_mean,
        );
        row(
            format!("{name} steps"),
            trainer.steps as f64,
            other.steps as f64,
        );
    }
    row(
        "broken promises".into(),
        before.violations.len() as f64,
        after.violations.len() as f64,
    );
    text
}
