//! Reports as HTML pages.

use crate::clients::ClientReport;
use crate::plot::{lines, Labels, Series};
use std::fmt::Write;

/// Text made safe to stand in HTML.
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// A page with a title around some content.
pub fn page(title: &str, content: &str) -> String {
    format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>body{{font-family:sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem}}\
         table{{border-collapse:collapse}}td,th{{border:1px solid #ccc;padding:.3rem .6rem;text-align:right}}\
         td:first-child,th:first-child{{text-align:left}}svg{{max-width:100%;height:auto}}</style></head>\
         <body><h1>{title}</h1>{content}</body></html>",
        title = escape(title)
    )
}

/// The page of a run.
pub fn run_page(report: &ClientReport) -> String {
    let mut content = String::new();
    let _ = write!(
        content,
        "<p>{:.0} s of load, {} observations checked, {} broken promises.</p>",
        report.seconds,
        report.observations,
        report.violations.len()
    );
    content.push_str(&stream_table(report));
    content.push_str(&trainer_table(report));
    content.push_str(&latency_plot(report));
    content.push_str(&throughput_plot(report));
    for violation in &report.violations {
        let _ = write!(content, "<p>{}</p>", escape(violation));
    }
    page(&format!("Run of {}", report.deployment), &content)
}

fn stream_table(report: &ClientReport) -> String {
    let mut table = String::from(
        "<h2>Callers</h2><table><tr><th>stream</th><th>answered</th><th>others</th>\
         <th>p50 ms</th><th>p90 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>",
    );
    for (name, stream) in &report.streams {
        let answered = stream.endings.get("answered").copied().unwrap_or(0);
        let others: u64 = stream.endings.values().sum::<u64>() - answered;
        let _ = write!(
            table,
            "<tr><td>{}</td><td>{answered}</td><td>{others}</td>",
            escape(name)
        );
        for quantile in ["p50", "p90", "p99", "p99.9"] {
            let value = stream.latency_ms.get(quantile).copied().unwrap_or(0.0);
            let _ = write!(table, "<td>{value:.1}</td>");
        }
        table.push_str("</tr>");
    }
    table + "</table>"
}

fn trainer_table(report: &ClientReport) -> String {
    let mut table = String::from(
        "<h2>Trainers</h2><table><tr><th>trainer</th><th>steps</th><th>idle</th>\
         <th>staleness p50</th><th>p99</th><th>mean</th></tr>",
    );
    for (name, trainer) in &report.trainers {
        let _ = write!(
            table,
            "<tr><td>{}</td><td>{}</td><td>{:.1} %</td><td>{}</td><td>{}</td><td>{:.2}</td></tr>",
            escape(name),
            trainer.steps,
            trainer.idle_share * 100.0,
            trainer.staleness_p50,
            trainer.staleness_p99,
            trainer.staleness_mean
        );
    }
    table + "</table>"
}

/// Latency against the number of nines of the quantile.
fn latency_plot(report: &ClientReport) -> String {
    let series: Vec<Series> = report
        .streams
        .iter()
        .map(|(name, stream)| {
            let points = stream.distribution.iter();
            Series {
                name: name.clone(),
                points: points
                    .map(|(quantile, ms)| (-(1.0 - quantile).log10(), *ms))
                    .collect(),
            }
        })
        .collect();
    let labels = Labels {
        title: "Latency by quantile",
        x: "nines of the quantile (1: p90, 2: p99, 3: p99.9)",
        y: "ms",
    };
    lines(&labels, &series)
}

fn throughput_plot(report: &ClientReport) -> String {
    let points = report.answered_per_second.iter().enumerate();
    let series = Series {
        name: "answered".into(),
        points: points
            .map(|(second, count)| (second as f64, *count as f64))
            .collect(),
    };
    let labels = Labels {
        title: "Answered requests",
        x: "s since the start",
        y: "per second",
    };
    lines(&labels, &[series])
}
