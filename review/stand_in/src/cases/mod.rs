pub mod cut_event;
pub mod large_jobs;
pub mod lost_disks;
pub mod old_limit;
pub mod route_gone;
pub mod second_answer;

use crate::client::HOST;
use crate::json::Json;
use crate::store::{map, number, text};

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
}

/// The operator's configuration.
pub fn configuration(version: u64, routes: &[Route<'_>]) -> Json {
    configuration_with_limit(version, routes, 33_554_432)
}

/// The operator's configuration with this `max_body_bytes`.
pub fn configuration_with_limit(version: u64, routes: &[Route<'_>], limit: u64) -> Json {
    let routes = routes.iter().map(|route| {
        map(&[
            ("name", text(route.name)),
            ("host", text(HOST)),
            ("path_prefix", text(route.prefix)),
            ("kind", text(route.kind)),
            ("timeout_ms", number(10_000)),
            ("target_latency_ms", number(400)),
            ("priority", number(1)),
            ("max_attempts", number(3)),
            ("service", text(route.service)),
            ("max_queue_s", number(40)),
            ("result_deadline_ms", number(7_500)),
        ])
    });
    let service = |name: &str, slots| {
        let engine = map(&[
            ("slots", number(slots)),
            ("kv_capacity_tokens", number(50_000)),
        ]);
        map(&[
            ("name", text(name)),
            ("health_path", text("/healthz")),
            ("max_connections", number(170)),
            ("engine", engine),
        ])
    };
    let limits = map(&[
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(limit)),
        ("header_timeout_ms", number(5_000)),
        ("idle_timeout_ms", number(30_000)),
    ]);
    map(&[
        ("version", number(version)),
        ("routes", Json::List(routes.collect())),
        (
            "services",
            Json::List(vec![service("app", 6), service("models", 16)]),
        ),
        ("limits", limits),
    ])
}
