//! An announce service that passes on what is reported to it.

use crate::http1::Http1Client;
use serde_json::Value;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;

/// An announce service there, and what is reported to it.
pub fn mock_registration(announce: TcpListener) -> Receiver<Value> {
    let (report, reports) = mpsc::channel();
    thread::spawn(move || {
        for stream in announce.incoming().flatten() {
            let report = report.clone();
            thread::spawn(move || take_reports(stream, report));
        }
    });
    reports
}

fn take_reports(stream: TcpStream, report: mpsc::Sender<Value>) {
    let mut client = Http1Client(BufReader::new(stream));
    while let Some((first, _, body)) = client.read_message() {
        assert!(first.starts_with("PUT /announce/n3 HTTP/1.1"), "{first}");
        let _ = report.send(serde_json::from_slice(&body).unwrap());
        client.send(b"HTTP/1.1 204 No Content\r\n\r\n");
    }
}
