//! A small fleet: the platform, upstreams with their entries, and instances of the daemon.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::socket::{self, end_with_parent};
use crate::store::Store;

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-of-alpha";
/// Interval between the writes of an upstream's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The lines of `record.txt`: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at_s:8.3} s  {text}");
    }
}

/// How an upstream answers: gets the request, its connection and the stand-in's number; returns
/// whether the connection can be kept.
pub type Behaviour = Arc<dyn Fn(&Request, &mut TcpStream, usize) -> bool + Send + Sync>;

/// An upstream's entry in the store.
pub struct Upstream<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub stage: Option<&'a str>,
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis()
}

/// Returns the fields of an upstream's entry that start now and stay, without its braces.
pub fn entry(upstream: &Upstream<'_>, address: SocketAddr) -> String {
    let stage = upstream.stage.map_or(String::new(), |stage| {
        format!(
            ",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]"
        )
    });
    format!(
        "\"service\":\"{}\",\"addr\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":128,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"born\":{}{stage}",
        upstream.service,
        upstream.zone,
        unix_ms()
    )
}

/// Waits until the store holds the entries of `count` upstreams, some seconds at most.
pub fn wait_for_entry(store: &Store, count: usize) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while store.key_count("keyed.servers") < count && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(20));
    }
}

/// Starts an upstream that writes its entry until the process ends.
pub fn start_upstream(store: &Store, upstream: &Upstream<'_>, number: usize, answer: Behaviour) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (store, id) = (store.clone(), upstream.id.to_owned());
    let entry = entry(upstream, address);
    let write =
        move |seq: u32| store.put("keyed.servers", &id, &format!("{{{entry},\"seq\":{seq}}}"));
    write(1);
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(HEARTBEAT);
            write(seq);
        }
    });
    thread::spawn(move || {
        for mut tcp in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = tcp.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(request) = http::read_request(&mut tcp, &mut buffer) {
                    if !answer(&request, &mut tcp, number) {
                        return;
                    }
                }
            });
        }
    });
}

