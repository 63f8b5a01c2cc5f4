//! Validation, defaults and reload of settings.

use super::*;
use rstest::rstest;

const GATEWAY: &str = r#"
name = "gateway-1"
zone = "a"
front_address = "10.0.0.1:80"
ready_address = "10.0.0.1:81"
peer_address = "10.0.0.1:7700"
store_address = "10.0.0.9:8000"
"#;

fn write(name: &str, text: &str) -> PathBuf {
    let file = format!("peatgrade-settings-{name}-{}.toml", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).unwrap();
    path
}

#[rstest]
#[case::no_port("store_address = \"10.0.0.9\"", "store_address")]
#[case::unknown_level("log_level = \"loud\"", "log_level")]
#[case::contact_too_short("contact_ms = 10", "contact_ms")]
#[case::copies_above_100_percent("copies_percent = 101", "copies_percent")]
#[case::negative_catch_up("catch_up_s = -1", "catch_up_s")]
#[case::group_too_large("tolerated_losses = 9", "tolerated_losses")]
#[case::unknown_placement("item_placement = \"fastest\"", "item_placement")]
fn error_names_the_invalid_field(#[case] line: &str, #[case] field: &str) {
    let base = GATEWAY.lines().filter(|known| !known.starts_with(field));
    let text = format!("{}\n{line}\n", base.collect::<Vec<_>>().join("\n"));
    let path = write(field, &text);
    let error = ServerSettings::load(&path, ServerRole::Gateway).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    assert!(error.to_string().contains(field), "{error}");
}

#[test]
fn reload_applies_dynamic_fields_and_names_static_ones() {
    let path = write("reload", GATEWAY);
    let mut settings = ServerSettings::load(&path, ServerRole::Gateway).unwrap();
    let changed = GATEWAY
        .replace("10.0.0.9:8000", "10.0.0.8:8000")
        .replace("10.0.0.1:80\"", "10.0.0.1:90\"");
    let newer = write("newer", &changed);
    let newer = ServerSettings::load(&newer, ServerRole::Gateway).unwrap();
    let (taken, kept) = settings.apply_reloadable(newer);
    assert_eq!(taken, ["store_address"]);
    assert_eq!(kept, ["front_address"]);
    assert_eq!(settings.store_address, "10.0.0.8:8000");
    assert_eq!(settings.front_address, "10.0.0.1:80");
}

/// The table of the page for operators names each setting, and when a change is in force.
#[test]
fn the_table_of_settings_is_complete() {
    let path = write("documented", GATEWAY);
    let mut settings = ServerSettings::load(&path, ServerRole::Gateway).unwrap();
    let newer = ServerSettings {
        name: "other".into(),
        zone: "other".into(),
        front_address: "other".into(),
        ready_address: "other".into(),
        peer_address: "other".into(),
        metrics_address: "other".into(),
        store_address: "other".into(),
        data_folder: "other".into(),
        grace_ms: 1,
        order_lease_ms: 1,
        engines_check_fences: !settings.engines_check_fences,
        job_keep_ms: 1,
        loads_at_once: 7,
        tolerated_losses: 4,
        catch_up_s: 0.1,
        contact_ms: 1,
        config_apply_ms: 1,
        engine_drain_ms: 1,
        engine_heartbeat_ms: 1,
        keys_believed_ms: 1,
        disk_limit_mb: 1,
        max_open_files: 7,
        memory_limit_mb: 1,
        usage_window_ms: 1,
        usage_late_ms: 1,
        item_placement: "other".into(),
        duty_address: "other".into(),
        share_observations: !settings.share_observations,
        reject_unservable: !settings.reject_unservable,
        copies_percent: 1,
        item_order: "other".into(),
        log_level: "warn".into(),
        // The file that was read is no setting.
        source: settings.source.clone(),
    };
    let (applied, deferred) = settings.apply_reloadable(newer);
    assert_eq!(
        applied.len() + deferred.len(),
        32,
        "a setting is not reloaded"
    );
    let page = include_str!("../../../../docs/OPERATIONS.md");
    let section = page.split("## Settings and reload").nth(1).unwrap();
    let row_of = |name: &str| {
        let quoted = format!("`{name}`");
        let mut rows = section.lines().filter(|line| line.starts_with('|'));
        rows.find(|row| row.contains(&quoted))
            .unwrap_or_else(|| panic!("{name} is not in the table"))
    };
    for name in applied {
        assert!(!row_of(name).contains("after a restart"), "{name}");
    }
    for name in deferred {
        assert!(row_of(name).ends_with("after a restart |"), "{name}");
    }
}

#[rstest]
#[case::no_limit("", None)]
#[case::limited("memory_limit_mb = 120", Some(40 * 1024 * 1024))]
fn caller_memory_is_a_third_of_the_limit(#[case] line: &str, #[case] expected: Option<usize>) {
    let name = format!("callers-{}", line.len());
    let path = write(&name, &format!("{GATEWAY}{line}\n"));
    let settings = ServerSettings::load(&path, ServerRole::Gateway).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(settings.caller_memory_bytes(), expected);
}

