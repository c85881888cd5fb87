//! Unit tests of `src/peers/interpreter/link.rs`, which includes this file as its test module.

use super::*;

/// The command with which each connection begins in these tests.
const CONNECT: &[u8] = b"{\"verb\":\"CONNECT\",\"index\":0}\n";

/// Returns the queued commands and the number of the last one.
fn take(link: &Link) -> (Vec<u8>, u64) {
    let mut commands = Vec::new();
    let last = link.take_queued(&mut commands);
    (commands, last)
}

// Guards against a second run: a command that was sent for a connection that had ended was written on the next one.
#[test]
fn commands_for_an_ended_connection_are_never_written() {
    let link = Link::new();
    link.begin_connection(0);
    link.open(1);
    link.send(Command::Stop("queued"));
    link.end_connection();
    link.send(Command::Stop("after its end"));
    link.begin_connection(0);
    // The event loop has not learnt of the end yet. It may even handle the first connection's handshake only now.
    link.send(Command::Stop("on the next connection"));
    link.open(1);
    link.send(Command::Stop("after a late handshake"));
    assert_eq!(take(&link), (CONNECT.to_vec(), 4));
    link.open(2);
    link.send(Command::Stop("x"));
    assert_eq!(
        take(&link),
        (b"{\"verb\":\"BREAK\",\"task\":\"x\"}\n".to_vec(), 5)
    );
}

#[test]
fn commands_are_written_only_once_marked() {
    let link = Link::new();
    link.begin_connection(0);
    link.open(1);
    assert_eq!(link.next_command(), 1);
    link.send(Command::Stop("x"));
    let (_, last) = take(&link);
    link.send(Command::Stop("y"));
    assert_eq!((last, link.last_written(), link.next_command()), (1, 0, 3));
    link.mark_written(last);
    link.end_connection();
    assert_eq!(link.last_written(), 1);
}