/// Answers as a sound upstream does: a whole body, or a stream of events in chunks, after `work`.
pub fn answer_soundly(
    request: &Request,
    tcp: &mut TcpStream,
    number: usize,
    work: Duration,
) -> bool {
    let attempt = request.header("cowslipvale-attempt-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\ncowslipvale-attempt-id: {attempt}\r\ncowslipvale-response-stamp: s{number}\r\n"
    );
    if request.target.starts_with("/report") {
        let report = "{\"stage\":\"decode\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\
                      \"kv_used\":0,\"kv_total\":1141536,\"kv_handles\":0}";
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{report}", report.len());
        return tcp.write_all(text.as_bytes()).is_ok();
    }
    thread::sleep(work);
    if !request.target.starts_with("/stream/") {
        let body = "whole".repeat(160);
        let text = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
        return tcp.write_all(text.as_bytes()).is_ok();
    }
    let mut text =
        format!("{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
    for id in 1..=6 {
        let event = format!("id: {id}\ndata: token{id}\n\n");
        text += &format!("{:x}\r\n{event}\r\n", event.len());
    }
    tcp.write_all((text + "0\r\n\r\n").as_bytes()).is_ok()
}

/// Returns a configuration with a route for each kind of request, as the deployment
/// `lankakorpi-shop` declares them.
pub fn config(version: u64) -> String {
    config_with_keys(version, &[("alpha", KEY), ("beta", "key-of-beta")])
}

/// Returns such a configuration with these tenants and their keys.
pub fn config_with_keys(version: u64, tenants: &[(&str, &str)]) -> String {
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 timeout_ms: u64,
                 attempts: u32,
                 more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"slo_ms\":300,\"priority\":0,\"service\":\"{service}\",\
             \"attempts\":{attempts},\"public\":false{more}}}"
        )
    };
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, key)| format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"]}}"))
        .collect();
    let stream = ",\"sticky\":true,\"resumable\":false,\"itl_slo_ms\":250";
    let routes = [
        route("stream", "streaming", "models", 6_000, 1, stream),
        route("book", "unsafe", "app", 1_500, 1, ""),
        route("look", "safe", "app", 1_500, 2, ""),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"models\",\"health_path\":\"/healthz\",\
         \"max_conns\":610,\"engine\":{{\"slots\":128}}}},{{\"name\":\"app\",\"health_path\":\"/healthz\",\
         \"max_conns\":96}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

/// A process of the daemon, ended when it is dropped.
pub struct Instance {
    process: Child,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    directory: PathBuf,
}

/// Figures of the settings that a case may choose, within those of a small deployment.
pub struct Settings {
    pub memory_mb: u32,
    pub max_fds: u32,
}

fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let start = (u64::from(std::process::id()) * 7_919 % 20_000) as u16;
        let port = 10_000 + (start + NEXT.fetch_add(1, Ordering::Relaxed)) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Instance {
    /// Starts the daemon in the zone `uusimaa-a` and waits until it is ready.
    pub fn start(name: &str, store: &Store, settings: &Settings) -> Option<Self> {
        let instance = Self::launch(name, "uusimaa-a", store.address, settings)?;
        instance.wait_until_ready().then_some(instance)
    }

    /// Starts the daemon with the command of the deploy file.
    pub fn launch(
        name: &str,
        zone: &str,
        platform: SocketAddr,
        settings: &Settings,
    ) -> Option<Self> {
        let directory =
            std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        fs::create_dir_all(&directory).ok()?;
        let [caller, ready, peer, operator] = [(); 4].map(|()| free_address());
        let region = zone.trim_end_matches("-a");
        let text = format!(
            "[instance]\nname = {name}\nfailure_domain = {zone}\nregion = {region}\n\
             caller_address = {caller}\npeer_address = {peer}\noperator_address = {operator}\n\
             [platform]\naddress = {platform}\n\
             [authority]\nlease_ms = 3000\nrenew_every_ms = 1000\nsilence_ms = 0\n\
             [limits]\nmax_header_bytes = 65536\n\
             [fleet]\nready_address = {ready}\nduties_address = {platform}\n\
             regions = uusimaa-a=uusimaa,pirkanmaa-a=pirkanmaa,pohjanmaa-a=pohjanmaa\n\
             stop_after_s = 8\nrepeat_ratio = 0.2\nrepeat_slack = 52\nrepeat_window_s = 10\n\
             usage_window_s = 5\nusage_late_s = 10\n"
        );
        let path = directory.join("settings.ini");
        fs::write(&path, text).ok()?;
        let log = File::create(directory.join("log")).ok()?;
        let mut command = Command::new("target/release/cowslip-platform");
        command
            .arg(&path)
            .args(["--set", &format!("limits.memory_mb={}", settings.memory_mb)])
            .args(["--set", &format!("limits.max_descriptors={}", settings.max_fds)])
            .args(["--set", "allowances.window_s=", "--set", "allowances.excess="])
            .args(["--set", "allowances.slack="])
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        let process = end_with_parent(&mut command).spawn().ok()?;
        Some(Self { process, caller, ready, directory })
    }

    /// Waits until the instance is ready, some seconds at most.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Stops the process where it is, as a loss of power does for its peers.
    pub fn freeze(&self) {
        socket::freeze(self.process.id());
    }

    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Returns whether the balancer's question is answered with 200.
    pub fn is_ready(&self) -> bool {
        let asking = || {
            let mut tcp = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)).ok()?;
            tcp.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            tcp.write_all(b"GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").ok()?;
            let mut text = Vec::new();
            let _ = tcp.read_to_end(&mut text);
            Some(text.starts_with(b"HTTP/1.1 200"))
        };
        asking().unwrap_or(false)
    }

    /// Returns the resident size of the process, in bytes.
    pub fn resident_bytes(&self) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        Some(line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()? * 1_024)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}
