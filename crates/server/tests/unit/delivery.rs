//! Transport of replica messages.

use super::*;
use peatgrade_schema::replication::{AppendRequest, LogEntry, VoteRequest};

#[test]
fn entries_are_sent_over_the_connection() {
    let entry = LogEntry {
        index: 7,
        command: b"small enough for a datagram".to_vec(),
        ..LogEntry::default()
    };
    let entries = OneOfbody::append_request(AppendRequest {
        entries: vec![entry],
        ..AppendRequest::default()
    });
    assert_eq!(delivery_of(&entries), Delivery::Stream);
    let heartbeat = OneOfbody::append_request(AppendRequest::default());
    assert_eq!(delivery_of(&heartbeat), Delivery::Datagram);
    let vote = OneOfbody::vote_request(VoteRequest::default());
    assert_eq!(delivery_of(&vote), Delivery::Datagram);
}
