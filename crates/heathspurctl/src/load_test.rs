//! `load`: sends requests to servers at their intended times, over HTTP/1.1 or HTTP/2. `heathspur-load` provides the
//! schedule and the audit; this module provides the clock, the connections and the files.

use crate::charts;
use crate::error::Error;
use crate::load_target::Target;
use crate::table::plain;
use async_executor::LocalExecutor;
use async_io::Timer;
use clap::Args;
use futures_lite::future;
use heathspur_load::audit::{Audit, ClassStats, Outcome, SecondStats};
use heathspur_load::plan::{Plan, Protocol};
use heathspur_load::schedule::{Schedule, ScheduledRequest};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time from the creation of the run to the start of its schedule, for the first connections.
const START_DELAY: Duration = Duration::from_millis(100);
/// Interval at which the end of the last requests is checked.
const COMPLETION_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Bits of a run's ID that are zero; the number of the request is put there.
const REQUEST_NUMBER_BITS: u64 = 0xff_ffff_ffff;
/// Number of points of the latency curve, minus one.
const QUANTILE_STEPS: u32 = 400;

#[derive(Debug, Args)]
pub struct Options {
    /// Path of the plan, an XML file (schema: crates/heathspur-load/plan.xsd)
    plan: PathBuf,
    /// Check the plan and print its duration, without sending requests
    #[arg(long)]
    check: bool,
    /// Write report.json and charts into this folder, which is created if it does not exist
    #[arg(long, value_name = "FOLDER")]
    report: Option<PathBuf>,
}

/// State shared by all requests of a run.
struct Run {
    plan: Plan,
    targets: Vec<Target>,
    audit: RefCell<Audit>,
    /// Number of requests in flight.
    in_flight: Cell<u32>,
    start: Instant,
    /// Derived from the start time, so that request IDs and idempotency keys differ from those of earlier runs. Runs that
    /// start in the same period of 2^40 ns (18 minutes) have the same ID.
    id: u64,
}

impl Run {
    /// Returns the time since the start of the schedule, in nanoseconds.
    fn elapsed_nanos(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// Returns the path, the header fields and the body of a request. Field names are in lower case, as HTTP/2
    /// requires.
    fn request_parts(
        &self,
        request: &ScheduledRequest,
    ) -> (String, Vec<(&'static str, String)>, Vec<u8>) {
        let class = &self.plan.classes[request.class];
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut fields = vec![
            ("x-txn", format!("{:016x}", self.id ^ request.number)),
            ("x-ingress-time", unix_time.as_millis().to_string()),
            ("x-router", "1".to_string()),
            ("x-working-set-kb", "24".to_string()),
            ("x-shed-order", "0.5".to_string()),
        ];
        if let Some(tenant) = &class.tenant {
            fields.push(("x-merchant", tenant.clone()));
        }
        if class.keyed {
            fields.push((
                "x-txn-key",
                format!("{:016x}-{:x}", self.id, request.first_attempt),
            ));
        }
        if request.is_retry() {
            fields.push(("x-second-try", "1".to_string()));
        }
        // All attempts of one request carry the same body.
        let mut body = format!("{:016x}", request.first_attempt).into_bytes();
        body.resize(class.body_size.0 as usize, b'.');
        (format!("/svc/{}", class.name), fields, body)
    }
}

/// Runs a plan, prints a summary and writes the report.
pub fn run(options: &Options) -> Result<(), Error> {
    let plan = Plan::read(&options.plan).map_err(Error::Plan)?;
    let seconds = Schedule::duration_nanos(&plan) as f64 / 1e9;
    if options.check {
        println!("{}: valid; {seconds} s", options.plan.display());
        return Ok(());
    }
    let audit = run_plan(plan.clone());
    print_summary(&plan, &audit);
    if let Some(folder) = &options.report {
        write_report(folder, &plan, &audit).map_err(|source| Error::File {
            path: folder.clone(),
            source,
        })?;
    }
    match (audit.unanswered(), audit.mismatched_retries) {
        (0, 0) => Ok(()),
        (unanswered, mismatched_retries) => Err(Error::LoadFailed {
            unanswered,
            mismatched_retries,
        }),
    }
}

/// Sends all requests of a plan and waits until they have ended.
fn run_plan(plan: Plan) -> Audit {
    let executor = Rc::new(LocalExecutor::new());
    let targets = plan
        .targets
        .iter()
        .map(|target| Target::new(executor.clone(), target))
        .collect();
    let run = Rc::new(Run {
        audit: RefCell::new(Audit::new(&plan)),
        in_flight: Cell::new(0),
        start: Instant::now() + START_DELAY,
        id: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |d| d.as_nanos() as u64)
            & !REQUEST_NUMBER_BITS,
        targets,
        plan,
    });
    let shared_run = run.clone();
    async_io::block_on(executor.run(async {
        let plan = shared_run.plan.clone();
        for request in Schedule::new(&plan) {
            let send_at = shared_run.start + Duration::from_nanos(request.at);
            if Instant::now() < send_at {
                Timer::at(send_at).await;
            } else {
                // Lets other tasks run even if sending is behind the schedule.
                future::yield_now().await;
            }
            if shared_run.in_flight.get() >= plan.max_in_flight {
                shared_run.audit.borrow_mut().record_outcome(
                    &request,
                    Outcome::Skipped,
                    shared_run.elapsed_nanos(),
                );
                continue;
            }
            shared_run.in_flight.set(shared_run.in_flight.get() + 1);
            shared_run
                .audit
                .borrow_mut()
                .record_sent(shared_run.elapsed_nanos().saturating_sub(request.at));
            let run = shared_run.clone();
            executor
                .spawn(async move { send_request(&run, request).await })
                .detach();
        }
        // Terminates: each request ends by the client's timeout at the latest.
        while shared_run.in_flight.get() > 0 {
            Timer::after(COMPLETION_CHECK_INTERVAL).await;
        }
    }));
    drop((shared_run, executor));
    match Rc::try_unwrap(run) {
        Ok(run) => run.audit.into_inner(),
        Err(run) => std::mem::replace(&mut *run.audit.borrow_mut(), Audit::new(&run.plan)),
    }
}

/// Sends a request and records its outcome.
async fn send_request(run: &Run, request: ScheduledRequest) {
    let (path, fields, body) = run.request_parts(&request);
    let timeout = async {
        Timer::after(run.plan.client_timeout.0).await;
        Outcome::TimedOut
    };
    let response = run.targets[request.target].send(&path, &fields, body);
    let outcome = future::or(response, timeout).await;
    run.in_flight.set(run.in_flight.get() - 1);
    run.audit
        .borrow_mut()
        .record_outcome(&request, outcome, run.elapsed_nanos());
}

fn protocol_name(protocol: Protocol) -> &'static str {
    match protocol {
        Protocol::Http1 => "HTTP/1.1",
        Protocol::Http2 => "HTTP/2",
    }
}

