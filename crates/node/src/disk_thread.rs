//! The thread that owns the data folder, so that fsync blocks nothing else.

use futures_channel::mpsc::UnboundedSender;
use peatgrade_node_core::DiskId;
use peatgrade_storage::{BlobStore, DiskReply, DiskRequest, DiskStore};
use std::sync::mpsc::{channel, Sender};

/// Hands requests to the disk thread.
pub(crate) struct DiskThread {
    requests: Sender<(DiskId, DiskRequest)>,
}

impl DiskThread {
    /// Starts the thread; it ends when this value is dropped.
    pub fn start(
        mut store: DiskStore,
        replies: UnboundedSender<(DiskId, DiskReply)>,
    ) -> std::io::Result<Self> {
        let (requests, received) = channel::<(DiskId, DiskRequest)>();
        let serve = move || {
            for (id, request) in received {
                if replies.unbounded_send((id, store.serve(request))).is_err() {
                    return;
                }
            }
        };
        std::thread::Builder::new()
            .name("disk".into())
            .spawn(serve)?;
        Ok(Self { requests })
    }

    /// Hands a request over; its reply comes by the channel.
    pub fn request(&self, id: DiskId, request: DiskRequest) {
        if self.requests.send((id, request)).is_err() {
            log::error!("step=disk-request reason=thread-gone");
        }
    }
}
