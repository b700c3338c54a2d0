//! The project's daemon as a separate process, with settings from its own template.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::get_status;

pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    program: String,
    settings: PathBuf,
    log: PathBuf,
}

/// The zones of a small deployment, each in a region of its own.
pub const ZONES: [&str; 3] = ["uusimaa-a", "pirkanmaa-a", "pohjanmaa-a"];

/// Figures of the small deployment's `bounds` (SYSTEM.md, both sheets).
pub const CONTACT: Duration = Duration::from_millis(4_000);
pub const CONFIG: Duration = Duration::from_millis(2_500);
pub const DRAIN: Duration = Duration::from_millis(2_500);

fn free_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU16, Ordering};
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id().wrapping_mul(7_919) % 20_000) as u16;
    loop {
        let port = 10_000 + (start + NEXT.fetch_add(1, Ordering::SeqCst)) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Reads the program of the deploy file's role.
fn program() -> String {
    let deploy = fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("a role");
    run.trim_matches('"').split(' ').next().expect("a program").to_owned()
}

impl Entry {
    pub fn start(directory: &Path, index: usize, store: SocketAddr, cloud: SocketAddr) -> Self {
        let zone = ZONES[index % ZONES.len()];
        let name = format!("edge-{zone}-{index}");
        let [callers, ready, peers, operators] = [(); 4].map(|()| free_address());
        let regions: Vec<String> =
            ZONES.iter().map(|zone| format!("{zone}={}", zone.trim_end_matches("-a"))).collect();
        let template = fs::read_to_string("deploy/entry.ini").expect("deploy/entry.ini");
        let mut text = template
            .replace("{{#bounds.require_fence}}0{{/bounds.require_fence}}", "0")
            .replace("{{^bounds.require_fence}}{{bounds.lease_ms}}{{/bounds.require_fence}}", "")
            .replace("{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", &regions.join(","))
            .replace("{{ip}}:{{port_range.0}}", &peers.to_string())
            .replace("{{ip}}:9464", &operators.to_string());
        let values = [
            ("node", name.clone()),
            ("zone", zone.to_owned()),
            ("region", zone.trim_end_matches("-a").to_owned()),
            ("listen.front", callers.to_string()),
            ("listen.ready", ready.to_string()),
            ("platform.addr", store.to_string()),
            ("cloud.addr", cloud.to_string()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.retry_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", "52".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("bounds.usage_window_s", "5".to_owned()),
            ("bounds.usage_late_s", "10".to_owned()),
        ];
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a field of the template is not known here: {text}");
        let settings = directory.join(format!("{name}.ini"));
        let log = directory.join(format!("{name}.log"));
        fs::write(&settings, text).expect("the settings are written");
        let program = program();
        let child = spawn(&program, &settings, &log);
        Self { name, callers, ready, child, program, settings, log }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        get_status(self.ready, "/readyz") == Some(200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again after it was killed.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    /// Sends SIGTERM; returns once it was sent.
    pub fn terminate(&self) {
        let _ = Command::new("kill").args(["-TERM", &self.pid().to_string()]).status();
    }
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: std::ffi::c_ulong = 9;

/// Starts the daemon. It is killed when this program ends, however that happens.
fn spawn(program: &str, settings: &Path, log: &Path) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    let mut command = Command::new(program);
    // SAFETY: the closure only makes one system call.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        });
    }
    command
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn()
        .expect("the daemon of the deploy file is built")
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
