//! Lengths of time on the command line, such as `60s`, `500ms` or `2m`.

use peatgrade_types::Duration;

/// Reads a length of time.
pub fn parse_length(text: &str) -> Result<Duration, String> {
    let split = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let number: u64 = number
        .parse()
        .map_err(|_| format!("{text:?} does not begin with a number"))?;
    match unit {
        "ms" => Ok(Duration::from_millis(number)),
        "s" | "" => Ok(Duration::from_secs(number)),
        "m" => Ok(Duration::from_secs(number * 60)),
        "h" => Ok(Duration::from_secs(number * 3_600)),
        _ => Err(format!("{unit:?} is not ms, s, m or h")),
    }
}
