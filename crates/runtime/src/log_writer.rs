//! Takes log lines off the hands of whoever writes them.
//!
//! A reader that stops reading must not stop the process, so lines wait in a
//! bounded queue and a thread of its own writes them. What finds the queue full
//! is left out and counted; the count is written when there is room again.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Lines that may wait.
const QUEUE_LINES: usize = 4_096;

/// Counts of lines.
#[derive(Debug, Default)]
pub struct LineCounts {
    waiting: AtomicU64,
    left_out: AtomicU64,
}

impl LineCounts {
    /// Lines that were left out since the start.
    pub fn dropped(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }

    /// Waits until all lines are written, `limit` at most.
    pub fn flush(&self, limit: Duration) {
        let start = Instant::now();
        while self.waiting.load(Ordering::Acquire) > 0 && start.elapsed() < limit {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

/// A writer that never waits for the other side.
#[derive(Debug)]
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

impl LogWriter {
    /// Starts the thread that writes to `output`.
    pub fn start(output: Box<dyn Write + Send>) -> std::io::Result<(Self, Arc<LineCounts>)> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
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
        self.counts.waiting.fetch_add(1, Ordering::AcqRel);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line.to_vec())
        {
            self.counts.waiting.fetch_sub(1, Ordering::AcqRel);
            self.counts.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, mut output: Box<dyn Write + Send>, counts: &LineCounts) {
    let mut told = 0;
    while let Ok(line) = queue.recv() {
        let _ = output.write_all(&line);
        let left_out = counts.dropped();
        if left_out > told {
            let note = format!("{{\"level\":\"WARN\",\"step\":\"log\",\"left_out\":{left_out}}}\n");
            let _ = output.write_all(note.as_bytes());
            told = left_out;
        }
        counts.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
