//! Logs as JSON lines on standard error.

use log::LevelFilter;
use serde_json::{json, Map, Value};
use std::io::Write;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::log_writer::{LineCounts, LogWriter};

/// How long the end of a process waits for its last lines.
const DRAIN_LIMIT: Duration = Duration::from_millis(200);

static COUNTS: OnceLock<Arc<LineCounts>> = OnceLock::new();

/// Lines left out since the start, because nobody read them in time.
pub fn dropped_lines() -> u64 {
    COUNTS.get().map_or(0, |counts| counts.dropped())
}

/// Waits a moment for lines that are not written yet.
pub fn flush() {
    if let Some(counts) = COUNTS.get() {
        counts.flush(DRAIN_LIMIT);
    }
}

/// Sets up the log of a process. `level` is a name such as `info`; `node`
/// stands in every line.
pub fn init(level: &str, node: &str) {
    let node = node.to_string();
    let mut builder = env_logger::Builder::new();
    // A plain level can be changed later by `set_level`.
    let plain = level.parse::<LevelFilter>();
    match plain {
        Ok(_) => builder.filter_level(LevelFilter::Trace),
        Err(_) => builder.parse_filters(level),
    };
    if let Ok((writer, counts)) = LogWriter::start(Box::new(std::io::stderr())) {
        let _ = COUNTS.set(counts);
        builder.target(env_logger::Target::Pipe(Box::new(writer)));
    }
    builder.format(move |out, record| {
        let line = json_line(&node, record);
        writeln!(out, "{line}")
    });
    // A second call in one process, as in tests, keeps the first log.
    let started = builder.try_init();
    if let (Ok(()), Ok(level)) = (started, plain) {
        set_level(level);
    }
}

/// Changes which lines are written from now on.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

fn json_line(node: &str, record: &log::Record<'_>) -> Value {
    let millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis());
    let message = record.args().to_string();
    let mut fields = fields_of(&message);
    fields.insert("time_ms".into(), json!(millis as u64));
    fields.insert("level".into(), json!(record.level().as_str()));
    fields.insert("target".into(), json!(record.target()));
    fields.insert("node".into(), json!(node));
    Value::Object(fields)
}

/// Reads `name=value` pairs; the last value may hold spaces. Text without
/// pairs becomes the field `message`.
fn fields_of(message: &str) -> Map<String, Value> {
    let mut fields = Map::new();
    let mut last: Option<String> = None;
    for word in message.split(' ') {
        let pair = word.split_once('=').filter(|(name, _)| is_name(name));
        match (pair, &last) {
            (Some((name, value)), _) => {
                fields.insert(name.to_string(), json!(value));
                last = Some(name.to_string());
            }
            (None, Some(name)) => {
                let text = fields.get(name).and_then(Value::as_str).unwrap_or("");
                let joined = format!("{text} {word}");
                fields.insert(name.clone(), json!(joined));
            }
            (None, None) => {
                fields.insert("message".into(), json!(message));
                return fields;
            }
        }
    }
    fields
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
}
