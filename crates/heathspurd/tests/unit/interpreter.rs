//! Unit tests of `src/peers/interpreter/notices.rs`, which includes this file as its test module.

use super::*;
use futures_lite::future;

/// Returns the server's end and the interpreter's end of a new connection.
fn connection() -> (Stream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let interpreter = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (
        Stream::outgoing(
            async_io::Async::new(listener.accept().unwrap().0).unwrap(),
            None,
        ),
        interpreter,
    )
}

/// A notice that waits for space in the event queue when the connection ends must not count as accepted. Otherwise the
/// interpreter would not send it again, and it would be lost.
#[test]
fn notice_blocked_by_full_event_queue_is_not_accepted_when_connection_ends() {
    let (stream, mut interpreter) = connection();
    let (events, received) = async_channel::bounded::<InterpreterEvent>(1);
    for index in [1, 2] {
        let line = format!(
            "{{\"verb\":\"VALUE\",\"index\":{index},\"task\":\"9b1f03aa5c7e2d41\",\"outcome\":\"error\",\"spent\":1}}\n"
        );
        std::io::Write::write_all(&mut interpreter, line.as_bytes()).unwrap();
    }
    let mut sequence = NoticeSequence::default();
    // The first notice fills the queue. The second one is waiting for space when the connection ends.
    async_io::block_on(future::or(
        async {
            read_notices(&stream, &events, &mut sequence).await;
        },
        async {
            while !received.is_full() {
                future::yield_now().await;
            }
        },
    ));
    assert_eq!((sequence.last(), received.len()), (1, 1));
}