/// Formats the counts of requests that ended without a response.
fn format_other_outcomes(stats: &ClassStats) -> String {
    let counts: Vec<_> = stats
        .other_outcomes
        .iter()
        .map(|(outcome, count)| format!("{}: {count}", outcome.label()))
        .collect();
    counts.join(", ")
}

fn print_summary(plan: &Plan, audit: &Audit) {
    let mut table = plain();
    table.set_header([
        "target",
        "class",
        "due",
        "by status",
        "others",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "max ms",
    ]);
    for (key, stats) in &audit.stats {
        let target = &plan.targets[key.target];
        let by_status: Vec<_> = stats
            .statuses
            .iter()
            .map(|(status, count)| format!("{status}: {count}"))
            .collect();
        table.add_row([
            format!("{} {}", protocol_name(target.protocol), target.address),
            plan.classes[key.class].name.clone(),
            stats.due.to_string(),
            by_status.join(", "),
            format_other_outcomes(stats),
            format!("{:.2}", stats.latency_ms(0.5)),
            format!("{:.2}", stats.latency_ms(0.99)),
            format!("{:.2}", stats.latency_ms(0.999)),
            format!("{:.2}", stats.latency_ms(1.0)),
        ]);
    }
    println!("{table}");
    let send_delay_ms = |quantile| audit.send_delay.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "lateness of the sender: p50 {:.3}  p99 {:.3}  max {:.3} ms",
        send_delay_ms(0.5),
        send_delay_ms(0.99),
        send_delay_ms(1.0)
    );
    println!(
        "without an answer: {}; repeats with another result: {}",
        audit.unanswered(),
        audit.mismatched_retries
    );
}

/// Writes `report.json` and the charts.
fn write_report(folder: &Path, plan: &Plan, audit: &Audit) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let parts: Vec<_> = audit
        .stats
        .iter()
        .map(|(key, stats)| {
            json!({
                "target": plan.targets[key.target].address, "protocol": protocol_name(plan.targets[key.target].protocol),
                "class": plan.classes[key.class].name, "due": stats.due, "statuses": stats.statuses,
                "others": format_other_outcomes(stats), "p50_ms": stats.latency_ms(0.5), "p99_ms": stats.latency_ms(0.99), "max_ms": stats.latency_ms(1.0),
            })
        })
        .collect();
    let report = json!({"parts": parts, "unanswered": audit.unanswered(), "differ": audit.mismatched_retries,
        "lateness_p99_ms": audit.send_delay.value_at_quantile(0.99) as f64 / 1000.0});
    std::fs::write(folder.join("report.json"), format!("{report:#}\n"))?;
    let per_second = |count: fn(&SecondStats) -> u32| {
        audit
            .seconds
            .iter()
            .enumerate()
            .map(|(index, second)| (index as f64, f64::from(count(second))))
            .collect()
    };
    let curves = [
        ("due", per_second(|second| second.due)),
        ("served", per_second(|second| second.served)),
        ("refused", per_second(|second| second.rejected)),
    ];
    charts::line_chart(
        &folder.join("rates.svg"),
        "Requests a second",
        ("second", "requests"),
        &curves,
    )?;
    let latency = audit.latency();
    let quantiles = (0..=QUANTILE_STEPS).map(|step| f64::from(step) / f64::from(QUANTILE_STEPS));
    let points = quantiles
        .map(|quantile| {
            let latency_ms = latency.value_at_quantile(quantile) as f64 / 1000.0;
            (100.0 * quantile, latency_ms)
        })
        .collect();
    charts::line_chart(
        &folder.join("latency.svg"),
        "Latency by quantile, from the intended time",
        ("quantile in %", "ms"),
        &[("served", points)],
    )
}
