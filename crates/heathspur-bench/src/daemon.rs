//! The daemon under measurement, with stand-ins that answer by themselves.

use heathspur_testkit::auto_stubs::{self, InterpreterOptions, RunCounts};
use heathspur_testkit::prelude::{bind_loopback, server_config, ProcessGuard};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;

pub struct Daemon {
    pub process: ProcessGuard,
    /// Where it listens for HTTP/1.1.
    pub address: SocketAddr,
    /// And for HTTP/2, where that is on.
    pub http2: Option<SocketAddr>,
    pub runs: RunCounts,
}

impl Daemon {
    /// Starts one; `command` names the program, `edit` changes its configuration.
    pub fn start(
        mut command: Command,
        folder: &Path,
        operator: Option<&Path>,
        manner: InterpreterOptions,
        edit: impl FnOnce(&mut Value),
    ) -> Daemon {
        let (vm, store, announce) = (bind_loopback(), bind_loopback(), bind_loopback());
        let at = |l: &std::net::TcpListener| l.local_addr().expect("an address");
        let mut settings = server_config(at(&vm), at(&announce), at(&store));
        settings["settings"]["realms"][0]["quota-per-s"] = json!(1e6);
        settings["settings"]["family-info"]["calls-by-class"] = json!([false, true]);
        settings["settings"]["family-info"]["mem-limit-kb"] = json!(90_000.0);
        edit(&mut settings);
        let file = folder.join("config.json");
        std::fs::write(&file, settings.to_string()).expect("the configuration is written");
        let runs = auto_stubs::interpreter_with(vm, manner);
        auto_stubs::registration(announce);
        command.env("NODE_CONFIG", &file).stderr(Stdio::piped());
        let mut further = false;
        if let Some(operator) = operator {
            command.args(["serve", "--operator"]).arg(operator);
            further = std::fs::read_to_string(operator).is_ok_and(|text| text.contains("<http2"));
        }
        let mut child = command.spawn().expect("the daemon starts");
        let mut lines = BufReader::new(child.stderr.take().expect("a pipe"))
            .lines()
            .map_while(Result::ok);
        let mut next = |words: &str| {
            let line = lines
                .find(|line| line.contains(words))
                .expect("the daemon says where it listens");
            line.rsplit(' ')
                .next()
                .and_then(|a| a.parse::<SocketAddr>().ok())
                .expect("an address")
        };
        let address = next("listening on");
        let http2 = further.then(|| next("listening for"));
        // Who stops reading a log may stop its writer; a panic is told.
        thread::spawn(move || {
            let mut shown = 0;
            for line in lines {
                if line.contains("panicked") || shown > 0 {
                    shown = (shown + 1) % 20;
                    eprintln!("{line}");
                }
            }
        });
        Daemon {
            process: ProcessGuard(child),
            address,
            http2,
            runs,
        }
    }

    /// Its memory at rest, in KiB.
    pub fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.0.id()));
        let text = status.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().split(' ').next()?.parse().ok())
            .unwrap_or(0)
    }

    /// Time on cores that its threads have had, in nanoseconds.
    pub fn cpu_nanos(&self) -> u64 {
        let folder = format!("/proc/{}/task", self.process.0.id());
        let threads = std::fs::read_dir(folder).into_iter().flatten().flatten();
        threads
            .filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok())
            .filter_map(|text| text.split(' ').next()?.parse::<u64>().ok())
            .sum()
    }
}
