//! Batching of the committed entries returned to apply.

use peatgrade_replication::{LogStore, Replica, ReplicaId, ReplicaSettings, Role, Timing};
use peatgrade_schema::replication::{HardState, Member};
use peatgrade_types::{Duration, Time};

/// The leader of a single-member group, which commits an entry as soon as it is persisted.
fn leader() -> Replica {
    let now = Time(1_000_000);
    let settings = ReplicaSettings {
        id: ReplicaId(1),
        address: "a".into(),
        seed: 1,
        timing: Timing::default(),
    };
    let state = HardState {
        term: 0,
        vote: 0,
        replica: 1,
    };
    let mut replica = Replica::new(now, settings, &state, LogStore::default());
    replica.bootstrap(vec![Member {
        replica: 1,
        name: "one".into(),
        address: "a".into(),
        zone: "z".into(),
        voter: true,
    }]);
    replica.ready();
    replica.on_persisted();
    replica.tick(now + Duration::from_secs(1));
    replica.ready();
    replica.on_persisted();
    replica.ready();
    assert_eq!(replica.role(), Role::Leader);
    replica
}

/// Guards against applying a long log in one batch, which would delay heartbeats, and against
/// entries that are skipped between batches.
#[test]
fn committed_entries_are_returned_in_bounded_batches() {
    const ENTRIES: usize = 3_000;
    const LONG_COMMAND_BYTES: usize = 100_000;
    const MAX_BATCH_ENTRIES: usize = 512;
    const MAX_BATCH_BYTES: usize = 512 * 1024;
    let mut replica = leader();
    let now = Time(3_000_000);
    for number in 0..ENTRIES {
        let length = if number % 300 == 0 {
            LONG_COMMAND_BYTES
        } else {
            8
        };
        let mut command = vec![0; length];
        command[..8].copy_from_slice(&(number as u64).to_be_bytes());
        replica.propose(now, command).expect("replica is leader");
    }
    replica.ready();
    replica.on_persisted();
    let mut returned = Vec::new();
    while replica.has_ready() {
        let batch = replica.ready().committed;
        let bytes: usize = batch.iter().map(|entry| entry.command.len()).sum();
        assert!(batch.len() <= MAX_BATCH_ENTRIES, "{} entries", batch.len());
        assert!(bytes <= MAX_BATCH_BYTES, "{bytes} bytes");
        returned.extend(batch.iter().map(|entry| entry.index));
        assert_eq!(replica.applied_index(), *returned.last().unwrap());
    }
    assert_eq!(returned.len(), ENTRIES);
    assert!(returned.windows(2).all(|pair| pair[1] == pair[0] + 1));
    assert_eq!(replica.applied_index(), replica.commit_index());
}
