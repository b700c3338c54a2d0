//! The log: one JSON object a line on standard output, bounded in volume, never blocking.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cowslip_clock::unix_ms;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

/// Lines that may wait for standard output; further ones are dropped and counted.
const WAITING_LINES: usize = 2_048;
/// Most lines in one second; further ones are dropped and counted.
const LINES_PER_SECOND: u32 = 400; // a few lines for each of 100 requests a second

/// Starts the log; `instance` is in every line.
pub fn init_logging(instance: &str) {
    let dropped = Arc::new(AtomicU64::new(0));
    let (lines, waiting) = sync_channel(WAITING_LINES);
    let counted = dropped.clone();
    let name: Arc<str> = Arc::from(instance);
    let writer_name = name.clone();
    std::thread::spawn(move || write_lines(&writer_name, &waiting, &counted));
    let gate = Mutex::new(Gate { since: Instant::now(), lines: 0 });
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(move |out, record| writeln!(out, "{}", line(&name, record)))
        .target(env_logger::Target::Pipe(Box::new(Queue { lines, dropped, gate })))
        .init();
}

fn line(instance: &str, record: &log::Record<'_>) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    fields.0.insert("at_ms".to_owned(), unix_ms().into());
    fields.0.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    fields.0.insert("instance".to_owned(), instance.into());
    fields.0.insert("what".to_owned(), record.args().to_string().into());
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut fields);
    fields.0.into()
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// The writing side: takes a line or drops it, at once.
struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    gate: Mutex<Gate>,
}

struct Gate {
    since: Instant,
    lines: u32,
}

impl Gate {
    fn lets_through(&mut self) -> bool {
        let now = Instant::now();
        if now.duration_since(self.since) >= Duration::from_secs(1) {
            *self = Self { since: now, lines: 0 };
        }
        self.lines += 1;
        self.lines <= LINES_PER_SECOND
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_let = self.gate.lock().map_or(true, |mut gate| gate.lets_through());
        let is_taken = is_let
            && match self.lines.try_send(line.to_vec()) {
                Ok(()) => true,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
            };
        if !is_taken {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(instance: &str, waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(line) = waiting.recv() {
        // A standard output that is gone leaves nowhere to say so.
        let _ = out.write_all(&line);
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let row = crate::events::Event::LinesDropped.row();
            let note = serde_json::json!({
                "at_ms": unix_ms(), "level": "warn", "instance": instance,
                "what": row.summary, "event": row.code, "lines": count,
            });
            let _ = writeln!(out, "{note}");
        }
    }
}
