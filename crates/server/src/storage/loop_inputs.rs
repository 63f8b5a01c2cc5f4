//! Inputs of the storage process's main loop.

use futures_channel::mpsc::UnboundedReceiver;
use peatgrade_ports::StoreUpdate;
use peatgrade_runtime::ReceivedMessage;
use peatgrade_types::http::ResponsePart;

use crate::signals::ProcessSignal;

use super::bootstrap::BootstrapStep;
use super::engine_exchanges::ExchangeId;
use super::work_times::WorkKind;

/// An input of the main loop.
pub(super) enum Input {
    Signal(ProcessSignal),
    Message(ReceivedMessage),
    Part(ExchangeId, ResponsePart),
    Update(StoreUpdate),
    Bootstrap(BootstrapStep),
}

impl Input {
    /// The kind of work that its handling is accounted to.
    pub fn kind(&self) -> WorkKind {
        match self {
            Self::Part(..) => WorkKind::EngineAnswers,
            Self::Message(_) => WorkKind::Messages,
            Self::Update(_) => WorkKind::StoreNews,
            Self::Signal(_) | Self::Bootstrap(_) => WorkKind::Housekeeping,
        }
    }
}

/// The channels that inputs arrive on.
pub(super) struct Inputs {
    pub signals: UnboundedReceiver<ProcessSignal>,
    pub messages: UnboundedReceiver<ReceivedMessage>,
    pub parts: UnboundedReceiver<(ExchangeId, ResponsePart)>,
    pub updates: UnboundedReceiver<StoreUpdate>,
    pub bootstrap_steps: UnboundedReceiver<BootstrapStep>,
    /// Whether parts are polled before messages next; alternates so that neither starves.
    pub polls_parts_first: bool,
}

impl Inputs {
    /// Returns the next queued input without waiting.
    pub fn try_next(&mut self) -> Option<Input> {
        self.polls_parts_first = !self.polls_parts_first;
        let first = if self.polls_parts_first {
            self.take_part().or_else(|| self.take_message())
        } else {
            self.take_message().or_else(|| self.take_part())
        };
        first.or_else(|| self.updates.try_recv().ok().map(Input::Update))
    }

    fn take_message(&mut self) -> Option<Input> {
        self.messages.try_recv().ok().map(Input::Message)
    }

    fn take_part(&mut self) -> Option<Input> {
        let part = self.parts.try_recv().ok();
        part.map(|(id, part)| Input::Part(id, part))
    }
}
