//! How committed entries are given out to apply.

use peatgrade_replication::{LogStore, Replica, ReplicaId, ReplicaSettings, Role, Timing};
use peatgrade_schema::replication::{HardState, Member};
use peatgrade_types::{Duration, Time};

/// A group of one, so that what it proposes is committed at once.
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

/// Whoever applies a long log must be heard meanwhile, so it comes in parts; none is
/// left out, and no part is larger than the others for long commands.
#[test]
fn a_long_log_is_given_out_in_parts() {
    const ENTRIES: usize = 3_000;
    const LONG_COMMAND: usize = 100_000;
    const MOST_ENTRIES: usize = 512;
    const MOST_BYTES: usize = 512 * 1024;
    let mut replica = leader();
    let now = Time(3_000_000);
    for number in 0..ENTRIES {
        let length = if number % 300 == 0 { LONG_COMMAND } else { 8 };
        let mut command = vec![0; length];
        command[..8].copy_from_slice(&(number as u64).to_be_bytes());
        replica.propose(now, command).expect("it leads");
    }
    replica.ready();
    replica.on_persisted();
    let mut given = Vec::new();
    while replica.has_ready() {
        let part = replica.ready().committed;
        let bytes: usize = part.iter().map(|entry| entry.command.len()).sum();
        assert!(part.len() <= MOST_ENTRIES, "{} entries", part.len());
        assert!(bytes <= MOST_BYTES, "{bytes} bytes");
        given.extend(part.iter().map(|entry| entry.index));
        assert_eq!(replica.applied_index(), *given.last().unwrap());
    }
    assert_eq!(given.len(), ENTRIES);
    assert!(given.windows(2).all(|pair| pair[1] == pair[0] + 1));
    assert_eq!(replica.applied_index(), replica.commit_index());
}
