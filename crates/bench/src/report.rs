//! Reports as text, JSON and a page with plots.

use crate::clients::ClientReport;
use std::fmt::Write;

/// The figures as lines for a terminal.
pub fn as_text(report: &ClientReport) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{} after {:.0} s of load",
        report.deployment, report.seconds
    );
    let _ = writeln!(
        text,
        "  {:<18} {:>9} {:>8} {:>8} {:>8}  other endings",
        "stream", "answered", "p50 ms", "p99 ms", "longest"
    );
    for (name, stream) in &report.streams {
        let answered = stream.endings.get("answered").copied().unwrap_or(0);
        let value = |quantile: &str| stream.latency_ms.get(quantile).copied().unwrap_or(0.0);
        let others: Vec<String> = stream
            .endings
            .iter()
            .filter(|(ending, _)| ending.as_str() != "answered")
            .map(|(ending, count)| format!("{ending} {count}"))
            .collect();
        let _ = writeln!(
            text,
            "  {name:<18} {answered:>9} {:>8.1} {:>8.1} {:>8.1}  {}",
            value("p50"),
            value("p99"),
            value("longest"),
            others.join(", ")
        );
    }
    for (name, trainer) in &report.trainers {
        let _ = writeln!(
            text,
            "  trainer {name}: {} steps, idle {:.1} %, staleness p50 {} p99 {} mean {:.2}",
            trainer.steps,
            trainer.idle_share * 100.0,
            trainer.staleness_p50,
            trainer.staleness_p99,
            trainer.staleness_mean
        );
    }
    let _ = writeln!(
        text,
        "  oracle: {} observations, {} violations",
        report.observations,
        report.violations.len()
    );
    for violation in report.violations.iter().take(10) {
        let _ = writeln!(text, "    {violation}");
    }
    text
}
