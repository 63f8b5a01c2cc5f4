//! Signals, and the end of a storage process that was asked to stop.

use peatgrade_replication::Role;

use super::process::StorageProcess;
use crate::clock::steady_now;
use crate::settings::ServerRole;
use crate::signals::ProcessSignal;

/// Part of the shutdown grace period reserved for process exit.
const GRACE_MARGIN_MS: u64 = 600;

impl StorageProcess {
    pub(super) fn on_signal(&mut self, signal: ProcessSignal) {
        match signal {
            ProcessSignal::Stop if self.stop_requested_at.is_none() => {
                let now = steady_now();
                self.stop_requested_at = Some(now);
                let handed_over = self.replica.transfer_leadership(now, None);
                log::info!("step=stop handover={handed_over}");
            }
            ProcessSignal::Reload => {
                self.settings.reload(ServerRole::Storage);
                self.store.set_address(&self.settings.store_address);
            }
            ProcessSignal::Stop => {}
        }
    }

    /// Whether the process has handed over what it leads, or has no time left for it.
    pub(super) fn may_exit(&self) -> bool {
        let Some(since) = self.stop_requested_at else {
            return false;
        };
        let age = steady_now().since(since).as_millis();
        let limit = self.settings.grace_ms.saturating_sub(GRACE_MARGIN_MS);
        let handed_over = self.replica.role() != Role::Leader && age >= 100;
        handed_over || age >= limit.min(2_000)
    }
}
