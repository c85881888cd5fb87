//! Unit tests of `src/peers/store/mod.rs`, which includes this file as its test module.

use super::*;
use std::io::Read;
use std::net::TcpListener;

/// Abandoning a call must distinguish a call that was never written, which cannot have run, from one that was written
/// and may have run.
#[test]
fn abandoned_call_reports_connect_failure_only_if_never_written() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let executor = Rc::new(LocalExecutor::new());
    let (events, _events_received) = async_channel::bounded::<CallCompleted>(4);
    let link = Link::new(
        executor.clone(),
        Some(listener.local_addr().unwrap()),
        4,
        events,
        None,
        None,
    );
    let attempt = AttemptId::parse(b"9b1f03aa5c7e2d41").unwrap();
    let call = |n| Call {
        request: RequestId(1),
        id: CallId(n),
        attempt,
        timeout_ms: 250,
        body: Bytes::new(),
        new_connection: false,
    };
    link.call(call(1));
    assert_eq!(link.abandon(CallId(1)), Outcome::ConnectFailed);
    link.call(call(2));
    let store = std::thread::spawn(move || listener.accept().unwrap().0.read(&mut [0; 4]).unwrap());
    async_io::block_on(executor.run(async {
        while !store.is_finished() {
            futures_lite::future::yield_now().await;
        }
    }));
    assert_eq!(link.abandon(CallId(2)), Outcome::Timeout);
}
