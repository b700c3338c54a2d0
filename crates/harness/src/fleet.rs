//! The platform, engines, a service and entry instances as processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use cowslip_codec::{from_json, to_json};
use cowslip_proto as proto;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{AnswerSnafu, Error, IoSnafu};
use crate::http::{Answer, request};
use crate::process::Process;
use crate::setup::{free_address, free_addresses, ini_text, wait_for_listener, wait_until};
use crate::tickets::{Objects, engine_row, first_ticket};

/// How a fleet is made up.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Entry instances.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Further arguments of the platform.
    pub platform_args: Vec<String>,
    /// Further arguments of each engine.
    pub engine_args: Vec<String>,
    /// Settings as section, key and value, besides names and addresses.
    pub settings: Vec<(&'static str, &'static str, String)>,
    /// Whether engines are configured as ignoring fencing numbers.
    pub fencing: proto::Fencing,
}

impl Default for FleetOptions {
    fn default() -> Self {
        let fast = |section, key, value: u64| (section, key, value.to_string());
        Self {
            entries: 3,
            engines: 2,
            platform_args: Vec::new(),
            engine_args: Vec::new(),
            settings: vec![
                fast("authority", "lease_ms", 1_500),
                fast("authority", "renew_every_ms", 400),
                fast("authority", "drift_margin_ms", 200),
                fast("authority", "silence_ms", 1_200),
                fast("config", "heartbeat_ms", 100),
                fast("config", "member_timeout_ms", 1_000),
                fast("config", "stale_limit_ms", 2_500),
                fast("usage", "window_ms", 800),
                fast("usage", "flush_ms", 200),
                fast("platform", "list_poll_ms", 200),
                fast("platform", "request_timeout_ms", 1_000),
            ],
            fencing: proto::Fencing::Checked,
        }
    }
}

/// An entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Its process.
    pub process: Process,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where other instances connect.
    pub peer: SocketAddr,
    /// Its own port at the platform.
    pub platform_port: u16,
    settings: PathBuf,
    log: PathBuf,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    /// Its process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
}

/// All processes; they end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The platform's process.
    pub platform: Process,
    /// The platform's address for control requests.
    pub platform_address: SocketAddr,
    /// Engines.
    pub engines: Vec<Engine>,
    /// The service's process.
    pub service: Process,
    /// Where the service listens.
    pub service_address: SocketAddr,
    /// Entry instances.
    pub entries: Vec<Entry>,
    options: FleetOptions,
    folder: PathBuf,
}

