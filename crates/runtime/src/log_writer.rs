//! Non-blocking log writer.
//!
//! Lines are queued in a bounded queue and written by a background thread, so that a stalled
//! reader of the log cannot block the process. When the queue is full, lines are dropped and
//! counted; the count is logged once lines are written again.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MAX_QUEUED_LINES: usize = 4_096;

/// Counts of queued and dropped lines.
#[derive(Debug, Default)]
pub struct LineCounts {
    queued: AtomicU64,
    dropped: AtomicU64,
}

impl LineCounts {
    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all queued lines are written, for at most `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let start = Instant::now();
        while self.queued.load(Ordering::Acquire) > 0 && start.elapsed() < timeout {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

/// A writer that queues lines and never blocks.
#[derive(Debug)]
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

impl LogWriter {
    /// Starts a thread that writes queued lines to `output`.
    pub fn start(output: Box<dyn Write + Send>) -> std::io::Result<(Self, Arc<LineCounts>)> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let counts = Arc::new(LineCounts::default());
        let shared = counts.clone();
        std::thread::Builder::new()
            .name("log".into())
            .stack_size(128 * 1024)
            .spawn(move || write_lines(&queue, output, &shared))?;
        let writer = Self {
            lines,
            counts: counts.clone(),
        };
        Ok((writer, counts))
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.counts.queued.fetch_add(1, Ordering::AcqRel);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line.to_vec())
        {
            self.counts.queued.fetch_sub(1, Ordering::AcqRel);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, mut output: Box<dyn Write + Send>, counts: &LineCounts) {
    let mut reported = 0;
    while let Ok(line) = queue.recv() {
        let _ = output.write_all(&line);
        let dropped = counts.dropped();
        if dropped > reported {
            let note = format!("{{\"level\":\"WARN\",\"step\":\"log\",\"left_out\":{dropped}}}\n");
            let _ = output.write_all(note.as_bytes());
            reported = dropped;
        }
        counts.queued.fetch_sub(1, Ordering::AcqRel);
    }
}
