//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().expect("no panic").write_all(line.as_bytes());
    }

    /// Waits until a time since the start of the run.
    pub fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
