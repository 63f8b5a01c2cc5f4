//! Processor time and memory from the system's own accounting.

/// Processor time of each thread of this process with a name, in seconds.
pub fn of_threads() -> Vec<(String, f64)> {
    let Ok(entries) = std::fs::read_dir("/proc/self/task") else {
        return Vec::new();
    };
    let paths = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
    paths.filter_map(|path| thread_time(&path)).collect()
}

/// Name and time of a thread. `schedstat` counts nanoseconds.
fn thread_time(path: &std::path::Path) -> Option<(String, f64)> {
    let name = std::fs::read_to_string(path.join("comm")).ok()?;
    let times = std::fs::read_to_string(path.join("schedstat")).ok()?;
    let nanos: f64 = times.split_whitespace().next()?.parse().ok()?;
    Some((name.trim().to_string(), nanos / 1e9))
}

/// Resident memory of this process in bytes.
pub fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
