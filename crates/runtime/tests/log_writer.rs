//! A log never stops whoever writes to it.

use peatgrade_runtime::log_writer::LogWriter;
use std::io::Write;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An output that takes nothing until it is let go.
struct Stuck {
    gate: Receiver<()>,
    open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
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

fn stuck() -> (Stuck, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (open, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = Stuck {
        gate,
        open: false,
        written: written.clone(),
    };
    (output, open, written)
}

#[test]
fn a_reader_that_stops_does_not_stop_the_writer_and_losses_are_counted() {
    let (output, open, written) = stuck();
    let (mut writer, counts) = LogWriter::start(Box::new(output)).unwrap();
    let start = Instant::now();
    for number in 0..10_000 {
        writer
            .write_all(format!("line {number}\n").as_bytes())
            .unwrap();
    }
    assert!(start.elapsed() < Duration::from_secs(2));
    let left_out = counts.dropped();
    assert!(left_out > 5_000, "{left_out}");
    open.send(()).unwrap();
    counts.flush(Duration::from_secs(5));
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    let lines = text
        .lines()
        .filter(|line| line.starts_with("line "))
        .count();
    assert_eq!(lines as u64 + left_out, 10_000);
    assert!(text.contains(&format!("\"left_out\":{left_out}")));
}

#[test]
fn lines_are_whole_and_in_order() {
    let (output, open, written) = stuck();
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
