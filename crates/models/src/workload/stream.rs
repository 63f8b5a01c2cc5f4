//! Streams of requests, as a deployment declares them.

use serde::{Deserialize, Serialize};

/// One stream of requests of the same kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamSettings {
    /// Name in reports.
    pub name: String,
    /// Tenant.
    pub tenant: String,
    /// Requests a second.
    pub rate: f64,
    /// Method, for app engines.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path below the tenant's prefix, for app engines; empty for models.
    #[serde(default)]
    pub path: String,
    /// Whether each request carries an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Whether the request may run at most once, as the tenant declares it.
    #[serde(default)]
    pub non_repeatable: bool,
    /// Share of keyed requests that are sent twice, to two nodes.
    #[serde(default)]
    pub duplicates: f64,
    /// Bytes of prompt, for models.
    #[serde(default = "default_prompt")]
    pub prompt_bytes: usize,
    /// Longest answer, for models.
    #[serde(default = "default_tokens")]
    pub max_tokens: u32,
    /// Shortest answer of the pool's engines, to check answers.
    #[serde(default = "default_shortest")]
    pub shortest_answer: u32,
    /// Sessions kept at once; 0 for requests without a session.
    #[serde(default)]
    pub sessions: usize,
    /// Whether answers are streamed.
    #[serde(default)]
    pub stream: bool,
}

fn default_method() -> String {
    "GET".into()
}
fn default_prompt() -> usize {
    400
}
fn default_tokens() -> u32 {
    256
}
fn default_shortest() -> u32 {
    24
}
