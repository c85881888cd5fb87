//! The toy and the example configuration, used as the README tells a newcomer to.

use heathspur_testkit::prelude::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

#[test]
fn a_newcomer_gets_an_answer_from_the_toy() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let mut config: Value = serde_json::from_slice(&std::fs::read(root).unwrap()).unwrap();
    for field in ["vm", "store", "announce"] {
        config[field] = json!(bind_loopback().local_addr().unwrap());
    }
    config["listen"] = json!("127.0.0.1:0");
    let file = write_config_file(&config.to_string());
    let toy = std::env::current_exe()
        .unwrap()
        .parent()
        .unwrap()
        .with_file_name("examples")
        .join("toy");
    let mut toy = ProcessGuard(
        Command::new(toy)
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap(),
    );
    let mut said = BufReader::new(toy.0.stdout.take().unwrap())
        .lines()
        .map_while(Result::ok);
    assert_eq!(said.next().as_deref(), Some("toy: ready"));
    let mut server = ProcessGuard(server_command(&file).spawn().unwrap());
    let first = BufReader::new(server.0.stderr.take().unwrap())
        .lines()
        .next()
        .unwrap()
        .unwrap();
    let address = first.rsplit(' ').next().unwrap().parse().expect(&first);
    assert!(said.any(|line| line.contains("announced")));
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
