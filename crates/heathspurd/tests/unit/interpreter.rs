//! Unit tests of `src/peers/interpreter/notices.rs`, which names this file as its module of tests.

use super::*;
use futures_lite::future;

/// Both ends of a connection.
fn pair() -> (Stream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let theirs = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (
        Stream::made(
            async_io::Async::new(listener.accept().unwrap().0).unwrap(),
            None,
        ),
        theirs,
    )
}

#[test]
fn a_notice_that_the_full_event_queue_did_not_take_is_not_accepted_when_the_connection_ends() {
    let (stream, mut theirs) = pair();
    let (events, received) = async_channel::bounded::<InterpreterEvent>(1);
    for index in [1, 2] {
        let line = format!(
            "{{\"verb\":\"VALUE\",\"index\":{index},\"task\":\"9b1f03aa5c7e2d41\",\"outcome\":\"error\",\"spent\":1}}\n"
        );
        std::io::Write::write_all(&mut theirs, line.as_bytes()).unwrap();
    }
    let mut sequence = NoticeSequence::default();
    // The first notice fills the queue; the second waits, and then the connection ends.
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
