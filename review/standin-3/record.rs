//! The record of a case: what was sent, answered and run, with times.

use std::fs;
use std::io::Write as _;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A record that all threads share.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(fs::File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Adds a line.
    pub fn add(&self, line: impl std::fmt::Display) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic while locked");
        let _ = writeln!(file, "{seconds:8.3} {line}");
    }
}
