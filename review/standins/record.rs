//! The record of a run: what was sent, answered and run, each line with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
