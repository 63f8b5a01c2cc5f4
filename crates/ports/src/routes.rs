//! Index of a configuration's routes by host and path prefix.
//!
//! The leader looks up the route of every waiting item in each scheduling pass, and a
//! configuration may hold thousands of routes, so a lookup must not scan all of them.

use std::borrow::Cow;
use std::collections::HashMap;

use crate::configuration::Route;

/// An immutable set of routes with its lookup index.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    by_host: HashMap<String, HostRoutes>,
}

/// Index of one host's routes.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// Position of the route of each prefix; the last one declared wins.
    by_prefix: HashMap<String, usize>,
    /// Distinct prefix lengths, longest first. Bounds the number of lookups for a path,
    /// which may be of any length.
    prefix_lengths: Vec<usize>,
}

impl HostRoutes {
    fn add(&mut self, prefix: &str, position: usize) {
        self.by_prefix.insert(prefix.to_string(), position);
        let not_longer = |length: &usize| *length <= prefix.len();
        let insert_at = self.prefix_lengths.iter().position(not_longer);
        let insert_at = insert_at.unwrap_or(self.prefix_lengths.len());
        if self.prefix_lengths.get(insert_at) != Some(&prefix.len()) {
            self.prefix_lengths.insert(insert_at, prefix.len());
        }
    }

    fn find(&self, path: &str) -> Option<usize> {
        let candidates = self
            .prefix_lengths
            .iter()
            .filter_map(|length| path.get(..*length));
        let mut positions = candidates.filter_map(|prefix| self.by_prefix.get(prefix));
        positions.next().copied()
    }
}

impl RouteTable {
    /// Finds the route of a host with the longest prefix of the path. Ignores the port of
    /// `host` and the query of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let path = path.split('?').next().unwrap_or(path);
        let routes = self.by_host.get(to_lowercase_host(host).as_ref())?;
        self.routes.get(routes.find(path)?)
    }

    pub fn iter(&self) -> std::slice::Iter<'_, Route> {
        self.routes.iter()
    }

    pub fn len(&self) -> usize {
        self.routes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn to_lowercase_host(host: &str) -> Cow<'_, str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Cow::Owned(host.to_ascii_lowercase());
    }
    Cow::Borrowed(host)
}

impl From<Vec<Route>> for RouteTable {
    fn from(routes: Vec<Route>) -> Self {
        let mut by_host: HashMap<String, HostRoutes> = HashMap::new();
        for (position, route) in routes.iter().enumerate() {
            let host = to_lowercase_host(&route.host).into_owned();
            by_host
                .entry(host)
                .or_default()
                .add(&route.prefix, position);
        }
        Self { routes, by_host }
    }
}

impl FromIterator<Route> for RouteTable {
    fn from_iter<I: IntoIterator<Item = Route>>(routes: I) -> Self {
        Self::from(routes.into_iter().collect::<Vec<Route>>())
    }
}

/// Compares the routes only; the index is derived from them.
impl PartialEq for RouteTable {
    fn eq(&self, other: &Self) -> bool {
        self.routes == other.routes
    }
}
