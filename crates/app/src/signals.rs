//! SIGTERM and SIGINT as messages.

use futures_channel::mpsc::{unbounded, UnboundedReceiver};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// A channel that gets a message at each SIGTERM or SIGINT.
pub fn stop_signals() -> std::io::Result<UnboundedReceiver<()>> {
    let (sender, receiver) = unbounded();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let forward = move || {
        for signal in signals.forever() {
            log::info!("step=signal number={signal}");
            if sender.unbounded_send(()).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(forward)?;
    Ok(receiver)
}
