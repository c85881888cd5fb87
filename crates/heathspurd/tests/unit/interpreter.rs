//! Unit tests of `src/interpreter.rs`, which names this file as its module of tests.

use super::*;

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
fn a_notice_that_the_owner_has_no_room_for_is_not_taken_when_the_link_ends() {
    let (stream, mut theirs) = pair();
    let (events, heard) = async_channel::bounded::<Event>(1);
    for index in [1, 2] {
        let line = format!(
            "{{\"verb\":\"VALUE\",\"index\":{index},\"task\":\"9b1f03aa5c7e2d41\",\"outcome\":\"error\",\"spent\":1}}\n"
        );
        std::io::Write::write_all(&mut theirs, line.as_bytes()).unwrap();
    }
    let mut count = Count::default();
    // The first notice takes up the room; the second waits, and then the link ends under it.
    async_io::block_on(future::or(
        async {
            listen(&stream, &events, &mut count).await;
        },
        async {
            while !heard.is_full() {
                future::yield_now().await;
            }
        },
    ));
    assert_eq!((count.last(), heard.len()), (1, 1));
}