impl Fleet {
    /// Starts everything and waits until it listens; no ticket is applied yet.
    ///
    /// # Errors
    /// Returns an error when a process does not start.
    pub fn start(options: FleetOptions) -> Result<Self, Error> {
        let folder = std::env::temp_dir().join(format!("cowslip-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder).context(IoSnafu)?;
        let platform_addresses = free_addresses(options.entries + 1)?;
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
            entries: Vec::new(),
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
            let entry = fleet.start_entry(index - 1, *address)?;
            fleet.entries.push(entry);
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
        let log = self.folder.join(format!("{name}.log"));
        let process = Process::start("cowslip-standin", &args, &log)?;
        wait_for_listener(address)?;
        Ok(Engine { process, address, name: name.to_owned() })
    }

    /// Starts an engine again at its address.
    ///
    /// # Errors
    /// Returns an error when it does not start.
    pub fn restart_engine(&mut self, index: usize) -> Result<(), Error> {
        let (name, address) = (self.engines[index].name.clone(), self.engines[index].address);
        self.engines[index].process.kill();
        self.engines[index] = self.start_engine(&name, address)?;
        Ok(())
    }

    fn start_entry(&self, index: usize, platform: SocketAddr) -> Result<Entry, Error> {
        let addresses = free_addresses(3)?;
        let (caller, operator, peer) = (addresses[0], addresses[1], addresses[2]);
        let mut rows = vec![
            ("instance", "name", format!("entry-{index}")),
            ("instance", "failure_domain", "uusimaa".to_owned()),
            ("instance", "region", "uusimaa".to_owned()),
            ("instance", "caller_address", caller.to_string()),
            ("instance", "peer_address", peer.to_string()),
            ("instance", "operator_address", operator.to_string()),
            ("platform", "address", platform.to_string()),
        ];
        rows.extend(self.options.settings.iter().cloned());
        let text = ini_text(&rows);
        let settings = self.folder.join(format!("entry-{index}.ini"));
        std::fs::write(&settings, text).context(IoSnafu)?;
        let log = self.folder.join(format!("entry-{index}.log"));
        let args = [settings.display().to_string()];
        let process = Process::start("cowslip-entry", &args, &log)?;
        wait_for_listener(operator)?;
        Ok(Entry { process, caller, operator, peer, platform_port: platform.port(), settings, log })
    }

    /// Starts an instance again with nothing but its settings.
    ///
    /// # Errors
    /// Returns an error when it does not start.
    pub fn restart_entry(&mut self, index: usize) -> Result<(), Error> {
        let entry = &mut self.entries[index];
        entry.process.kill();
        let args = [entry.settings.display().to_string()];
        entry.process = Process::start("cowslip-entry", &args, &entry.log)?;
        wait_for_listener(entry.operator)
    }

    /// Rows of all engines for a ticket.
    #[must_use]
    pub fn engine_rows(&self) -> Vec<proto::Upstream> {
        self.engines
            .iter()
            .map(|engine| engine_row(&engine.name, engine.address, self.options.fencing))
            .collect()
    }

    /// Applies the first ticket and waits until every instance admits requests.
    ///
    /// # Errors
    /// Returns an error when the ticket is not accepted in time.
    pub fn configure(&self, number: u64) -> Result<Objects, Error> {
        wait_until("instances to know each other", || {
            (0..self.entries.len()).all(|index| {
                self.status(index).is_ok_and(|status| {
                    status.ready && status.instances.len() == self.entries.len()
                })
            })
        })?;
        let shop = engine_row("shop-0", self.service_address, proto::Fencing::Ignored);
        let (ticket, objects) = first_ticket(number, self.engine_rows(), vec![shop]);
        match self.apply(0, &ticket)? {
            proto::TicketReply::Accepted(accepted) => {
                self.wait_for_offset(accepted.offset)?;
                Ok(objects)
            }
            other => AnswerSnafu { what: "first ticket", text: to_json(&other) }.fail(),
        }
    }

    /// Waits until every instance has folded the entry at `offset`.
    ///
    /// # Errors
    /// Returns an error when that takes too long.
    pub fn wait_for_offset(&self, offset: u64) -> Result<(), Error> {
        wait_until("the ticket everywhere", || {
            (0..self.entries.len())
                .all(|index| self.status(index).is_ok_and(|status| status.next_offset > offset))
        })
    }

    /// Gives a ticket to an instance.
    ///
    /// # Errors
    /// Returns an error when the instance does not answer.
    pub fn apply(&self, index: usize, ticket: &proto::Ticket) -> Result<proto::TicketReply, Error> {
        post(self.entries[index].operator, "/tickets", ticket)
    }

    /// Status of an instance.
    ///
    /// # Errors
    /// Returns an error when the instance does not answer.
    pub fn status(&self, index: usize) -> Result<proto::StatusReport, Error> {
        self.get(self.entries[index].operator, "/status")
    }

    /// A caller's request to an instance.
    ///
    /// # Errors
    /// Returns an error when no whole answer comes.
    pub fn call(
        &self,
        index: usize,
        method: &Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, Error> {
        request(method, &format!("http://{}{path}", self.entries[index].caller), headers, body)
    }

    /// What an engine has seen.
    ///
    /// # Errors
    /// Returns an error when the engine does not answer.
    pub fn engine_stats(&self, index: usize) -> Result<proto::EngineStats, Error> {
        self.get(self.engines[index].address, "/stats")
    }

    /// The service's ledger.
    ///
    /// # Errors
    /// Returns an error when the service does not answer.
    pub fn ledger(&self) -> Result<proto::Ledger, Error> {
        self.get(self.service_address, "/ledger")
    }

    /// Sets the faults of a stand-in.
    ///
    /// # Errors
    /// Returns an error when the stand-in does not answer.
    pub fn set_faults<M>(&self, address: SocketAddr, faults: &M) -> Result<(), Error>
    where
        M: Serialize,
    {
        post::<M, serde_json::Value>(address, "/faults", faults).map(drop)
    }

    /// Reads JSON from a process.
    ///
    /// # Errors
    /// Returns an error when no answer of the schema comes.
    pub fn get<T>(&self, address: SocketAddr, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let answer = request(&Method::GET, &format!("http://{address}{path}"), &[], "")?;
        decode(path, &answer)
    }

    /// Waits for a condition.
    ///
    /// # Errors
    /// Returns an error when that takes too long.
    pub fn wait_until<F>(&self, what: &str, condition: F) -> Result<(), Error>
    where
        F: FnMut() -> bool,
    {
        wait_until(what, condition)
    }

    /// What an instance has logged.
    #[must_use]
    pub fn entry_log(&self, index: usize) -> String {
        std::fs::read_to_string(&self.entries[index].log).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // A test that failed leaves its logs to be read.
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
    let answer = request(&Method::POST, &format!("http://{address}{path}"), &[], &body)?;
    decode(path, &answer)
}

fn decode<T>(path: &str, answer: &Answer) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    from_json(answer.body.as_bytes())
        .map_err(|_| AnswerSnafu { what: path, text: &answer.body }.build())
}
