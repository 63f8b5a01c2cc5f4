//! State of one member.

use peatgrade_schema::peer::{MemberState, MemberUpdate};
use peatgrade_types::{Identity, NodeId, Time};

/// State of a member as seen by the local node.
#[derive(Clone, Copy, PartialEq, Eq, Debug, PartialOrd, Ord)]
pub enum State {
    /// Answers probes, or is reported alive by other members.
    Alive,
    /// Accepts no new work and is about to stop.
    Leaving,
    /// Did not answer a probe; declared dead unless it refutes in time.
    Suspect,
    /// Declared dead after the suspicion timeout.
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
    /// Node and its generation.
    pub identity: Identity,
    /// SWIM incarnation number: incremented by the member itself to refute a
    /// suspicion or to announce that it leaves.
    pub refutation: u32,
    /// State of the member.
    pub state: State,
    /// Local time at which `state` was entered.
    pub since: Time,
    /// Configured name.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// IP and port of its peer socket.
    pub peer_address: String,
    /// Whether the node has a data folder.
    pub has_storage: bool,
}

impl Member {
    /// Whether the member may be given work.
    pub fn usable(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    /// Whether the member is not known to be dead.
    pub fn reachable(&self) -> bool {
        self.state != State::Dead
    }

    /// Whether `update` is newer than the known state of this member.
    pub(crate) fn superseded_by(&self, update: &MemberUpdate) -> bool {
        let known = (self.identity.generation, self.refutation, self.state);
        let updated = (
            update.generation,
            update.refutation,
            State::from(update.state),
        );
        updated > known
    }

    /// The update that disseminates the state of this member. Updates about a
    /// failure omit name, zone and address, which the receivers already know.
    pub(crate) fn to_update(&self) -> MemberUpdate {
        let with_description = matches!(self.state, State::Alive | State::Leaving);
        let text_field = |value: &String| {
            if with_description {
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
            name: text_field(&self.name),
            zone: text_field(&self.zone),
            peer_address: text_field(&self.peer_address),
            bulk: with_description && self.has_storage,
        }
    }
}

/// Change of the state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Member whose state changed.
    pub node: NodeId,
    /// New state.
    pub state: State,
}
