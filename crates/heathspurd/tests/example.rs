//! Test of the example peers and the example configuration, started as the README describes.

use heathspur_testkit::prelude::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

#[test]
fn requests_through_example_peers_are_answered() {
    let example_config = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let mut config: Value =
        serde_json::from_slice(&std::fs::read(example_config).unwrap()).unwrap();
    for field in ["vm", "store", "announce"] {
        config[field] = json!(bind_loopback().local_addr().unwrap());
    }
    config["listen"] = json!("127.0.0.1:0");
    let file = write_config_file(&config.to_string());
    let peers_program = std::env::current_exe()
        .unwrap()
        .parent()
        .unwrap()
        .with_file_name("examples")
        .join("toy");
    let mut peers = ProcessGuard(
        Command::new(peers_program)
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap(),
    );
    let mut peer_output = BufReader::new(peers.0.stdout.take().unwrap())
        .lines()
        .map_while(Result::ok);
    assert_eq!(peer_output.next().as_deref(), Some("toy: ready"));
    let mut server = ProcessGuard(server_command(&file).spawn().unwrap());
    let first = BufReader::new(server.0.stderr.take().unwrap())
        .lines()
        .next()
        .unwrap()
        .unwrap();
    let address = first.rsplit(' ').next().unwrap().parse().expect(&first);
    assert!(peer_output.any(|line| line.contains("announced")));
    let mut client = Http1Client::connect(address);
    for (class, key) in [("look-up", ""), ("pay", "X-Txn-Key: 5c0f\r\n")] {
        client.send(
            format!(
                "POST /svc/{class} HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Ingress-Time: {}\r\n\
                 X-Merchant: acme\r\nX-Working-Set-Kb: 24.5\r\nX-Router: 1\r\n\
                 X-Shed-Order: 0.5\r\n{key}Content-Length: 5\r\n\r\nhello",
                unix_ms()
            )
            .as_bytes(),
        );
        let (status, _, body) = client.read_response();
        assert_eq!((status, &body[..]), (200, &b"HELLO"[..]));
    }
    server.terminate();
    assert_eq!(server.wait().code(), Some(0));
    std::fs::remove_file(file).unwrap();
}
