//! Per-thread event loop and wall clock.

use peatgrade_types::Time;
use std::future::Future;
use std::task::Poll;
use std::time::{SystemTime, UNIX_EPOCH};

/// Runs a future to completion on a new epoll event loop on this thread.
pub fn block_on<F: Future>(future: F) -> std::io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}

/// Lets the other tasks of this thread run before the caller continues.
pub(crate) async fn yield_now() {
    let mut has_yielded = false;
    std::future::poll_fn(|context| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Microseconds since the Unix epoch.
pub fn now() -> Time {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    Time(elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64))
}

/// Number of io_uring instances that this process has open. Expected to be 0, as the event
/// loop uses epoll.
pub fn open_io_uring_instances() -> usize {
    let Ok(entries) = std::fs::read_dir("/proc/self/fd") else {
        return 0;
    };
    let targets = entries.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    let rings = targets.filter(|target| target.to_string_lossy().contains("io_uring"));
    rings.count()
}
