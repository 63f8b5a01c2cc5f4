//! The cases.

mod emptied;
mod promise;
mod smuggled;
mod unkeyed;
mod waiting;

use crate::json::Json;
use crate::record::Record;
use crate::Outcome;

pub type Verdict = (Outcome, String);

pub fn play(case: &str, record: &Record, trouble: bool) -> Verdict {
    match case {
        "unkeyed" => unkeyed::play(record, trouble),
        "waiting" => waiting::play(record, trouble),
        "emptied" => emptied::play(record, trouble),
        "promise" => promise::play(record, trouble),
        "smuggled" => smuggled::play(record, trouble),
        _ => (Outcome::CouldNotRun, format!("there is no case {case}")),
    }
}

/// The operator's configuration: its limits are those that the bench's example of a
/// configuration shows.
pub fn configuration(version: u64, single: &str) -> Json {
    configuration_for(version, single, "[]")
}

/// The same for tenants, each with a key.
pub fn configuration_for(version: u64, single: &str, tenants: &str) -> Json {
    let text = format!(
        "{{\"version\":{version},\"tenants\":{tenants},\"routes\":[{single},\
         {{\"name\":\"jobs\",\"host\":\"h.example\",\"path_prefix\":\"/jobs/\",\"kind\":\"rollout\",\
         \"timeout_ms\":10000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"models\",\
         \"max_attempts\":3,\"max_queue_s\":40.0,\"result_deadline_ms\":7500,\
         \"single_version\":false,\"sticky\":true,\"resumable\":true}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":100,\
         \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"models\",\"health_path\":\"/healthz\",\
         \"max_connections\":150,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\
         \"kv_capacity_tokens\":90000,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    );
    Json::parse(text.as_bytes()).expect("configuration")
}

/// A route for single requests.
pub fn single_route(kind: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"single\",\"host\":\"h.example\",\"path_prefix\":\"/single/\",\
         \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":150,\
         \"priority\":2,\"service\":\"app\",\"max_attempts\":2}}"
    )
}

/// Two batch routes: a public one, and one that needs the key of a tenant.
pub fn public_configuration(version: u64) -> Json {
    let route = |name: &str, service: &str, public: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"rollout\",\"timeout_ms\":10000,\"target_latency_ms\":400,\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":3,\"max_queue_s\":40.0,\
             \"result_deadline_ms\":7500,\"single_version\":false,\"public\":{public}}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":150,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\
             \"kv_capacity_tokens\":90000,\"models\":[{{\"name\":\"m\"}}]}}}}"
        )
    };
    let text = format!(
        "{{\"version\":{version},\"tenants\":[{{\"name\":\"alumni\",\"api_keys\":\
         [\"key-of-alumni\"]}}],\"routes\":[{},{}],\"services\":[{},{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        route("open", "models-open", true),
        route("jobs", "models", false),
        service("models-open"),
        service("models")
    );
    Json::parse(text.as_bytes()).expect("configuration")
}
