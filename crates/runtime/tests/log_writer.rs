//! Non-blocking log writer.

use peatgrade_runtime::log_writer::LogWriter;
use std::io::Write;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An output that blocks until its gate is opened.
struct GatedOutput {
    gate: Receiver<()>,
    open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.open {
            let _ = self.gate.recv();
            self.open = true;
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn gated_output() -> (GatedOutput, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (open, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = GatedOutput {
        gate,
        open: false,
        written: written.clone(),
    };
    (output, open, written)
}

#[test]
fn stalled_output_does_not_block_writers_and_dropped_lines_are_counted() {
    let (output, open, written) = gated_output();
    let (mut writer, counts) = LogWriter::start(Box::new(output)).unwrap();
    let start = Instant::now();
    for number in 0..10_000 {
        writer
            .write_all(format!("line {number}\n").as_bytes())
            .unwrap();
    }
    assert!(start.elapsed() < Duration::from_secs(2));
    let dropped = counts.dropped();
    assert!(dropped > 5_000, "{dropped} lines were dropped");
    open.send(()).unwrap();
    counts.flush(Duration::from_secs(5));
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    let lines = text
        .lines()
        .filter(|line| line.starts_with("line "))
        .count();
    assert_eq!(lines as u64 + dropped, 10_000);
    assert!(text.contains(&format!("\"left_out\":{dropped}")));
}

#[test]
fn lines_are_written_complete_and_in_order() {
    let (output, open, written) = gated_output();
    open.send(()).unwrap();
    let (mut writer, counts) = LogWriter::start(Box::new(output)).unwrap();
    for number in 0..100 {
        writer
            .write_all(format!("line {number}\n").as_bytes())
            .unwrap();
    }
    counts.flush(Duration::from_secs(5));
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    let expected: String = (0..100).map(|number| format!("line {number}\n")).collect();
    assert_eq!(text, expected);
}