/// Guards against connections that take up the descriptors or the memory that requests need.
#[rstest]
#[case::files("max_open_files = 400", 200)]
#[case::memory("max_open_files = 100000\nmemory_limit_mb = 96", 1024)]
#[case::both("max_open_files = 400\nmemory_limit_mb = 96", 200)]
#[case::few("max_open_files = 4", 16)]
fn callers_connections_are_limited(#[case] lines: &str, #[case] expected: usize) {
    let path = write(
        &format!("connections-{}", lines.len()),
        &format!("{GATEWAY}{lines}\n"),
    );
    let settings = ServerSettings::load(&path, ServerRole::Gateway).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(settings.max_caller_connections(), Some(expected));
}

/// Without settings, the limit of the operating system holds.
#[test]
fn callers_connections_are_limited_by_the_operating_system() {
    let path = write("os-connections", GATEWAY);
    let settings = ServerSettings::load(&path, ServerRole::Gateway).unwrap();
    std::fs::remove_file(&path).unwrap();
    let limit = settings.max_caller_connections();
    assert!(limit.is_none_or(|limit| limit >= 16), "{limit:?}");
}

#[test]
fn reload_of_an_invalid_file_keeps_the_settings() {
    let path = write("broken", GATEWAY);
    let mut settings = ServerSettings::load(&path, ServerRole::Gateway).unwrap();
    let before = settings.clone();
    std::fs::write(&path, "name = ").unwrap();
    settings.reload(ServerRole::Gateway);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(settings, before);
}

/// A silently lost watch must be detected early enough to list the objects again within
/// `contact_ms`.
#[rstest]
#[case::short(1_500)]
#[case::usual(3_000)]
#[case::long(4_000)]
fn lost_watch_is_detected_within_contact_time(#[case] contact_ms: u64) {
    use crate::watcher::WatchTiming;
    let path = write(&format!("watch-{contact_ms}"), GATEWAY);
    let mut settings = ServerSettings::load(&path, ServerRole::Gateway).unwrap();
    std::fs::remove_file(&path).unwrap();
    settings.contact_ms = contact_ms;
    for timing in [
        WatchTiming::immediate(&settings),
        WatchTiming::batched(&settings),
    ] {
        let response_timeout = timing.response_timeout().as_millis() as u64;
        assert!(
            response_timeout + 300 <= contact_ms,
            "{response_timeout} ms"
        );
        assert!(
            response_timeout * 3 >= contact_ms,
            "watch calls are too frequent: {response_timeout} ms"
        );
    }
}

const STORAGE: &str = r#"
name = "storage-1"
zone = "a"
peer_address = "10.0.0.1:7700"
store_address = "10.0.0.9:8000"
data_folder = "/data"
usage_window_ms = 5000
duty_address = "10.0.0.8:8000"
"#;

/// Usage reporting needs an address and time for a leader change.
#[rstest]
#[case::no_address("duty_address = \"\"", "duty_address")]
#[case::no_time("usage_late_ms = 1000", "usage_late_ms")]
fn usage_reporting_settings_are_validated(#[case] line: &str, #[case] field: &str) {
    let base = STORAGE.lines().filter(|known| !known.starts_with(field));
    let text = format!("{}\n{line}\n", base.collect::<Vec<_>>().join("\n"));
    let path = write(field, &text);
    let error = ServerSettings::load(&path, ServerRole::Storage).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    assert!(error.to_string().contains(field), "{error}");
}

#[test]
fn report_address_is_optional_without_usage_windows() {
    let text = STORAGE.replace("usage_window_ms = 5000", "");
    let path = write(
        "no-usage",
        &text.replace("duty_address = \"10.0.0.8:8000\"", ""),
    );
    let settings = ServerSettings::load(&path, ServerRole::Storage);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(settings.unwrap().usage_window_ms, 0);
}

#[rstest]
#[case::default("", true, 20)]
#[case::disabled("reject_unservable = false\ncopies_percent = 0", false, 0)]
fn admission_and_retry_budget_can_be_disabled(
    #[case] lines: &str,
    #[case] rejects: bool,
    #[case] copies: u32,
) {
    let path = write(
        &format!("copies-{copies}"),
        &format!("{GATEWAY}\n{lines}\n"),
    );
    let settings = ServerSettings::load(&path, ServerRole::Gateway).unwrap();
    std::fs::remove_file(&path).unwrap();
    let forwarding = settings.forwarder_settings(1);
    assert_eq!(forwarding.rejects_unservable, rejects);
    assert_eq!(forwarding.retry_budget_percent, copies);
}

#[rstest]
#[case::default("", Some(ItemOrder::GroupsInTime))]
#[case::configured("item_order = \"arrival\"", Some(ItemOrder::Arrival))]
#[case::unknown("item_order = \"random\"", None)]
fn item_order_is_configurable(#[case] line: &str, #[case] expected: Option<ItemOrder>) {
    let text = format!("{GATEWAY}\ndata_folder = \"/tmp\"\n{line}\n");
    let path = write(&format!("order-{}", line.len()), &text);
    let settings = ServerSettings::load(&path, ServerRole::Storage);
    std::fs::remove_file(&path).unwrap();
    match expected {
        Some(order) => assert_eq!(settings.unwrap().item_order(), order),
        None => assert!(settings.unwrap_err().to_string().contains("item_order")),
    }
}
