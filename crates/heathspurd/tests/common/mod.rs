//! Peers that are not there at first: they refuse connections, or take none.
// Each test program uses its own part.
#![allow(dead_code)]

use heathspur_testkit::prelude::*;
use procfs::net::TcpState;
use rustix::net::{AddressFamily, SocketType};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// An address that refuses connections until it is [`up`]; nobody else gets it meanwhile.
pub fn refusing() -> TcpListener {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    rustix::net::bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    TcpListener::from(socket)
}

/// Listens from now on.
pub fn up(listener: TcpListener) -> TcpListener {
    rustix::net::listen(&listener, 64).unwrap();
    listener
}

/// Longer than a dial was once waited for; its packet is sent again after about each second.
pub const SLOW: Duration = Duration::from_millis(1500);

/// A listener that takes no connection for now: its queue is full, so the system drops packets of a dial.
pub struct Full {
    pub listener: TcpListener,
    _first: TcpStream,
}

impl Full {
    pub fn new() -> Full {
        let listener = bind_loopback();
        rustix::net::listen(&listener, 0).unwrap();
        let _first = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        Full { listener, _first }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits until one and the same dial has stood for `SLOW`, and makes room for one connection then.
    pub fn let_in(self) -> TcpListener {
        let (start, mut dials) = (Instant::now(), HashMap::new());
        loop {
            assert!(start.elapsed() < EVENT_TIMEOUT, "no dial stood so long");
            let open: Vec<_> = procfs::net::tcp().unwrap();
            let open = open
                .iter()
                .filter(|c| c.state == TcpState::SynSent && c.remote_address == self.address());
            let open: Vec<_> = open.map(|c| c.inode).collect();
            dials.retain(|dial, _| open.contains(dial));
            for dial in open {
                dials.entry(dial).or_insert_with(Instant::now);
            }
            if dials.values().any(|since| since.elapsed() >= SLOW) {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        drop(accept(&self.listener));
        self.listener
    }
}
