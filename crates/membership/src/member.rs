//! What is known of one member.

use peatgrade_schema::peer::{MemberState, MemberUpdate};
use peatgrade_types::{Identity, NodeId, Time};

/// Health of a member as seen here.
#[derive(Clone, Copy, PartialEq, Eq, Debug, PartialOrd, Ord)]
pub enum State {
    /// Answers probes, or was said to.
    Alive,
    /// Takes no new work and will stop.
    Leaving,
    /// Missed a probe; dead unless it refutes in time.
    Suspect,
    /// Given up on.
    Dead,
}

impl From<MemberState> for State {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::ALIVE => State::Alive,
            MemberState::LEAVING => State::Leaving,
            MemberState::SUSPECT => State::Suspect,
            MemberState::DEAD => State::Dead,
        }
    }
}

impl From<State> for MemberState {
    fn from(state: State) -> Self {
        match state {
            State::Alive => MemberState::ALIVE,
            State::Leaving => MemberState::LEAVING,
            State::Suspect => MemberState::SUSPECT,
            State::Dead => MemberState::DEAD,
        }
    }
}

/// One member of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Node and its life.
    pub identity: Identity,
    /// Raised by the member to refute a suspicion of itself.
    pub refutation: u32,
    /// Health.
    pub state: State,
    /// When `state` was entered, by the local clock.
    pub since: Time,
    /// Configured name.
    pub name: String,
    /// Zone it runs in.
    pub zone: String,
    /// IP and port of its peer socket.
    pub peer_address: String,
    /// Whether it has a data folder.
    pub has_storage: bool,
}

impl Member {
    /// Whether work may be given to it.
    pub fn usable(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    /// Whether it still answers, as far as is known.
    pub fn reachable(&self) -> bool {
        self.state != State::Dead
    }

    /// Whether `update` says something newer about this member.
    pub(crate) fn superseded_by(&self, update: &MemberUpdate) -> bool {
        let known = (self.identity.generation, self.refutation, self.state);
        let said = (
            update.generation,
            update.refutation,
            State::from(update.state),
        );
        said > known
    }

    /// The update that tells others what is known here. News of a failure
    /// leaves out what the receivers know already.
    pub(crate) fn to_update(&self) -> MemberUpdate {
        let described = matches!(self.state, State::Alive | State::Leaving);
        let text = |value: &String| {
            if described {
                value.clone()
            } else {
                String::new()
            }
        };
        MemberUpdate {
            node: self.identity.node.0,
            generation: self.identity.generation,
            refutation: self.refutation,
            state: self.state.into(),
            name: text(&self.name),
            zone: text(&self.zone),
            peer_address: text(&self.peer_address),
            bulk: described && self.has_storage,
        }
    }
}

/// A change of the group that others act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member.
    pub node: NodeId,
    /// Its health now.
    pub state: State,
}
