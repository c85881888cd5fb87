//! Tests of the command line, the operator's file and the log of the server process.

use heathspur_testkit::prelude::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Writes a file to the temporary directory and returns its path.
fn write_temporary_file(name: &str, text: &str) -> PathBuf {
    let file = std::env::temp_dir().join(format!("heathspurd-{}-{name}", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file
}

/// Returns the text of an operator's file with these elements.
fn operator_file(elements: &str) -> String {
    format!("<operator xmlns=\"urn:heathspur:operator:1\">\n{elements}\n</operator>\n")
}

/// Runs the program to its end, with this path as its configuration.
fn run(arguments: &[&str], config: Option<&PathBuf>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathspurd"));
    command.args(arguments).env_remove("NODE_CONFIG");
    if let Some(config) = config {
        command.env("NODE_CONFIG", config);
    }
    command.output().unwrap()
}

/// Returns an address that refuses connections.
fn refusing_address() -> std::net::SocketAddr {
    bind_loopback().local_addr().unwrap()
}

#[test]
fn check_command_validates_files_and_errors_name_their_location() {
    let config = write_config_file(
        &server_config(refusing_address(), refusing_address(), refusing_address()).to_string(),
    );
    assert_eq!(run(&["check"], Some(&config)).status.code(), Some(0));
    let wrong = write_temporary_file("wrong.xml", &operator_file("<log format=\"yaml\"/>"));
    for command in ["check", "serve"] {
        let output = run(
            &[command, "--operator", wrong.to_str().unwrap()],
            Some(&config),
        );
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(
            stderr.contains("wrong.xml:2: log@format: unknown variant `yaml`"),
            "the error does not name the file, line and attribute: {stderr}"
        );
    }
    // The configuration limits the memory of the process to 192 MiB.
    let excessive = write_temporary_file(
        "greedy.xml",
        &operator_file("<record directory=\"/x\"><budget memory=\"49 MiB\"/></record>"),
    );
    let stderr = run(
        &["check", "--operator", excessive.to_str().unwrap()],
        Some(&config),
    )
    .stderr;
    assert!(String::from_utf8_lossy(&stderr).contains("where at most 48 MiB is expected"));
    assert_eq!(run(&["check"], None).status.code(), Some(2));
    assert_eq!(run(&["sreve"], Some(&config)).status.code(), Some(2));
    assert!(String::from_utf8_lossy(&run(&["--version"], None).stdout).starts_with("heathspurd "));
}

#[test]
fn json_log_lines_have_message_and_fields_and_are_limited_per_call_site() {
    let settings = server_config(refusing_address(), refusing_address(), refusing_address());
    let file = write_config_file(&settings.to_string());
    let log = write_temporary_file(
        "log.xml",
        &operator_file("<log format=\"json\" lines-per-second=\"1\"/>"),
    );
    let mut command = server_command(&file);
    command.args(["serve", "--operator"]).arg(&log);
    let mut server = ProcessGuard(command.spawn().unwrap());
    let lines = BufReader::new(server.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let mut lines = lines.map(|line| serde_json::from_str::<Value>(&line).expect(&line));
    let first = lines.next().unwrap();
    let address = first["address"].as_str().unwrap();
    assert_eq!(first["message"], json!(format!("listening on {address}")));
    assert!(
        first["level"] == "INFO" && first["timestamp"].is_string(),
        "expected level INFO and a timestamp: {first}"
    );
    assert!(TcpStream::connect(address).is_ok());
    // The interpreter refuses connections, which the server logs more than once per second.
    let left_out = lines
        .by_ref()
        .find(|line| line["left_out"].is_u64())
        .unwrap();
    assert!(left_out["left_out"].as_u64().unwrap() > 0);
    assert!(
        left_out["filename"].as_str().unwrap().ends_with(".rs"),
        "expected the name of a source file: {left_out}"
    );
    let next = lines.find(|line| line["message"].is_string()).unwrap();
    assert!(
        next["error"].as_str().unwrap().contains("refused"),
        "expected a refused connection: {next}"
    );
    server.terminate();
    assert_eq!(server.wait().code(), Some(0));
}

#[test]
fn plain_log_lines_contain_message_only_and_respect_level() {
    let file = write_config_file(
        &server_config(refusing_address(), refusing_address(), refusing_address()).to_string(),
    );
    let log = write_temporary_file("level.xml", &operator_file("<log level=\"warn\"/>"));
    let mut command = server_command(&file);
    command.args(["serve", "--operator"]).arg(&log);
    let mut server = ProcessGuard(command.spawn().unwrap());
    let first = BufReader::new(server.0.stderr.take().unwrap())
        .lines()
        .next()
        .unwrap()
        .unwrap();
    assert!(
        first.starts_with("heathspurd: ") && !first.contains("listening"),
        "expected a warning without the listen address: {first}"
    );
    assert!(
        first.contains("cannot connect to the interpreter at ")
            || first.contains("cannot report readiness to the registration service at "),
        "expected a failure to connect or to report: {first}"
    );
}
