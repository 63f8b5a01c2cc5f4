//! Message transport between processes.

use futures_channel::mpsc::unbounded;
use peatgrade_runtime::link_socket::set_user_timeout;
use peatgrade_runtime::{block_on, Delivery, LinkSocket};
use socket2::SockRef;
use std::net::TcpListener;
use std::time::Duration;

/// Guards against unbounded memory use while a peer does not read.
#[test]
fn queue_to_a_stalled_peer_is_bounded() {
    let stalled = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = stalled.local_addr().unwrap().to_string();
    let (queued, dropped) = block_on(async move {
        let (received, _messages) = unbounded();
        let mut link = LinkSocket::open("127.0.0.1:0", received).unwrap();
        let message = random_bytes(100_000);
        for _ in 0..400 {
            link.send(&peer, message.clone(), Delivery::Stream);
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        (link.queued_bytes(), link.dropped())
    })
    .unwrap();
    assert!(queued <= 2 * 1024 * 1024, "{queued} bytes are queued");
    assert!(dropped > 100, "{dropped} messages were dropped");
    drop(stalled);
}

#[test]
fn message_over_the_queue_limit_is_sent_when_queue_is_empty() {
    let (sent, received) = block_on(async move {
        let (received, _) = unbounded();
        let mut sender = LinkSocket::open("127.0.0.1:0", received).unwrap();
        let (received, mut messages) = unbounded();
        let peer = loopback_address();
        let _receiver = LinkSocket::open(&peer, received).unwrap();
        let large = vec![7; 5 * 1024 * 1024];
        sender.send(&peer, large.clone(), Delivery::Stream);
        let message = futures_util::StreamExt::next(&mut messages).await;
        (large.len(), message.unwrap().len())
    })
    .unwrap();
    assert_eq!(sent, received);
}

/// Guards against sending on half-open connections. The test cannot drop packets, so it only
/// checks the socket option.
#[test]
fn connections_have_a_tcp_user_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let user_timeout = || SockRef::from(&stream).tcp_user_timeout().unwrap();
    assert_eq!(user_timeout(), None);
    set_user_timeout(&stream).unwrap();
    assert_eq!(user_timeout(), Some(Duration::from_secs(1)));
}

#[test]
fn reconnect_opens_a_new_connection() {
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

/// Returns pseudo-random bytes, which compression does not shorten.
fn random_bytes(count: usize) -> Vec<u8> {
    let mut state = 1_u64;
    let bytes = std::iter::repeat_with(|| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 33) as u8
    });
    bytes.take(count).collect()
}

/// A loopback address that outgoing connections, bound to 127.0.0.1, do not use.
fn loopback_address() -> String {
    let pid = std::process::id();
    format!("127.9.{}.{}:7001", (pid >> 8) % 256, pid % 256)
}
