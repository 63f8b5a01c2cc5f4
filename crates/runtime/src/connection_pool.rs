//! Idle connections to servers.

use futures_util::future::FutureExt;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf};
use monoio::net::TcpStream;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::boot_clock::BootInstant;
use crate::response_reader::ResponseReader;

const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Longest time that an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle connections are dropped this long before the server's `Keep-Alive` timeout, to
/// avoid sending on a connection that the server is closing.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// An open connection to a server.
pub(crate) struct Connection {
    pub reader: ResponseReader<OwnedReadHalf<TcpStream>>,
    pub writer: OwnedWriteHalf<TcpStream>,
    /// Whether it has served another request.
    pub is_shared: bool,
}

struct IdleConnection {
    expires_at: BootInstant,
    connection: Connection,
}

impl IdleConnection {
    /// Whether the connection is unexpired, open and has no unsolicited bytes to read.
    fn is_usable(&mut self) -> bool {
        BootInstant::now() < self.expires_at
            && self.connection.reader.fill().now_or_never().is_none()
    }
}

/// Idle connections of one thread, by server address.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    connections: HashMap<SocketAddr, Vec<IdleConnection>>,
}

impl ConnectionPool {
    pub fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let idle = self.connections.get_mut(&address)?;
        while let Some(mut newest) = idle.pop() {
            if newest.is_usable() {
                return Some(newest.connection);
            }
        }
        None
    }

    pub fn put(&mut self, address: SocketAddr, mut connection: Connection, timeout: Duration) {
        let idle = self.connections.entry(address).or_default();
        idle.retain_mut(IdleConnection::is_usable);
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            connection.reader.release_buffers();
            let expires_at = BootInstant::now() + timeout;
            idle.push(IdleConnection {
                expires_at,
                connection,
            });
        }
    }

    pub fn evict_idle(&mut self) {
        for idle in self.connections.values_mut() {
            idle.retain_mut(IdleConnection::is_usable);
        }
        self.connections.retain(|_, idle| !idle.is_empty());
    }
}

/// How long a connection may stay idle, given the server's `Keep-Alive` header.
pub(crate) fn idle_timeout(header: Option<&str>) -> Duration {
    let announced = header.and_then(|value| {
        let pairs = value.split(',').filter_map(|pair| pair.split_once('='));
        let timeout = pairs.into_iter().find(|(name, _)| name.trim() == "timeout");
        timeout.and_then(|(_, seconds)| seconds.trim().parse::<u64>().ok())
    });
    match announced {
        Some(seconds) => {
            let announced = Duration::from_secs(seconds);
            announced.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT)
        }
        None => IDLE_TIMEOUT,
    }
}
