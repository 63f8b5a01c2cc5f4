//! `peatgradectl explain`: what several processes wrote of one request, job, item or
//! window of usage.
//!
//! A line belongs to the story if it names the id. Lines that change a belief
//! that was used (configuration, an engine of the story, the leader) stand
//! beside it when they fall into its time.

use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// How long before the first line of a request changes of beliefs matter.
const BEFORE_MS: u64 = 3_000;
/// Fields that every line has and that tell nothing here.
const COMMON: [&str; 4] = ["time_ms", "level", "target", "node"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    time_ms: u64,
    node: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; whatever stands before the document is passed over.
    pub fn parse(text: &str) -> Option<Self> {
        let document = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(document).ok()?;
        Some(Self {
            time_ms: fields.get("time_ms")?.as_u64()?,
            node: fields.get("node")?.as_str()?.to_string(),
            fields,
        })
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    fn names(&self, id: &str) -> bool {
        ["request", "item", "job", "window"]
            .iter()
            .any(|field| self.text(field) == Some(id))
    }

    fn is_belief_about(&self, engines: &BTreeSet<String>) -> bool {
        match self.text("belief") {
            Some("engine" | "engine-gone" | "order") => {
                let engine = self.text("instance").or(self.text("engine"));
                engine.is_some_and(|engine| engines.contains(engine))
            }
            // What the platform took tells nothing of a request.
            Some("usage-report") => false,
            Some(_) => true,
            None => self.fields.contains_key("dependency") || self.text("step") == Some("lead"),
        }
    }

    fn show(&self, start_ms: u64) -> String {
        let own = self
            .fields
            .iter()
            .filter(|(name, _)| !COMMON.contains(&name.as_str()));
        let pairs: Vec<String> = own
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let since = self.time_ms as i64 - start_ms as i64;
        format!("{since:>8} ms  {:<24} {}", self.node, pairs.join(" "))
    }
}

/// Reads the lines of all files.
pub fn read_logs(files: &[PathBuf]) -> Result<Vec<LogLine>, String> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_log(file)?);
    }
    lines.sort_by_key(|line| line.time_ms);
    Ok(lines)
}

fn read_log(file: &Path) -> Result<Vec<LogLine>, String> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| format!("read log {}: {error}", file.display()))?;
    Ok(text.lines().filter_map(LogLine::parse).collect())
}

/// The story of an id: its lines and the beliefs beside them, then the line
/// that decided.
pub fn explain(id: &str, lines: &[LogLine]) -> Result<Vec<String>, String> {
    let own: Vec<&LogLine> = lines.iter().filter(|line| line.names(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(format!("no line names {id}"));
    };
    let engines: BTreeSet<String> = own
        .iter()
        .filter_map(|line| line.text("engine").map(str::to_string))
        .collect();
    let nodes: BTreeSet<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let from = first.time_ms.saturating_sub(BEFORE_MS);
    let beside = |line: &&LogLine| {
        line.time_ms >= from
            && line.time_ms <= last.time_ms
            && nodes.contains(line.node.as_str())
            && line.is_belief_about(&engines)
    };
    let mut story = Vec::new();
    for line in lines {
        if line.names(id) {
            story.push(format!("* {}", line.show(first.time_ms)));
        } else if beside(&line) {
            story.push(format!("  {}", line.show(first.time_ms)));
        }
    }
    story.push(String::new());
    story.push(deciding(&own, first.time_ms));
    Ok(story)
}

/// The last decision that was no success, or the last one.
fn deciding(own: &[&LogLine], start_ms: u64) -> String {
    let decisions = own.iter().filter(|line| line.text("decision").is_some());
    let good = [
        "answer", "complete", "send", "run", "accept", "end", "relist", "usage",
    ];
    let mut bad = decisions
        .clone()
        .filter(|line| !good.contains(&line.text("decision").unwrap_or("")));
    match bad.next_back().or(decisions.clone().next_back()) {
        Some(line) => format!("decided by: {}", line.show(start_ms).trim_start()),
        None => "no decision was written".to_string(),
    }
}
