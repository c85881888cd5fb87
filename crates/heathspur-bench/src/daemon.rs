//! The server process under measurement, with stubs of the interpreter and the registration service.

use heathspur_testkit::auto_stubs::{self, InterpreterOptions, RunCounts};
use heathspur_testkit::prelude::{bind_loopback, server_config, ProcessGuard};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;

/// A running server process, killed when dropped.
pub struct Daemon {
    /// The server process.
    pub process: ProcessGuard,
    /// The address of the HTTP/1.1 listener.
    pub http1_address: SocketAddr,
    /// The address of the HTTP/2 listener, if it is enabled.
    pub http2_address: Option<SocketAddr>,
    /// How often the interpreter ran each request body, keyed by the body in base64.
    pub run_counts: RunCounts,
}

impl Daemon {
    /// Starts a server and waits until it listens.
    ///
    /// `command` names the program; the configuration, as changed by `edit`, is written to `folder`. The server is
    /// expected to listen for HTTP/2 when the file `operator` has an `http2` element.
    ///
    /// # Panics
    ///
    /// Panics if the server doesn't start or exits before it logs its addresses.
    pub fn start(
        mut command: Command,
        folder: &Path,
        operator: Option<&Path>,
        interpreter_options: InterpreterOptions,
        edit: impl FnOnce(&mut Value),
    ) -> Daemon {
        let (interpreter, store, registration) =
            (bind_loopback(), bind_loopback(), bind_loopback());
        let address_of = |listener: &TcpListener| {
            listener
                .local_addr()
                .expect("failed to read the address of a listener")
        };
        let mut config = server_config(
            address_of(&interpreter),
            address_of(&registration),
            address_of(&store),
        );
        config["settings"]["realms"][0]["quota-per-s"] = json!(1e6);
        config["settings"]["family-info"]["calls-by-class"] = json!([false, true]);
        config["settings"]["family-info"]["mem-limit-kb"] = json!(90_000.0);
        edit(&mut config);
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap_or_else(|e| {
            panic!("failed to write the configuration {}: {e}", file.display())
        });
        let run_counts = auto_stubs::interpreter_with(interpreter, interpreter_options);
        auto_stubs::registration(registration);
        command.env("NODE_CONFIG", &file).stderr(Stdio::piped());
        let mut http2_enabled = false;
        if let Some(operator) = operator {
            command.args(["serve", "--operator"]).arg(operator);
            http2_enabled =
                std::fs::read_to_string(operator).is_ok_and(|text| text.contains("<http2"));
        }
        let mut child = command.spawn().expect("failed to start the server");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr is piped"))
            .lines()
            .map_while(Result::ok);
        let mut next_logged_address = |message: &str| {
            let line = lines
                .find(|line| line.contains(message))
                .unwrap_or_else(|| panic!("the server exited before it logged {message:?}"));
            line.rsplit(' ')
                .next()
                .and_then(|address| address.parse::<SocketAddr>().ok())
                .unwrap_or_else(|| panic!("the log line does not end with an address: {line}"))
        };
        let http1_address = next_logged_address("listening on");
        let http2_address = http2_enabled.then(|| next_logged_address("listening for"));
        // The log is read to its end, since a full pipe would block the server. A line about a panic is printed with
        // the 19 lines after it.
        thread::spawn(move || {
            let mut printed = 0;
            for line in lines {
                if line.contains("panicked") || printed > 0 {
                    printed = (printed + 1) % 20;
                    eprintln!("{line}");
                }
            }
        });
        Daemon {
            process: ProcessGuard(child),
            http1_address,
            http2_address,
            run_counts,
        }
    }

    /// Returns the resident memory of the process in KiB, or 0 if it can't be read.
    pub fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.0.id()));
        let text = status.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().split(' ').next()?.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the CPU time of all threads of the process, in nanoseconds.
    pub fn cpu_nanos(&self) -> u64 {
        let folder = format!("/proc/{}/task", self.process.0.id());
        let threads = std::fs::read_dir(folder).into_iter().flatten().flatten();
        threads
            .filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok())
            .filter_map(|text| text.split(' ').next()?.parse::<u64>().ok())
            .sum()
    }
}
