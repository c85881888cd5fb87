//! The results of a measurement as a Markdown page: one row for each value, with the requirement on it and whether it
//! is met.

use std::path::Path;
use std::process::ExitCode;

/// A row of the table.
struct Row {
    name: String,
    measured: String,
    required: String,
    met: bool,
}

/// Collects the rows of a measurement, prints them and writes them to a page.
pub struct Table {
    name: &'static str,
    rows: Vec<Row>,
    /// The figures of the verdict line.
    figures: Vec<String>,
    /// Titles and file names of charts.
    charts: Vec<(String, String)>,
    /// Where the measurement ran, in a sentence.
    environment: &'static str,
}

impl Table {
    /// Creates an empty table; its page is named `<name>.md`.
    pub fn new(name: &'static str) -> Table {
        let environment = "Everything on loopback, against stand-ins of this repository.";
        Table {
            name,
            rows: Vec::new(),
            figures: Vec::new(),
            charts: Vec::new(),
            environment,
        }
    }

    /// Prints and adds a row whose value has to meet a requirement.
    pub fn add_check(&mut self, name: &str, measured: String, required: &str, met: bool) {
        println!(
            "{:<4} {name}: {measured} ({required})",
            if met { "ok" } else { "FAIL" }
        );
        self.rows.push(Row {
            name: name.to_string(),
            measured,
            required: required.to_string(),
            met,
        });
    }

    /// Prints and adds a row without a requirement.
    pub fn add_value(&mut self, name: &str, measured: String) {
        self.add_check(name, measured, "-", true);
    }

    /// Adds a figure to the verdict line.
    pub fn add_figure(&mut self, figure: String) {
        self.figures.push(figure);
    }

    /// Replaces the sentence that states where the measurement ran.
    pub fn set_environment(&mut self, environment: &'static str) {
        self.environment = environment;
    }

    /// Adds a chart, whose file is in the directory of the page.
    pub fn add_chart(&mut self, title: &str, file: &str) {
        self.charts.push((title.to_string(), file.to_string()));
    }

    /// Writes the page to the directory `results` and prints the verdict line.
    ///
    /// Besides the charts that were added, the page shows `<name>-rates.svg` and `<name>-latency.svg` where they exist.
    /// The exit code is 0 when all requirements are met and the page is written.
    pub fn finish(self, results: &Path) -> ExitCode {
        let passed = self.rows.iter().all(|row| row.met);
        let verdict = if passed { "PASS" } else { "FAIL" };
        let mut page = format!("# Measured: {}\n\n{}\n\n", self.name, machine());
        page += &format!("{}\n\n", self.environment);
        page += "| what | measured | asked | holds |\n| --- | --- | --- | --- |\n";
        for row in &self.rows {
            page += &format!(
                "| {} | {} | {} | {} |\n",
                row.name,
                row.measured,
                row.required,
                if row.met { "yes" } else { "no" }
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
        ExitCode::from(u8::from(!passed || written.is_err()))
    }
}

/// Describes the date, the number of cores and the CPU model.
fn machine() -> String {
    let cpu_info = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = cpu_info
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
