//! Closing a connection whose peer is still sending.
//!
//! A socket that is closed with unread bytes resets its connection, and the reset may
//! overtake the answer: of callers who were refused in the middle of a long body some saw
//! a broken connection in place of the refusal (one run in three of the test).

use std::os::fd::RawFd;
use std::time::Duration;

use crate::boot_clock::BootInstant;

/// How long the rest of what a peer sends is thrown away: it has the answer after a round
/// trip and stops then.
const LINGER: Duration = Duration::from_millis(500);
/// Pause between two looks for more bytes.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Bytes thrown away by one look: 3 MB a second at most.
const LOOK_BYTES: usize = 16 * 1024;

/// Throws away what still arrives at a socket, until the peer closes or its time is over.
/// The socket must stay open meanwhile.
pub(crate) async fn discard_rest(socket: RawFd) {
    let began = BootInstant::now();
    while began.elapsed() < LINGER {
        match discard_some(socket) {
            // A peer that sends without a pause must not hold the thread.
            Discarded::Some | Discarded::Nothing => monoio::time::sleep(LOOK_EVERY).await,
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
    let mut bytes = [0_u8; LOOK_BYTES];
    // SAFETY: the pointer and the length are those of a live buffer; a socket that is not
    // open gives an error.
    let count = unsafe {
        let start = bytes.as_mut_ptr().cast::<libc::c_void>();
        libc::recv(socket, start, bytes.len(), libc::MSG_DONTWAIT)
    };
    let is_empty = std::io::Error::last_os_error().kind() == std::io::ErrorKind::WouldBlock;
    match count {
        0 => Discarded::Closed,
        1.. => Discarded::Some,
        _ if is_empty => Discarded::Nothing,
        _ => Discarded::Closed,
    }
}
