//! The open channels of the instances to the store go silent; later the two instances that read the
//! store for all lose power while a key is taken away.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{
    HOST, Instance, KEY, Record, Settings, Upstream, answer_soundly, config, config_with_keys,
    start_upstream,
};
use crate::store::Store;

/// `config_ms` and `contact_ms` of the deployment.
const CONFIG: Duration = Duration::from_millis(2_500);
const CONTACT: Duration = Duration::from_millis(4_000);
/// Instances and their zones, as in the deployment. The first one by name of each of the first two
/// regions reads the store for all.
const INSTANCES: [(&str, &str); 6] = [
    ("edge-uusimaa-a-1", "uusimaa-a"),
    ("edge-uusimaa-a-2", "uusimaa-a"),
    ("edge-pirkanmaa-a-1", "pirkanmaa-a"),
    ("edge-pirkanmaa-a-2", "pirkanmaa-a"),
    ("edge-pirkanmaa-a-3", "pirkanmaa-a"),
    ("edge-pohjanmaa-a-1", "pohjanmaa-a"),
];
const LOST: [usize; 2] = [2, 5];
const WATCHED: [usize; 4] = [0, 1, 3, 4];
const CALM: Duration = Duration::from_secs(20);
/// Time from the silence to the loss of power: all machines are in touch again by then.
const UNTIL_LOSS: Duration = Duration::from_millis(5_000);
/// Time without power.
const DARK: Duration = Duration::from_millis(3_500);
const WATCH: Duration = Duration::from_secs(8);
const ASK_EVERY: Duration = Duration::from_millis(100);
const DROPPED_KEY: &str = "key-of-beta";

/// A proxy whose open connections can go silent for good while new ones work.
#[derive(Clone)]
struct Link {
    address: SocketAddr,
    generation: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
}

impl Link {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let link = Self { address, generation: Arc::default(), opened: Arc::default() };
        let serving = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                serving.opened.fetch_add(1, Ordering::Relaxed);
                let generation = serving.generation.load(Ordering::Relaxed);
                let ends = [(&near, &far), (&far, &near)];
                for (from, to) in ends {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let current = serving.generation.clone();
                    thread::spawn(move || pump(from, to, generation, &current));
                }
            }
        });
        link
    }

    fn silence(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, generation: u64, current: &AtomicU64) {
    let mut bytes = [0; 16_384];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        if generation != current.load(Ordering::Relaxed) {
            // Silent: nothing is passed on any more, not even the end.
            if count == 0 {
                return;
            }
            continue;
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("keyed.op", "config", &config(1));
    for (number, id) in ["i-app0", "i-app1", "i-app2"].into_iter().enumerate() {
        let upstream = Upstream { id, service: "app", zone: "uusimaa-a", stage: None };
        let work = Duration::from_millis(20);
        let answer =
            move |request: &_, tcp: &mut _, number| answer_soundly(request, tcp, number, work);
        start_upstream(&store, &upstream, number, Arc::new(answer));
    }
    let link = Link::start(store.address);
    let settings = Settings { memory_mb: 260, max_fds: 4_100 };
    let launch = |index: usize| {
        let (name, zone) = INSTANCES[index];
        let platform = link.address;
        Instance::launch(name, zone, platform, &settings)
    };
    let mut instances: Vec<Option<Instance>> = (0..INSTANCES.len()).map(launch).collect();
    if !instances.iter().flatten().all(Instance::wait_until_ready)
        || instances.iter().any(Option::is_none)
    {
        record.line("an instance did not get ready");
        return Outcome::CouldNotRun;
    }
    record.line("all instances are ready");
    let targets: Vec<SocketAddr> = WATCHED
        .iter()
        .filter_map(|index| instances[*index].as_ref())
        .map(|instance| instance.caller)
        .collect();
    thread::sleep(CALM);
    if has_trouble {
        let opened = link.opened.load(Ordering::Relaxed);
        record.line(&format!(
            "the open channels to the store go silent; {opened} were opened so far"
        ));
        link.silence();
    }
    thread::sleep(UNTIL_LOSS);
    assert!(UNTIL_LOSS > CONTACT);
    if has_trouble {
        for index in LOST {
            // A machine without power doesn't answer and closes nothing.
            if let Some(instance) = &instances[index] {
                instance.freeze();
            }
            record.line(&format!("{} loses power", INSTANCES[index].0));
        }
    }
    let lost_at = Instant::now();
    store.put("keyed.op", "config", &config_with_keys(2, &[("alpha", KEY)]));
    let confirmed = Instant::now();
    record.line("version 2 without the key of beta is confirmed");
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut number = 0;
    let mut is_back = false;
    while confirmed.elapsed() < WATCH {
        for (index, target) in WATCHED.into_iter().zip(targets.iter().copied()) {
            number += 1;
            let (answers, sent) = (answers.clone(), confirmed.elapsed());
            let attempt = format!("w{number}");
            thread::spawn(move || {
                let status = look_up(&attempt, target).unwrap_or(0);
                answers.lock().unwrap().push((sent, attempt, INSTANCES[index].0, status));
            });
        }
        if has_trouble && !is_back && lost_at.elapsed() >= DARK {
            is_back = true;
            for index in LOST {
                // Ended first, since the new process takes no part of the old one.
                instances[index] = None;
                instances[index] = launch(index);
                record.line(&format!("{} has power again", INSTANCES[index].0));
            }
        }
        thread::sleep(ASK_EVERY);
    }
    thread::sleep(Duration::from_secs(1));
    let mut answers = answers.lock().unwrap().clone();
    answers.sort();
    for (sent, attempt, name, status) in &answers {
        let sent_s = sent.as_secs_f64();
        record.line(&format!(
            "{attempt} with the dropped key, sent to {name} {sent_s:.3} s after: {status}"
        ));
    }
    let late = answers.iter().filter(|(sent, .., status)| *sent > CONFIG && *status == 200);
    let late: Vec<f64> = late.map(|(sent, ..)| sent.as_secs_f64()).collect();
    record.line(&format!(
        "{} requests with the dropped key were run though sent later than {:.1} s after, the last one {:.3} s",
        late.len(),
        CONFIG.as_secs_f64(),
        late.last().copied().unwrap_or_default()
    ));
    if answers.iter().all(|(.., status)| *status != 401) {
        record.line("the key was never refused");
    }
    if late.is_empty() { Outcome::Held } else { Outcome::Broken }
}

fn look_up(attempt: &str, target: SocketAddr) -> Option<u16> {
    let mut tcp = TcpStream::connect_timeout(&target, Duration::from_secs(1)).ok()?;
    tcp.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let text = format!(
        "GET /look/a HTTP/1.1\r\nhost: {HOST}\r\ncowslipvale-attempt-id: {attempt}\r\n\
         cowslipvale-deadline-ms: 3000\r\nconnection: close\r\nauthorization: Bearer {DROPPED_KEY}\r\n\r\n"
    );
    tcp.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let _ = tcp.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()
}
