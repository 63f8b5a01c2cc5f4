//! What a storage process hears.

use futures_channel::mpsc::UnboundedReceiver;
use peatgrade_types::http::ResponsePart;

use crate::signals::ProcessSignal;
use crate::watcher::StoreUpdate;

use super::engines::ExchangeId;
use super::registration::Founding;

/// Something that arrived.
pub(super) enum Input {
    Signal(ProcessSignal),
    Message(Vec<u8>),
    Part(ExchangeId, ResponsePart),
    Update(StoreUpdate),
    Founding(Founding),
}

/// Where they come from.
pub(super) struct Inputs {
    pub signals: UnboundedReceiver<ProcessSignal>,
    pub messages: UnboundedReceiver<Vec<u8>>,
    pub parts: UnboundedReceiver<(ExchangeId, ResponsePart)>,
    pub updates: UnboundedReceiver<StoreUpdate>,
    pub foundings: UnboundedReceiver<Founding>,
}

impl Inputs {
    /// An input that waits already.
    pub fn take_waiting(&mut self) -> Option<Input> {
        if let Ok(message) = self.messages.try_recv() {
            return Some(Input::Message(message));
        }
        if let Ok((id, part)) = self.parts.try_recv() {
            return Some(Input::Part(id, part));
        }
        self.updates.try_recv().ok().map(Input::Update)
    }
}
