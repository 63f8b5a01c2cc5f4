//! Lingering close of a connection whose peer is still sending.
//!
//! Closing a socket with unread bytes resets the connection, and the reset may reach the
//! peer before the response. A caller whose body is rejected midway would then see a
//! connection error instead of the error response.

use std::os::fd::RawFd;
use std::time::Duration;

use crate::boot_clock::BootInstant;

/// Longest time that incoming bytes are discarded before the connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Most bytes discarded per poll.
const READ_BYTES: usize = 16 * 1024;

/// Discards incoming bytes until the peer closes the connection or [`LINGER_TIMEOUT`] has
/// passed, or until `is_interrupted`. The caller must keep the socket open meanwhile.
pub(crate) async fn discard_incoming(socket: RawFd, is_interrupted: impl Fn() -> bool) {
    let started = BootInstant::now();
    while started.elapsed() < LINGER_TIMEOUT && !is_interrupted() {
        match discard_some(socket) {
            // Yields after each read, so that a fast sender cannot block the thread.
            Discarded::Some | Discarded::Nothing => monoio::time::sleep(POLL_INTERVAL).await,
            Discarded::Closed => return,
        }
    }
}

enum Discarded {
    Some,
    Nothing,
    Closed,
}

fn discard_some(socket: RawFd) -> Discarded {
    let mut bytes = [0_u8; READ_BYTES];
    // SAFETY: pointer and length describe a live, writable buffer; an invalid descriptor
    // only makes the call fail.
    let count = unsafe {
        let start = bytes.as_mut_ptr().cast::<libc::c_void>();
        libc::recv(socket, start, bytes.len(), libc::MSG_DONTWAIT)
    };
    let would_block = std::io::Error::last_os_error().kind() == std::io::ErrorKind::WouldBlock;
    match count {
        0 => Discarded::Closed,
        1.. => Discarded::Some,
        _ if would_block => Discarded::Nothing,
        _ => Discarded::Closed,
    }
}
