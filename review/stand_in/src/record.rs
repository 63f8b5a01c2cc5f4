//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
            started: Instant::now(),
        }
    }

    /// Seconds since the record began.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, line: impl AsRef<str>) {
        let text = format!("{:8.3} s  {}\n", self.seconds(), line.as_ref());
        let mut file = self.file.lock().expect("lock");
        file.write_all(text.as_bytes()).expect("record.txt");
    }
}
