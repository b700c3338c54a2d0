//! A fleet of stand-in processes (platform, engines, service) and entry instances.

use std::net::SocketAddr;
use std::path::PathBuf;

use cowslip_codec::{from_json, to_json};
use cowslip_proto as proto;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{Error, IoSnafu, UnexpectedResponseSnafu};
use crate::http::{HttpResponse, request};
use crate::process::Process;
use crate::support::{free_address, free_addresses, ini_text, wait_for_listener, wait_until};
use crate::tickets::{TestApiKeys, initial_ticket, upstream_config};

/// Size, arguments and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of entry instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Additional command-line arguments of the platform stand-in.
    pub platform_args: Vec<String>,
    /// Additional command-line arguments of each engine stand-in.
    pub engine_args: Vec<String>,
    /// Settings of the instances as section, key and value; the fleet adds names and addresses.
    pub settings: Vec<(&'static str, &'static str, String)>,
    /// Whether engines check or ignore fencing tokens, as the configuration declares it.
    pub fencing: proto::Fencing,
}

impl Default for FleetOptions {
    fn default() -> Self {
        let setting = |section, key, value: u64| (section, key, value.to_string());
        Self {
            instances: 3,
            engines: 2,
            platform_args: Vec::new(),
            engine_args: Vec::new(),
            settings: vec![
                setting("authority", "lease_ms", 1_500),
                setting("authority", "renew_every_ms", 400),
                setting("authority", "drift_margin_ms", 200),
                setting("authority", "silence_ms", 1_200),
                setting("config", "heartbeat_ms", 100),
                setting("config", "member_timeout_ms", 1_000),
                setting("config", "stale_limit_ms", 2_500),
                setting("usage", "window_ms", 800),
                setting("usage", "flush_ms", 200),
                setting("platform", "list_poll_ms", 200),
                setting("platform", "request_timeout_ms", 1_000),
            ],
            fencing: proto::Fencing::Checked,
        }
    }
}

/// A running entry instance.
#[derive(Debug)]
pub struct EntryInstance {
    /// Process of `cowslip-entry`.
    pub process: Process,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that operators connect to.
    pub operator_address: SocketAddr,
    /// Address that peers connect to.
    pub peer_address: SocketAddr,
    /// Port of the platform that only this instance uses, so that a test can cut it off alone.
    pub platform_port: u16,
    settings_path: PathBuf,
    log_path: PathBuf,
}

/// A running engine stand-in.
#[derive(Debug)]
pub struct Engine {
    /// Process of the engine.
    pub process: Process,
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// Name of the engine as an upstream.
    pub name: String,
}

/// All processes of a fleet; dropping it kills them.
#[derive(Debug)]
pub struct Fleet {
    /// Process of the platform stand-in.
    pub platform: Process,
    /// Address of the platform for control requests; no instance uses it.
    pub platform_address: SocketAddr,
    /// Engine stand-ins by index.
    pub engines: Vec<Engine>,
    /// Process of the service stand-in.
    pub service: Process,
    /// Address that the service listens on.
    pub service_address: SocketAddr,
    /// Entry instances by index.
    pub instances: Vec<EntryInstance>,
    options: FleetOptions,
    folder: PathBuf,
}

