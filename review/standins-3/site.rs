//! A small deployment: machines, workers of one service, the store and the callers.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::http::call;
use crate::instance::{Deployment, Instance};
use crate::record::Record;
use crate::store::{Duties, Store};
use crate::worker::{Arrivals, Worker};

pub const SERVICE: &str = "counter-app";
/// Interval between a worker's writes of its entry, `heartbeat_ms`.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Longest wait until all machines are ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const HOST: &str = "shop.example";
pub const KEY: &str = "3fexd9dnn2ctnfzs989a";
/// A key that the operator may take away.
pub const OTHER_KEY: &str = "nu6wsjnbanfqasnmgkcu";
/// Port of the machines' metrics, which the template states.
const METRICS_PORT: u16 = 9_464;

/// What a client got.
pub struct Answer {
    pub attempt: String,
    pub machine: String,
    pub status: String,
}

pub struct Site {
    pub store: Store,
    pub duties: Duties,
    pub workers: Vec<Worker>,
    pub arrivals: Arrivals,
    pub instances: Vec<Instance>,
    pub record: Record,
    directory: PathBuf,
    requests: u32,
}

impl Site {
    /// Starts a machine and a worker in each zone and waits until all machines are ready.
    pub fn start(deployment: &Deployment, record: &Record) -> Self {
        let directory = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a temporary folder");
        let machines = deployment.zones.len();
        let net = free_net(machines);
        let ip = |host: usize| {
            let [a, b, c, _] = net.octets();
            Ipv4Addr::new(a, b, c, u8::try_from(host).expect("a small number"))
        };
        let store = Store::start(ip(100), record.clone());
        let duties = Duties::start(ip(101), deployment.requires_fence, record.clone());
        let arrivals: Arrivals = Arc::default();
        store.put("keyed.op", "config", &config(7, 3_000, &[KEY, OTHER_KEY]));
        let workers = deployment.zones.iter().enumerate().map(|(index, (zone, _))| {
            let id = format!("i-worker-{}", index + 1);
            let address = SocketAddr::from((ip(110 + index), 0));
            Worker::start(address, &id, SERVICE, zone, HEARTBEAT, &store, &arrivals, record)
        });
        let workers = workers.collect();
        let instances = (0..machines).map(|index| {
            let ip = ip(1 + index);
            let (store, duties) = (store.address, duties.address);
            Instance::start(deployment, index, ip, store, duties, &directory, record)
        });
        let instances: Vec<Instance> = instances.collect();
        let record = record.clone();
        let site =
            Self { store, duties, workers, arrivals, instances, record, directory, requests: 0 };
        let deadline = site.record.now() + START_TIMEOUT;
        while !site.instances.iter().all(Instance::is_ready) {
            assert!(site.record.now() < deadline, "not all machines are ready");
            std::thread::sleep(Duration::from_millis(50));
        }
        site.record.write("all machines are ready");
        site
    }

    /// Writes a config as the operator. Returns when the store has confirmed it.
    pub fn write_config(&self, version: u32, timeout_ms: u32, keys: &[&str]) -> Duration {
        let config = config(version, timeout_ms, keys);
        assert!(self.store.put("keyed.op", "config", &config), "the store takes the config");
        self.record.write(&format!("store: config {version} with keys {keys:?}"));
        self.record.now()
    }

    /// Sends `count` bookings at once to each machine, each on a channel of its own, and waits for the
    /// answers.
    pub fn book(&mut self, key: &str, count: u32) -> Vec<Answer> {
        let mut callers = Vec::new();
        for instance in &self.instances {
            for _ in 0..count {
                self.requests += 1;
                let attempt = format!("{:016x}", self.requests);
                let request = booking_request(&attempt, key);
                let (front, machine) = (instance.front, instance.name.clone());
                let record = self.record.clone();
                callers.push(std::thread::spawn(move || {
                    record.write(&format!("client: booking {attempt} to {machine}"));
                    let answer = call(front, &request, Duration::from_secs(3));
                    let status = answer.map(|answer| answer.word(1).to_owned());
                    let status = status.unwrap_or_else(|| "no answer".to_owned());
                    record.write(&format!("client: booking {attempt} gets {status}"));
                    Answer { attempt, machine, status }
                }));
            }
        }
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    }

    /// Takes the store away for a moment and brings it back from a copy. If the operator's newest
    /// config is gone, it writes that again; the workers write their entries again with their next
    /// heartbeat.
    pub fn restore_store(&self, away: Duration, age: Duration) {
        if let Some((key, value)) = self.store.restore(away, age).pop() {
            assert!(self.store.put("keyed.op", &key, &value), "the store is back");
            self.record.write("store: the operator writes its newest config again");
        }
    }

    /// Fails if a process has ended by itself.
    pub fn check_processes(&mut self) {
        for instance in &mut self.instances {
            assert!(!instance.has_ended(), "{} has ended", instance.name);
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.instances.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// Returns a loopback net in which the port of the metrics is free on the machines' addresses.
fn free_net(machines: usize) -> Ipv4Addr {
    let first = std::process::id();
    (0..1_000)
        .map(|step| {
            let number = (first + step).to_be_bytes();
            Ipv4Addr::new(127, 64 + number[2] % 128, number[3], 0)
        })
        .find(|net| {
            (1..=machines).all(|host| {
                let [a, b, c, _] = net.octets();
                let ip = Ipv4Addr::new(a, b, c, u8::try_from(host).expect("a small number"));
                TcpListener::bind((ip, METRICS_PORT)).is_ok()
            })
        })
        .expect("a free net")
}

/// Returns a booking, which may run once.
pub fn booking_request(attempt: &str, key: &str) -> String {
    format!(
        "POST /book/order HTTP/1.1\r\nhost: {HOST}\r\ncowslipvale-attempt-id: {attempt}\r\n\
         cowslipvale-deadline-ms: 3000\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n\r\n{attempt}",
        attempt.len()
    )
}

fn config(version: u32, timeout_ms: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"book-order\",\"host\":\"{HOST}\",\"path_prefix\":\"/book/\",\
         \"kind\":\"unsafe\",\"timeout_ms\":{timeout_ms},\"slo_ms\":300,\"priority\":2,\
         \"service\":\"{SERVICE}\",\"attempts\":1,\"public\":false,\"sticky\":false,\
         \"resumable\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{keys}],\"priority\":1}}]}}"
    )
}
