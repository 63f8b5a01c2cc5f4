//! Forwards Unix signals to a channel.

use futures_channel::mpsc::{unbounded, UnboundedReceiver};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Request made by a signal.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ProcessSignal {
    /// Stop gracefully (SIGTERM, SIGINT).
    Stop,
    /// Reload the settings (SIGHUP).
    Reload,
}

/// Installs handlers for SIGTERM, SIGINT and SIGHUP, and returns a channel that receives a
/// message for each signal.
pub fn process_signals() -> std::io::Result<UnboundedReceiver<ProcessSignal>> {
    let (sender, receiver) = unbounded();
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let forward = move || {
        for signal in signals.forever() {
            let process_signal = match signal {
                SIGHUP => ProcessSignal::Reload,
                _ => ProcessSignal::Stop,
            };
            if sender.unbounded_send(process_signal).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("signals".into())
        .stack_size(64 * 1024)
        .spawn(forward)?;
    Ok(receiver)
}
