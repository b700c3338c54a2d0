//! The log: one JSON object per line on standard output. Its volume is limited, and logging never
//! blocks.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cowslip_clock::unix_ms;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

/// Most lines that are queued for standard output; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;
/// Most lines in one second; further lines are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 400; // a few lines for each of 100 requests a second

/// Starts the log; every line holds the name of the `instance`.
pub fn init_logging(instance: &str) {
    let dropped = Arc::new(AtomicU64::new(0));
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    let writer_dropped = dropped.clone();
    let name: Arc<str> = Arc::from(instance);
    let writer_name = name.clone();
    std::thread::spawn(move || write_lines(&writer_name, &queue, &writer_dropped));
    let rate_limit = Mutex::new(RateLimit { window_start: Instant::now(), lines: 0 });
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(move |out, record| writeln!(out, "{}", format_line(&name, record)))
        .target(env_logger::Target::Pipe(Box::new(LineQueue { lines, dropped, rate_limit })))
        .init();
}

fn format_line(instance: &str, record: &log::Record<'_>) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    fields.0.insert("at_ms".to_owned(), unix_ms().into());
    fields.0.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    fields.0.insert("instance".to_owned(), instance.into());
    fields.0.insert("what".to_owned(), record.args().to_string().into());
    // `Fields::visit_pair` never fails.
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

/// Queues lines for the thread that writes them, or drops them without blocking.
struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    rate_limit: Mutex<RateLimit>,
}

/// Limits the number of lines in each second.
struct RateLimit {
    window_start: Instant,
    lines: u32,
}

impl RateLimit {
    fn try_acquire(&mut self) -> bool {
        let now = Instant::now();
        if now.duration_since(self.window_start) >= Duration::from_secs(1) {
            *self = Self { window_start: now, lines: 0 };
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_SECOND
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_allowed =
            self.rate_limit.lock().map_or(true, |mut rate_limit| rate_limit.try_acquire());
        let is_queued = is_allowed
            && match self.lines.try_send(line.to_vec()) {
                Ok(()) => true,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
            };
        if !is_queued {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(instance: &str, queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(line) = queue.recv() {
        // A failed write to standard output cannot be reported anywhere.
        let _ = out.write_all(&line);
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let row = crate::events::Event::LinesDropped.row();
            let line = serde_json::json!({
                "at_ms": unix_ms(), "level": "warn", "instance": instance,
                "what": row.summary, "event": row.code, "lines": count,
            });
            let _ = writeln!(out, "{line}");
        }
    }
}
