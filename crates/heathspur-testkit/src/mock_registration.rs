//! A mock registration service that records the reports it receives.

use crate::http1::Http1Client;
use serde_json::Value;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;

/// Serves a registration service on the listener in background threads and returns the reports it receives.
///
/// Each report is acknowledged with 204. A connection's thread panics on a request that is not a report of the
/// server `n3` of [`server_config`](crate::config::server_config); no later report on that connection is returned.
pub fn mock_registration(listener: TcpListener) -> Receiver<Value> {
    let (report_sender, reports) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let report_sender = report_sender.clone();
            thread::spawn(move || receive_reports(stream, report_sender));
        }
    });
    reports
}

fn receive_reports(stream: TcpStream, reports: mpsc::Sender<Value>) {
    let mut connection = Http1Client(BufReader::new(stream));
    while let Some((first_line, _, body)) = connection.read_message() {
        assert!(
            first_line.starts_with("PUT /announce/n3 HTTP/1.1"),
            "{first_line}"
        );
        let report = serde_json::from_slice(&body).expect("parse the report as JSON");
        let _ = reports.send(report);
        connection.send(b"HTTP/1.1 204 No Content\r\n\r\n");
    }
}
