//! Guards against large messages of many peers that a process holds before it processes them.

use futures_channel::mpsc::unbounded;
use peatgrade_runtime::{block_on, Delivery, LinkSocket};
use std::net::TcpListener;
use std::time::Duration;

const LIMIT: usize = 4 * 1024 * 1024;
const LARGE: usize = 3 * 1024 * 1024;
const SENDERS: usize = 6;

fn loopback_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Bytes that are not made shorter by compression.
fn random_bytes(count: usize) -> Vec<u8> {
    let mut draw = 88_172_645_463_325_252_u64;
    let bytes = (0..count).map(|_| {
        draw ^= draw << 13;
        draw ^= draw >> 7;
        draw ^= draw << 17;
        (draw >> 20) as u8
    });
    bytes.collect()
}

#[test]
fn large_messages_wait_until_others_are_processed() {
    block_on(async {
        let peer = loopback_address();
        let (received, mut messages) = unbounded();
        let receiver = LinkSocket::open(&peer, received).unwrap();
        receiver.limit_received(LIMIT);
        let large = random_bytes(LARGE);
        let mut senders = Vec::new();
        for _ in 0..SENDERS {
            let (received, _) = unbounded();
            let mut sender = LinkSocket::open("127.0.0.1:0", received).unwrap();
            sender.send(&peer, large.clone(), Delivery::Stream);
            senders.push(sender);
        }
        let mut most = 0;
        for _ in 0..50 {
            monoio::time::sleep(Duration::from_millis(10)).await;
            most = most.max(receiver.received_bytes());
        }
        assert!(most >= LARGE, "{most} bytes were held");
        assert!(most <= LIMIT, "{most} bytes were held");
        // A small message does not wait behind those of others.
        let (received, _) = unbounded();
        let mut small = LinkSocket::open("127.0.0.1:0", received).unwrap();
        small.send(&peer, vec![7; 2_000], Delivery::Stream);
        let mut lengths = Vec::new();
        for _ in 0..200 {
            while let Ok(message) = messages.try_recv() {
                lengths.push(message.len());
            }
            most = most.max(receiver.received_bytes());
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(most <= LIMIT, "{most} bytes were held");
        assert!(lengths.contains(&2_000), "{lengths:?}");
        let large = lengths.iter().filter(|length| **length == LARGE).count();
        assert!(large >= 2, "{lengths:?}");
        assert_eq!(receiver.received_bytes(), 0);
    })
    .unwrap();
}

/// A message above the limit is received while no other one is held.
#[test]
fn a_message_above_the_limit_is_received_alone() {
    block_on(async {
        let peer = loopback_address();
        let (received, mut messages) = unbounded();
        let receiver = LinkSocket::open(&peer, received).unwrap();
        receiver.limit_received(LARGE / 2);
        let (received, _) = unbounded();
        let mut sender = LinkSocket::open("127.0.0.1:0", received).unwrap();
        sender.send(&peer, random_bytes(LARGE), Delivery::Stream);
        let message = futures_util::StreamExt::next(&mut messages).await;
        assert_eq!(message.unwrap().len(), LARGE);
    })
    .unwrap();
}
