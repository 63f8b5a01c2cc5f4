//! The routes of a configuration, found by host and path.
//!
//! A leader asks for the route of each waiting item at each of its looks, and a
//! configuration may have thousands, so a lookup must not go through all of them.

use std::borrow::Cow;
use std::collections::HashMap;

use crate::configuration::Route;

/// Routes in no order. They cannot change in place, since the index would not follow.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    /// Position of the last route of each prefix, by host.
    by_host: HashMap<String, HashMap<String, usize>>,
}

impl RouteTable {
    /// Of the routes of a host, the one with the longest prefix that begins the path.
    /// Prefixes end with a slash, so only the parts of the path that do can be one.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let path = path.split('?').next().unwrap_or(path);
        let by_prefix = self.by_host.get(in_small_letters(host).as_ref())?;
        let mut ends = path.rmatch_indices('/').map(|(start, _)| start + 1);
        let position = ends.find_map(|end| by_prefix.get(&path[..end]))?;
        self.routes.get(*position)
    }

    /// The routes.
    pub fn iter(&self) -> std::slice::Iter<'_, Route> {
        self.routes.iter()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn in_small_letters(host: &str) -> Cow<'_, str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Cow::Owned(host.to_ascii_lowercase());
    }
    Cow::Borrowed(host)
}

impl From<Vec<Route>> for RouteTable {
    fn from(routes: Vec<Route>) -> Self {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (position, route) in routes.iter().enumerate() {
            let host = in_small_letters(&route.host).into_owned();
            let by_prefix = by_host.entry(host).or_default();
            by_prefix.insert(route.prefix.clone(), position);
        }
        Self { routes, by_host }
    }
}

impl FromIterator<Route> for RouteTable {
    fn from_iter<I: IntoIterator<Item = Route>>(routes: I) -> Self {
        Self::from(routes.into_iter().collect::<Vec<Route>>())
    }
}

/// The index follows from the routes.
impl PartialEq for RouteTable {
    fn eq(&self, other: &Self) -> bool {
        self.routes == other.routes
    }
}
