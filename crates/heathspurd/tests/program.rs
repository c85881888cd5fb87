//! The command line, the operator's file and the log, as the process shows them.

use heathspur_testkit::prelude::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Command, Output};

fn temporary(name: &str, text: &str) -> PathBuf {
    let file = std::env::temp_dir().join(format!("heathspurd-{}-{name}", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file
}

fn operator(inner: &str) -> String {
    format!("<operator xmlns=\"urn:heathspur:operator:1\">\n{inner}\n</operator>\n")
}

fn run(arguments: &[&str], config: Option<&PathBuf>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathspurd"));
    command.args(arguments).env_remove("NODE_CONFIG");
    if let Some(config) = config {
        command.env("NODE_CONFIG", config);
    }
    command.output().unwrap()
}

fn nobody() -> std::net::SocketAddr {
    bind_loopback().local_addr().unwrap()
}

#[test]
fn files_are_checked_without_serving_and_a_mistake_names_its_place() {
    let config = write_config_file(&server_config(nobody(), nobody(), nobody()).to_string());
    assert_eq!(run(&["check"], Some(&config)).status.code(), Some(0));
    let wrong = temporary("wrong.xml", &operator("<log format=\"yaml\"/>"));
    for command in ["check", "serve"] {
        let output = run(
            &[command, "--operator", wrong.to_str().unwrap()],
            Some(&config),
        );
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(
            said.contains("wrong.xml:2: log@format: unknown variant `yaml`"),
            "{said}"
        );
    }
    // The configuration gives the process 192 MiB.
    let greedy = temporary(
        "greedy.xml",
        &operator("<record directory=\"/x\"><budget memory=\"49 MiB\"/></record>"),
    );
    let said = run(
        &["check", "--operator", greedy.to_str().unwrap()],
        Some(&config),
    )
    .stderr;
    assert!(String::from_utf8_lossy(&said).contains("48 MiB at most"));
    assert_eq!(run(&["check"], None).status.code(), Some(2));
    assert_eq!(run(&["sreve"], Some(&config)).status.code(), Some(2));
    assert!(String::from_utf8_lossy(&run(&["--version"], None).stdout).starts_with("heathspurd "));
}

#[test]
fn lines_of_json_carry_words_and_fields_and_their_bound_counts_by_place() {
    let settings = server_config(nobody(), nobody(), nobody());
    let file = write_config_file(&settings.to_string());
    let log = temporary(
        "log.xml",
        &operator("<log format=\"json\" lines-per-second=\"1\"/>"),
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
        "{first}"
    );
    assert!(TcpStream::connect(address).is_ok());
    // Nobody is there to be linked to, which it says more than once a second.
    let left_out = lines
        .by_ref()
        .find(|line| line["left_out"].is_u64())
        .unwrap();
    assert!(left_out["left_out"].as_u64().unwrap() > 0);
    assert!(
        left_out["filename"].as_str().unwrap().ends_with(".rs"),
        "{left_out}"
    );
    let next = lines.find(|line| line["message"].is_string()).unwrap();
    assert!(
        next["error"].as_str().unwrap().contains("refused"),
        "{next}"
    );
    server.terminate();
    assert_eq!(server.wait().code(), Some(0));
}

#[test]
fn plain_lines_are_the_words_alone_and_levels_are_left_out() {
    let file = write_config_file(&server_config(nobody(), nobody(), nobody()).to_string());
    let log = temporary("level.xml", &operator("<log level=\"warn\"/>"));
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
        "{first}"
    );
    assert!(
        first.contains("no link to the interpreter: ") || first.contains("announce service"),
        "{first}"
    );
}
