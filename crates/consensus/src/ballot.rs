//! Ballot numbers.

use peatgrade_schema::peer::Ballot;
use peatgrade_types::{Identity, NodeId};

/// Orders proposals for a key. The roster number comes first, so that every
/// ballot of a later roster is above every ballot of an earlier one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct BallotNumber {
    /// Roster under which the proposal is made.
    pub roster: u64,
    /// Raised by a proposer above what it has seen.
    pub counter: u64,
    /// Makes the ballot unique among proposers and their lives.
    pub proposer: Identity,
}

impl BallotNumber {
    /// Whether any proposal carried this ballot; the default means "none".
    pub fn is_some(&self) -> bool {
        self.counter > 0
    }
}

impl From<BallotNumber> for Ballot {
    fn from(number: BallotNumber) -> Self {
        Ballot {
            roster: number.roster,
            counter: number.counter,
            proposer: number.proposer.node.0,
            generation: number.proposer.generation,
        }
    }
}

impl From<&Option<Ballot>> for BallotNumber {
    fn from(ballot: &Option<Ballot>) -> Self {
        match ballot {
            None => Self::default(),
            Some(ballot) => Self {
                roster: ballot.roster,
                counter: ballot.counter,
                proposer: Identity {
                    node: NodeId(ballot.proposer),
                    generation: ballot.generation,
                },
            },
        }
    }
}
