//! What operators have declared.

use peatgrade_authentication::{AuthError, KeyDigest, Tenants};
use peatgrade_types::Duration;
use std::collections::BTreeMap;

use crate::routes::RouteTable;

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Rises with every change.
    pub version: u64,
    /// Routes, found by host and path.
    pub routes: RouteTable,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Bounds on what a caller may send.
    pub limits: Limits,
    /// Who may ask; nobody needs a key if there are none.
    pub tenants: Tenants,
}

/// What a route's requests allow.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once for an attempt of a caller.
    Unsafe,
    /// Answered with a series of events.
    Streaming,
    /// Takes batch jobs.
    Batch,
}

/// A service and its share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to the others.
    pub weight: u32,
}

/// Requests of one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host, in small letters.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// What its requests allow.
    pub kind: RouteKind,
    /// Longest time that a request may be held.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank, 0 first.
    pub priority: u32,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// Engines that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether a stream may be taken up at another engine.
    pub resumable: bool,
    /// Batch jobs: time after which an item may be given up.
    pub max_queue: Duration,
    /// Batch jobs: time within which each result is due.
    pub result_deadline: Duration,
    /// Batch jobs: whether one version must make the whole of a result.
    pub single_version: bool,
    /// Whether its requests need no key.
    pub public: bool,
}

/// A service that engines belong to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one engine takes from all callers together.
    pub max_connections: u32,
    /// Requests that a model engine runs at once; 0 for other services.
    pub slots: u32,
    /// Tokens that a model engine's memory holds.
    pub memory_tokens: u64,
    /// Models that its engines serve.
    pub models: Vec<String>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time to send a head.
    pub header_timeout: Duration,
    /// Time that a connection may rest.
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
    /// The route of a request: of its host, the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.find(host, path)
    }

    /// The tenant that asks on a route; none where no key is needed.
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

    /// The tenant that asks about a batch job. Without a key it may be one of a public
    /// route, if there is such a route: whoever keeps the job knows.
    pub fn authenticate_job_call(&self, key: Option<KeyDigest>) -> Result<Option<&str>, AuthError> {
        let mut routes = self.routes.iter();
        let is_keyless = self.tenants.is_empty()
            || key.is_none() && routes.any(|route| route.public && route.kind == RouteKind::Batch);
        if is_keyless {
            return Ok(None);
        }
        let tenant = self.tenants.authenticate(key)?;
        Ok(Some(&tenant.name))
    }
}
