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
    by_host: HashMap<String, HostRoutes>,
}

/// Routes of one host.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// Position of the last route of each prefix.
    by_prefix: HashMap<String, usize>,
    /// Lengths that prefixes have, longest first: a path may be of any length, so only
    /// these are looked up.
    lengths: Vec<usize>,
}

impl HostRoutes {
    fn add(&mut self, prefix: &str, position: usize) {
        self.by_prefix.insert(prefix.to_string(), position);
        let shorter = |length: &usize| *length <= prefix.len();
        let place = self.lengths.iter().position(shorter);
        let place = place.unwrap_or(self.lengths.len());
        if self.lengths.get(place) != Some(&prefix.len()) {
            self.lengths.insert(place, prefix.len());
        }
    }

    fn find(&self, path: &str) -> Option<usize> {
        let beginnings = self.lengths.iter().filter_map(|length| path.get(..*length));
        let mut positions = beginnings.filter_map(|prefix| self.by_prefix.get(prefix));
        positions.next().copied()
    }
}

impl RouteTable {
    /// Of the routes of a host, the one with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let path = path.split('?').next().unwrap_or(path);
        let routes = self.by_host.get(in_small_letters(host).as_ref())?;
        self.routes.get(routes.find(path)?)
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
        let mut by_host: HashMap<String, HostRoutes> = HashMap::new();
        for (position, route) in routes.iter().enumerate() {
            let host = in_small_letters(&route.host).into_owned();
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

/// The index follows from the routes.
impl PartialEq for RouteTable {
    fn eq(&self, other: &Self) -> bool {
        self.routes == other.routes
    }
}
