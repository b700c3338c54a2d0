//! A small deployment: the store, the workers and the project's daemons.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::entry::{Entry, ZONES};
use crate::http::{HOST, KEY};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Behaviour, Worker};

/// A route of the operator's config.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub attempts: u32,
    pub timeout_ms: u64,
    pub is_resumable: bool,
}

pub fn config(version: u64, routes: &[Route<'_>]) -> String {
    let rows: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { prefix, kind, service, attempts, timeout_ms, is_resumable } = route;
            format!(
                "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
                 \"kind\":\"{kind}\",\"service\":\"{service}\",\"attempts\":{attempts},\
                 \"timeout_ms\":{timeout_ms},\"slo_ms\":400,\"priority\":2,\
                 \"resumable\":{is_resumable}}}",
                prefix.trim_matches('/')
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\
         \"services\":[{{\"name\":\"models\",\"engine\":{{\"slots\":128}}}},{{\"name\":\"app\"}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":10000,\"idle_timeout_ms\":60000}},\
         \"tenants\":[{{\"name\":\"alpha\",\"api_keys\":[\"{KEY}\"]}}]}}",
        rows.join(",")
    )
}

pub struct World {
    pub record: Record,
    pub store: Store,
    pub cloud: Store,
    pub workers: Vec<Worker>,
    pub proxies: Vec<Proxy>,
    pub entries: Vec<Entry>,
    pub directory: PathBuf,
}

impl World {
    pub fn new(record: &Record) -> Self {
        Self::with_store(record, Store::start(None))
    }

    pub fn with_store(record: &Record, store: Store) -> Self {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a temporary folder");
        Self {
            record: record.clone(),
            store,
            cloud: Store::start(None),
            workers: Vec::new(),
            proxies: Vec::new(),
            entries: Vec::new(),
            directory,
        }
    }

    pub fn put_config(&self, version: u64, routes: &[Route<'_>]) -> std::time::Instant {
        let at = self.store.put("keyed.op", "config", &config(version, routes));
        self.record.line(&format!("operator: version {version} is confirmed"));
        at
    }

    pub fn add_worker(
        &mut self,
        id: &str,
        service: &str,
        stage: Option<&'static str>,
        behaviour: Arc<Behaviour>,
    ) -> usize {
        let zone = ZONES[self.workers.len() % ZONES.len()];
        let worker = Worker::start(id, service, zone, stage, &self.store, &self.record, behaviour);
        self.workers.push(worker);
        self.workers.len() - 1
    }

    /// Starts the daemons, each behind a proxy of its own to the store, and waits until all are
    /// ready.
    pub fn start_entries(&mut self, count: usize) -> bool {
        for index in 0..count {
            let proxy = Proxy::start(self.store.address);
            let entry = Entry::start(&self.directory, index, proxy.address, self.cloud.address);
            self.proxies.push(proxy);
            self.entries.push(entry);
        }
        let is_ready = self.entries.iter().all(Entry::wait_until_ready);
        self.record.line(&format!("{count} machines started, ready: {is_ready}"));
        is_ready
    }

    pub fn sleep(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.entries.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
