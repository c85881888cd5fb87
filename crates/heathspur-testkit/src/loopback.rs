//! Loopback listeners, and connections to them that must come in time.

use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// No event of a test takes so long; one that never comes fails it.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

pub fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// The next connection; one that never comes fails the test.
pub fn accept(listener: &TcpListener) -> TcpStream {
    let start = Instant::now();
    listener.set_nonblocking(true).unwrap();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
                return stream;
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                thread::sleep(Duration::from_millis(1))
            }
            Err(e) => panic!("{e}"),
        }
        assert!(start.elapsed() < EVENT_TIMEOUT, "no connection came");
    }
}
