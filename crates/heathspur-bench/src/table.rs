//! The table of a measurement: what was measured, what was asked, whether it holds.

use std::path::Path;
use std::process::ExitCode;

pub struct Table {
    name: &'static str,
    rows: Vec<(String, String, String, bool)>,
    figures: Vec<String>,
    charts: Vec<(String, String)>,
    where_run: &'static str,
}

impl Table {
    pub fn new(name: &'static str) -> Table {
        let where_run = "Everything on loopback, against stand-ins of this repository.";
        Table {
            name,
            rows: Vec::new(),
            figures: Vec::new(),
            charts: Vec::new(),
            where_run,
        }
    }

    /// A row with what is asked of it.
    pub fn row(&mut self, what: &str, got: String, asked: &str, holds: bool) {
        println!(
            "{:<4} {what}: {got} ({asked})",
            if holds { "ok" } else { "FAIL" }
        );
        self.rows
            .push((what.to_string(), got, asked.to_string(), holds));
    }

    /// A row that only tells.
    pub fn tell(&mut self, what: &str, got: String) {
        self.row(what, got, "-", true);
    }

    /// A figure of the last line.
    pub fn figure(&mut self, figure: String) {
        self.figures.push(figure);
    }

    /// Another word on where things ran.
    pub fn ran(&mut self, where_run: &'static str) {
        self.where_run = where_run;
    }

    /// A chart beside the page.
    pub fn chart(&mut self, title: &str, file: &str) {
        self.charts.push((title.to_string(), file.to_string()));
    }

    /// Writes the page, prints the last line.
    pub fn finish(self, results: &Path) -> ExitCode {
        let holds = self.rows.iter().all(|row| row.3);
        let verdict = if holds { "PASS" } else { "FAIL" };
        let mut page = format!("# Measured: {}\n\n{}\n\n", self.name, machine());
        page += &format!("{}\n\n", self.where_run);
        page += "| what | measured | asked | holds |\n| --- | --- | --- | --- |\n";
        for (what, got, asked, holds) in &self.rows {
            page += &format!(
                "| {what} | {got} | {asked} | {} |\n",
                if *holds { "yes" } else { "no" }
            );
        }
        for (title, chart) in [("Requests a second", "rates"), ("Latency", "latency")] {
            let file = format!("{}-{chart}.svg", self.name);
            if results.join(&file).is_file() {
                page += &format!("\n![{title}]({file})\n");
            }
        }
        for (title, file) in &self.charts {
            page += &format!("\n![{title}]({file})\n");
        }
        let written = std::fs::write(results.join(format!("{}.md", self.name)), page);
        println!("{}: {verdict} {}", self.name, self.figures.join(", "));
        ExitCode::from(u8::from(!holds || written.is_err()))
    }
}

fn machine() -> String {
    let cpus = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = cpus
        .lines()
        .find_map(|line| line.strip_prefix("model name"))
        .unwrap_or(": unknown");
    let model = model.trim_start_matches(['\t', ' ', ':']);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let date = std::process::Command::new("date").arg("+%Y-%m-%d").output();
    let date = date
        .map(|out| String::from_utf8_lossy(&out.stdout).trim().to_string())
        .unwrap_or_default();
    format!("{date}, {cores} cores of {model}.")
}
