//! Configuration declared by operators.

use peatgrade_authentication::{AuthError, KeyDigest, Tenants};
use peatgrade_types::Duration;
use std::collections::BTreeMap;

use crate::routes::RouteTable;

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Increases with every change.
    pub version: u64,
    /// Routes, indexed by host and path prefix.
    pub routes: RouteTable,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Tenants and their keys; if empty, no request needs a key.
    pub tenants: Tenants,
}

/// Retry and delivery semantics of a route's requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RouteKind {
    /// May be executed more than once.
    Safe,
    /// Executed at most once for each attempt of a caller.
    Unsafe,
    /// Answered with a stream of events.
    Streaming,
    /// Accepts batch jobs.
    Batch,
}

/// A service with its weight in a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Service name.
    pub service: String,
    /// Share of the route's traffic, relative to the other targets.
    pub weight: u32,
}

/// Rule for requests to one host whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Route name.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix that starts and ends with a slash.
    pub prefix: String,
    /// Retry and delivery semantics.
    pub kind: RouteKind,
    /// Maximum time for which a request is held.
    pub timeout: Duration,
    /// Latency objective.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services that receive the requests, with their weights.
    pub targets: Vec<Target>,
    /// Maximum number of engines tried for one attempt of a caller.
    pub max_attempts: u32,
    /// Whether a stream may be resumed at another engine.
    pub resumable: bool,
    /// Batch jobs: maximum queueing time, after which an item may be abandoned.
    pub max_queue: Duration,
    /// Batch jobs: time within which each result is due.
    pub result_deadline: Duration,
    /// Batch jobs: whether a single weight version must produce an entire result.
    pub single_version: bool,
    /// Whether its requests are served without an API key.
    pub public: bool,
}

/// A group of engines that serve the same requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Service name.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections to one engine, over all callers.
    pub max_connections: u32,
    /// Number of requests that a model engine runs concurrently; 0 for other services.
    pub slots: u32,
    /// Capacity of a model engine's memory in tokens.
    pub memory_tokens: u64,
    /// Models served by the engines.
    pub models: Vec<String>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request's head must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 32 * 1024,
            max_body_bytes: 32 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

impl Configuration {
    /// Finds the route of a request: of the host's routes, the one with the longest
    /// matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.find(host, path)
    }

    /// Authenticates a request on a route. Returns `None` if the route requires no key.
    pub fn authenticate_for_route(
        &self,
        route: &Route,
        key: Option<KeyDigest>,
    ) -> Result<Option<&str>, AuthError> {
        if route.public || self.tenants.is_empty() {
            return Ok(None);
        }
        let tenant = self.tenants.authenticate(key)?;
        Ok(Some(&tenant.name))
    }

    /// Authenticates a call that refers to a batch job. A call without a key is accepted if
    /// any batch route is public; the replica that stores the job then checks its tenant.
    pub fn authenticate_job_call(&self, key: Option<KeyDigest>) -> Result<Option<&str>, AuthError> {
        let mut routes = self.routes.iter();
        let is_anonymous = self.tenants.is_empty()
            || key.is_none() && routes.any(|route| route.public && route.kind == RouteKind::Batch);
        if is_anonymous {
            return Ok(None);
        }
        let tenant = self.tenants.authenticate(key)?;
        Ok(Some(&tenant.name))
    }
}
