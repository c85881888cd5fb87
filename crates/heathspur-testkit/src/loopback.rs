//! Listeners on loopback, and the timeout within which a test's events must happen.

use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout for any event that a test waits for; an event that takes longer fails the test.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Binds a TCP listener to a free port on loopback.
///
/// # Panics
///
/// Panics if no port can be bound.
pub fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("bind a TCP listener to a free loopback port")
}

/// Accepts the next connection, with [`EVENT_TIMEOUT`] as its read timeout.
///
/// # Panics
///
/// Panics if no connection arrives within [`EVENT_TIMEOUT`].
pub fn accept(listener: &TcpListener) -> TcpStream {
    let start = Instant::now();
    listener
        .set_nonblocking(true)
        .expect("set the listener to non-blocking mode");
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream
                    .set_nonblocking(false)
                    .expect("set the accepted connection to blocking mode");
                stream
                    .set_read_timeout(Some(EVENT_TIMEOUT))
                    .expect("set the read timeout of the accepted connection");
                return stream;
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                thread::sleep(Duration::from_millis(1))
            }
            Err(e) => panic!("accept a connection: {e}"),
        }
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "no connection arrived within {EVENT_TIMEOUT:?}"
        );
    }
}
