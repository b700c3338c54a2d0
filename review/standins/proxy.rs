//! A proxy whose open channels can go silent for good, without a reset, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// For each channel, whether it is silent.
    channels: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let proxy = Self { address, channels: Arc::default() };
        let channels = proxy.channels.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let is_silent = Arc::new(AtomicBool::new(false));
                channels.lock().unwrap().push(is_silent.clone());
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (near_reader, far_reader) =
                    (near.try_clone().unwrap(), far.try_clone().unwrap());
                let is_silent_too = is_silent.clone();
                std::thread::spawn(move || forward(near_reader, far, &is_silent));
                std::thread::spawn(move || forward(far_reader, near, &is_silent_too));
            }
        });
        proxy
    }

    /// Silences all channels that are open now; returns their number since the last time.
    pub fn silence(&self) -> usize {
        let channels = std::mem::take(&mut *self.channels.lock().unwrap());
        channels.iter().for_each(|is_silent| is_silent.store(true, Ordering::SeqCst));
        channels.len()
    }
}

/// Copies bytes until a side closes; a silent channel loses them and stays open.
fn forward(mut from: TcpStream, mut to: TcpStream, is_silent: &AtomicBool) {
    let mut chunk = [0; 65_536];
    loop {
        match from.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => {
                if !is_silent.load(Ordering::SeqCst) && to.write_all(&chunk[..count]).is_err() {
                    break;
                }
            }
        }
    }
    if !is_silent.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }
}