impl Fleet {
    /// Starts all processes and waits until each listens. No ticket is applied yet.
    ///
    /// # Errors
    /// Returns an error when a process does not start or does not listen in time.
    pub fn start(options: FleetOptions) -> Result<Self, Error> {
        let folder = std::env::temp_dir().join(format!("cowslip-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder).context(IoSnafu)?;
        let platform_addresses = free_addresses(options.instances + 1)?;
        let mut args = vec!["platform".to_owned(), "--idle-ms".to_owned(), "800".to_owned()];
        for address in &platform_addresses {
            args.extend(["--listen".to_owned(), address.to_string()]);
        }
        args.extend(options.platform_args.iter().cloned());
        let platform = Process::start("cowslip-standin", &args, &folder.join("platform.log"))?;
        let service_address = free_address()?;
        let args = ["service".to_owned(), "--listen".to_owned(), service_address.to_string()];
        let service = Process::start("cowslip-standin", &args, &folder.join("service.log"))?;
        let mut fleet = Self {
            platform,
            platform_address: platform_addresses[0],
            engines: Vec::new(),
            service,
            service_address,
            instances: Vec::new(),
            options,
            folder,
        };
        wait_for_listener(fleet.platform_address)?;
        wait_for_listener(service_address)?;
        for index in 0..fleet.options.engines {
            let engine = fleet.start_engine(&format!("engine-{index}"), free_address()?)?;
            fleet.engines.push(engine);
        }
        for (index, address) in platform_addresses.iter().enumerate().skip(1) {
            let instance = fleet.start_instance(index - 1, *address)?;
            fleet.instances.push(instance);
        }
        Ok(fleet)
    }

    fn start_engine(&self, name: &str, address: SocketAddr) -> Result<Engine, Error> {
        let mut args = vec![
            "engine".to_owned(),
            "--listen".to_owned(),
            address.to_string(),
            "--name".to_owned(),
            name.to_owned(),
        ];
        args.extend(self.options.engine_args.iter().cloned());
        let log_path = self.folder.join(format!("{name}.log"));
        let process = Process::start("cowslip-standin", &args, &log_path)?;
        wait_for_listener(address)?;
        Ok(Engine { process, address, name: name.to_owned() })
    }

    /// Kills an engine and restarts it with the same name and address.
    ///
    /// # Errors
    /// Returns an error when the engine does not start.
    pub fn restart_engine(&mut self, index: usize) -> Result<(), Error> {
        let (name, address) = (self.engines[index].name.clone(), self.engines[index].address);
        self.engines[index].process.kill();
        self.engines[index] = self.start_engine(&name, address)?;
        Ok(())
    }

    fn start_instance(
        &self,
        index: usize,
        platform_address: SocketAddr,
    ) -> Result<EntryInstance, Error> {
        let addresses = free_addresses(3)?;
        let (caller_address, operator_address, peer_address) =
            (addresses[0], addresses[1], addresses[2]);
        let mut rows = vec![
            ("instance", "name", format!("entry-{index}")),
            ("instance", "failure_domain", "uusimaa".to_owned()),
            ("instance", "region", "uusimaa".to_owned()),
            ("instance", "caller_address", caller_address.to_string()),
            ("instance", "peer_address", peer_address.to_string()),
            ("instance", "operator_address", operator_address.to_string()),
            ("platform", "address", platform_address.to_string()),
        ];
        rows.extend(self.options.settings.iter().cloned());
        let text = ini_text(&rows);
        let settings_path = self.folder.join(format!("entry-{index}.ini"));
        std::fs::write(&settings_path, text).context(IoSnafu)?;
        let log_path = self.folder.join(format!("entry-{index}.log"));
        let args = [settings_path.display().to_string()];
        let process = Process::start("cowslip-entry", &args, &log_path)?;
        wait_for_listener(operator_address)?;
        Ok(EntryInstance {
            process,
            caller_address,
            operator_address,
            peer_address,
            platform_port: platform_address.port(),
            settings_path,
            log_path,
        })
    }

    /// Kills an instance and restarts it with the same settings and log file. No other state
    /// remains.
    ///
    /// # Errors
    /// Returns an error when the instance does not start.
    pub fn restart_instance(&mut self, index: usize) -> Result<(), Error> {
        let instance = &mut self.instances[index];
        instance.process.kill();
        let args = [instance.settings_path.display().to_string()];
        instance.process = Process::start("cowslip-entry", &args, &instance.log_path)?;
        wait_for_listener(instance.operator_address)
    }

    /// Returns the configuration of all engines, for the deployment in a ticket.
    #[must_use]
    pub fn engine_configs(&self) -> Vec<proto::Upstream> {
        self.engines
            .iter()
            .map(|engine| upstream_config(&engine.name, engine.address, self.options.fencing))
            .collect()
    }

    /// Waits until every instance is ready and lists all instances, applies the initial ticket, and
    /// waits until every instance has applied it.
    ///
    /// # Errors
    /// Returns an error when the ticket is not accepted or not applied everywhere in time.
    pub fn apply_initial_ticket(&self, number: u64) -> Result<TestApiKeys, Error> {
        wait_until("every instance to list all instances", || {
            (0..self.instances.len()).all(|index| {
                self.status(index).is_ok_and(|status| {
                    status.ready && status.instances.len() == self.instances.len()
                })
            })
        })?;
        let service = upstream_config("shop-0", self.service_address, proto::Fencing::Ignored);
        let (ticket, api_keys) = initial_ticket(number, self.engine_configs(), vec![service]);
        match self.submit_ticket(0, &ticket)? {
            proto::TicketReply::Accepted(accepted) => {
                self.wait_for_offset(accepted.offset)?;
                Ok(api_keys)
            }
            reply => {
                UnexpectedResponseSnafu { operation: "initial ticket", response: to_json(&reply) }
                    .fail()
            }
        }
    }

    /// Waits until every instance has applied the log entry at `offset`.
    ///
    /// # Errors
    /// Returns an error on a timeout.
    pub fn wait_for_offset(&self, offset: u64) -> Result<(), Error> {
        wait_until("every instance to apply the log entry", || {
            (0..self.instances.len())
                .all(|index| self.status(index).is_ok_and(|status| status.next_offset > offset))
        })
    }

    /// Submits a ticket to an instance and returns its reply.
    ///
    /// # Errors
    /// Returns an error when no valid reply arrives from the instance.
    pub fn submit_ticket(
        &self,
        index: usize,
        ticket: &proto::Ticket,
    ) -> Result<proto::TicketReply, Error> {
        post(self.instances[index].operator_address, "/tickets", ticket)
    }

    /// Reads the status report of an instance.
    ///
    /// # Errors
    /// Returns an error when no valid reply arrives from the instance.
    pub fn status(&self, index: usize) -> Result<proto::StatusReport, Error> {
        self.get(self.instances[index].operator_address, "/status")
    }

    /// Sends a caller's request to an instance.
    ///
    /// # Errors
    /// Returns an error when no complete response arrives in time.
    pub fn send_request(
        &self,
        index: usize,
        method: &Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<HttpResponse, Error> {
        request(
            method,
            &format!("http://{}{path}", self.instances[index].caller_address),
            headers,
            body,
        )
    }

    /// Reads the counters and applied orders of an engine.
    ///
    /// # Errors
    /// Returns an error when no valid reply arrives from the engine.
    pub fn engine_stats(&self, index: usize) -> Result<proto::EngineStats, Error> {
        self.get(self.engines[index].address, "/stats")
    }

    /// Reads the booking ledger of the service.
    ///
    /// # Errors
    /// Returns an error when no valid reply arrives from the service.
    pub fn ledger(&self) -> Result<proto::Ledger, Error> {
        self.get(self.service_address, "/ledger")
    }

    /// Replaces the injected faults of a stand-in.
    ///
    /// # Errors
    /// Returns an error when no valid reply arrives from the stand-in.
    pub fn set_faults<M>(&self, address: SocketAddr, faults: &M) -> Result<(), Error>
    where
        M: Serialize,
    {
        post::<M, serde_json::Value>(address, "/faults", faults).map(drop)
    }

    /// Reads JSON from a path of a process.
    ///
    /// # Errors
    /// Returns an error when no response arrives or it does not match the schema.
    pub fn get<T>(&self, address: SocketAddr, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let response = request(&Method::GET, &format!("http://{address}{path}"), &[], "")?;
        decode(path, &response)
    }

    /// Polls until `is_met` returns true; `condition` names it in the error.
    ///
    /// # Errors
    /// Returns an error on a timeout.
    pub fn wait_until<F>(&self, condition: &str, is_met: F) -> Result<(), Error>
    where
        F: FnMut() -> bool,
    {
        wait_until(condition, is_met)
    }

    /// Returns the log text of an instance, or an empty string if it cannot be read.
    #[must_use]
    pub fn instance_log(&self, index: usize) -> String {
        std::fs::read_to_string(&self.instances[index].log_path).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Keeps the logs of a failed test for diagnosis.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn post<M, T>(address: SocketAddr, path: &str, message: &M) -> Result<T, Error>
where
    M: Serialize,
    T: DeserializeOwned,
{
    let body = to_json(message);
    let response = request(&Method::POST, &format!("http://{address}{path}"), &[], &body)?;
    decode(path, &response)
}

fn decode<T>(path: &str, response: &HttpResponse) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    from_json(response.body.as_bytes())
        .map_err(|_| UnexpectedResponseSnafu { operation: path, response: &response.body }.build())
}
