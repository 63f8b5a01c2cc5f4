//! Links between processes.

use futures_channel::mpsc::unbounded;
use peatgrade_runtime::link_socket::set_user_timeout;
use peatgrade_runtime::{block_on, Delivery, LinkSocket};
use socket2::SockRef;
use std::net::TcpListener;
use std::time::Duration;

/// A peer that reads nothing must cost a bounded amount of memory: a stalled
/// disk holds a replica up for seconds.
#[test]
fn what_waits_for_a_peer_that_reads_nothing_is_bounded() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = silent.local_addr().unwrap().to_string();
    let (waiting, dropped) = block_on(async move {
        let (received, _arrived) = unbounded();
        let mut link = LinkSocket::open("127.0.0.1:0", received).unwrap();
        let message = noise(100_000);
        for _ in 0..400 {
            link.send(&peer, message.clone(), Delivery::Stream);
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        (link.queued_bytes(), link.dropped())
    })
    .unwrap();
    assert!(waiting <= 2 * 1024 * 1024, "{waiting} bytes wait");
    assert!(dropped > 100, "{dropped} messages were dropped");
    drop(silent);
}

#[test]
fn a_message_larger_than_the_bound_goes_when_nothing_waits() {
    let (from, to) = block_on(async move {
        let (received, _) = unbounded();
        let mut sender = LinkSocket::open("127.0.0.1:0", received).unwrap();
        let (received, mut arrived) = unbounded();
        let peer = loopback_address();
        let _receiver = LinkSocket::open(&peer, received).unwrap();
        let large = vec![7; 5 * 1024 * 1024];
        sender.send(&peer, large.clone(), Delivery::Stream);
        let got = futures_util::StreamExt::next(&mut arrived).await;
        (large.len(), got.unwrap().len())
    })
    .unwrap();
    assert_eq!(from, to);
}

/// A connection that went silent without a reset ends, and the next message goes by a
/// new one. The path cannot be made silent here, so the bound itself is looked at.
#[test]
fn a_connection_has_a_bound_on_bytes_that_nobody_acknowledges() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let bound = || SockRef::from(&stream).tcp_user_timeout().unwrap();
    assert_eq!(bound(), None);
    set_user_timeout(&stream).unwrap();
    assert_eq!(bound(), Some(Duration::from_secs(1)));
}

/// Who is told that what it sent did not arrive goes on by another connection.
#[test]
fn a_renewed_connection_is_another_one() {
    let peer = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = peer.local_addr().unwrap().to_string();
    block_on(async move {
        let (received, _) = unbounded();
        let mut link = LinkSocket::open("127.0.0.1:0", received).unwrap();
        for _ in 0..3 {
            link.send(&address, vec![1; 5_000], Delivery::Stream);
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        link.reconnect(&address);
        link.send(&address, vec![1; 5_000], Delivery::Stream);
        monoio::time::sleep(Duration::from_millis(100)).await;
    })
    .unwrap();
    peer.set_nonblocking(true).unwrap();
    let connections = std::iter::from_fn(|| peer.accept().ok());
    assert_eq!(connections.count(), 2);
}

/// Bytes that compression does not make fewer: what waits is what was given.
fn noise(count: usize) -> Vec<u8> {
    let mut state = 1_u64;
    let bytes = std::iter::repeat_with(|| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 33) as u8
    });
    bytes.take(count).collect()
}

/// An address that no outgoing connection uses: those start at 127.0.0.1.
fn loopback_address() -> String {
    let pid = std::process::id();
    format!("127.9.{}.{}:7001", (pid >> 8) % 256, pid % 256)
}
