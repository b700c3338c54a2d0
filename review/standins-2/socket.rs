//! Calls of the system that the standard library lacks: connections from a chosen loopback address,
//! and processes that end with the one that started them.

use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::process::Command;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn kill(process_id: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const ADDRESS_BYTES: u32 = 16;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const SIGSTOP: i32 = 19;

/// Stops a process of this case.
pub fn freeze(process_id: u32) {
    if let Ok(process_id) = i32::try_from(process_id) {
        // SAFETY: the call only takes numbers.
        unsafe { kill(process_id, SIGSTOP) };
    }
}

/// Has a process end when the thread that starts it ends.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    // SAFETY: the closure only makes one system call.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

/// Connects from `source`, a loopback address, to `target`.
pub fn connect_from(source: [u8; 4], target: SocketAddr) -> Option<TcpStream> {
    open(source, None, target)
}

/// Connects to `target` with a small window for what it sends.
pub fn connect_with_window(window_bytes: i32, target: SocketAddr) -> Option<TcpStream> {
    open([127, 0, 0, 1], Some(window_bytes), target)
}

fn open(source: [u8; 4], window_bytes: Option<i32>, target: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(target) = target else { return None };
    let family = AF_INET as u16;
    let from = SockAddrIn { family, port: [0; 2], address: source, zero: [0; 8] };
    let port = target.port().to_be_bytes();
    let to = SockAddrIn { family, port, address: target.ip().octets(), zero: [0; 8] };
    // SAFETY: all arguments live for the calls, and the descriptor is owned by the stream at once.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        if let Some(window_bytes) = window_bytes {
            let _ = setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, 4);
        }
        let is_connected =
            bind(fd, &from, ADDRESS_BYTES) == 0 && connect(fd, &to, ADDRESS_BYTES) == 0;
        is_connected.then_some(stream)
    }
}
