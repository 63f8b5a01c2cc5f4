//! Logging as JSON lines to standard error.

use log::LevelFilter;
use serde_json::{json, Map, Value};
use std::io::Write;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::log_writer::{LineCounts, LogWriter};

/// Longest wait for queued lines when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static COUNTS: OnceLock<Arc<LineCounts>> = OnceLock::new();

/// Lines dropped since the start because the queue was full.
pub fn dropped_lines() -> u64 {
    COUNTS.get().map_or(0, |counts| counts.dropped())
}

/// Waits briefly until queued lines are written.
pub fn flush() {
    if let Some(counts) = COUNTS.get() {
        counts.flush(FLUSH_TIMEOUT);
    }
}

/// Initializes logging. `level` is a level such as `info` or a list of `env_logger` filters;
/// `node` is added to every line.
pub fn init(level: &str, node: &str) {
    let node = node.to_string();
    let mut builder = env_logger::Builder::new();
    // A single level can be changed later by `set_level`.
    let parsed_level = level.parse::<LevelFilter>();
    match parsed_level {
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
    // A second call in the same process, as in tests, keeps the first logger.
    let initialized = builder.try_init();
    if let (Ok(()), Ok(level)) = (initialized, parsed_level) {
        set_level(level);
    }
}

/// Sets the maximum level of logged lines.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

fn json_line(node: &str, record: &log::Record<'_>) -> Value {
    let millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis());
    let message = record.args().to_string();
    let mut fields = parse_fields(&message);
    fields.insert("time_ms".into(), json!(millis as u64));
    fields.insert("level".into(), json!(record.level().as_str()));
    fields.insert("target".into(), json!(record.target()));
    fields.insert("node".into(), json!(node));
    Value::Object(fields)
}

/// Parses `name=value` pairs. Words without `=` continue the value before them; a message
/// that does not begin with a pair becomes the field `message`.
fn parse_fields(message: &str) -> Map<String, Value> {
    let mut fields = Map::new();
    let mut last: Option<String> = None;
    for word in message.split(' ') {
        let pair = word.split_once('=').filter(|(name, _)| is_field_name(name));
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

fn is_field_name(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
}
