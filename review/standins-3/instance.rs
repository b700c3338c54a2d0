//! The daemon, as the deploy file starts it.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::call;
use crate::record::Record;

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// The figures of a deployment that the settings of its machines hold.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub zones: &'static [(&'static str, &'static str)],
    pub memory_mb: u32,
    pub descriptors: u32,
    pub requires_fence: bool,
    pub retry_slack: u32,
}

/// One machine and its process.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    words: Vec<String>,
    log: PathBuf,
    process: Option<Child>,
    record: Record,
}

fn free_port(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Instance {
    /// Writes the settings of a machine and starts its process.
    pub fn start(
        deployment: &Deployment,
        index: usize,
        ip: Ipv4Addr,
        store: SocketAddr,
        duties: SocketAddr,
        directory: &Path,
        record: &Record,
    ) -> Self {
        let (zone, region) = deployment.zones[index % deployment.zones.len()];
        let name = format!("edge-{zone}-{}", 1 + index / deployment.zones.len());
        let (front, ready, peer) = (free_port(ip), free_port(ip), free_port(ip));
        let values = [
            ("node", name.clone()),
            ("zone", zone.to_owned()),
            ("region", region.to_owned()),
            ("ip", ip.to_string()),
            ("port_range.0", peer.port().to_string()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("limits.memory_mb", deployment.memory_mb.to_string()),
            ("limits.max_fds", deployment.descriptors.to_string()),
            ("platform.addr", store.to_string()),
            ("cloud.addr", duties.to_string()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.retry_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", deployment.retry_slack.to_string()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("bounds.usage_window_s", "5".to_owned()),
            ("bounds.usage_late_s", "10".to_owned()),
            ("bounds.quota_window_s", String::new()),
            ("bounds.quota_excess", String::new()),
            ("bounds.quota_slack", String::new()),
        ];
        let template = fs::read_to_string("deploy/entry.ini").expect("the template");
        let settings = directory.join(format!("{name}.ini"));
        fs::write(&settings, fill_in(&template, deployment, &values)).expect("the settings");
        let deploy_file = fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let run = deploy_file.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|text| text.strip_suffix('"')).expect("the command of the role");
        let run = run.replace("/etc/cowslipvale/settings.toml", &settings.display().to_string());
        let words = fill_in(&run, deployment, &values).split(' ').map(str::to_owned).collect();
        let log = directory.join(format!("{name}.log"));
        let record = record.clone();
        let mut instance = Self { name, front, ready, words, log, process: None, record };
        instance.spawn();
        instance
    }

    /// Starts the process, again after an end.
    pub fn spawn(&mut self) {
        let open = || File::options().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new(&self.words[0]);
        command.args(&self.words[1..]).stdin(Stdio::null()).stdout(open()).stderr(open());
        // SAFETY: `prctl` is safe to call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        self.process = Some(command.spawn().expect("the daemon starts"));
        self.record.write(&format!("{} starts", self.name));
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nhost: balancer\r\n\r\n";
        let response = call(self.ready, request, Duration::from_secs(1));
        response.is_some_and(|response| response.word(1) == "200")
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Instance {
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fills in a template of the deploy file.
fn fill_in(template: &str, deployment: &Deployment, values: &[(&str, String)]) -> String {
    let zones: Vec<String> =
        deployment.zones.iter().map(|(zone, region)| format!("{zone}={region}")).collect();
    let mut text = section(template, "{{#zones}}", "{{/zones}}", |_| zones.join(","));
    let keep_if = |is_kept: bool| move |inner: &str| inner.repeat(usize::from(is_kept));
    let (fence, end) = ("bounds.require_fence}}", "{{/bounds.require_fence}}");
    let is_required = deployment.requires_fence;
    text = section(&text, &format!("{{{{#{fence}"), end, keep_if(is_required));
    text = section(&text, &format!("{{{{^{fence}"), end, keep_if(!is_required));
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "the template holds an unknown placeholder: {text}");
    text
}

fn section<F>(text: &str, start: &str, end: &str, replace: F) -> String
where
    F: Fn(&str) -> String,
{
    let Some((before, rest)) = text.split_once(start) else { return text.to_owned() };
    let (inner, after) = rest.split_once(end).expect("the section ends");
    format!("{before}{}{after}", replace(inner))
}
