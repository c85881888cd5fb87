//! `load`: requests at their intended times to servers that speak HTTP/1.1 or HTTP/2. When what is sent and what
//! came of it is `heathspur-load`'s to say; here are the clock, the sockets and the files.

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

#[derive(Debug, Args)]
pub struct Options {
    /// The plan: an XML file (crates/heathspur-load/plan.xsd).
    plan: PathBuf,
    /// Only hold the plan against its schema's terms, and say how long it lasts.
    #[arg(long)]
    check: bool,
    /// A folder for the report: report.json and charts. One that is there is used.
    #[arg(long, value_name = "FOLDER")]
    report: Option<PathBuf>,
}

/// What all requests of a run share.
struct Run {
    plan: Plan,
    targets: Vec<Target>,
    audit: RefCell<Audit>,
    open: Cell<u32>,
    start: Instant,
    /// Drawn anew for each run, so that no server has met its ids and keys.
    id: u64,
}

impl Run {
    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// The fields and the body of a request, in small letters.
    fn request(
        &self,
        request: &ScheduledRequest,
    ) -> (String, Vec<(&'static str, String)>, Vec<u8>) {
        let class = &self.plan.classes[request.class];
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut fields = vec![
            ("x-txn", format!("{:016x}", self.id ^ request.number)),
            ("x-ingress-time", unix.as_millis().to_string()),
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

/// Runs a plan, prints what came of it, writes the report.
pub fn run(options: &Options) -> Result<(), Error> {
    let plan = Plan::read(&options.plan).map_err(Error::Plan)?;
    let seconds = Schedule::duration_nanos(&plan) as f64 / 1e9;
    if options.check {
        println!("{}: valid; {seconds} s", options.plan.display());
        return Ok(());
    }
    let audit = play(plan.clone());
    print(&plan, &audit);
    if let Some(folder) = &options.report {
        write(folder, &plan, &audit).map_err(|source| Error::File {
            path: folder.clone(),
            source,
        })?;
    }
    match (audit.unanswered(), audit.mismatched_retries) {
        (0, 0) => Ok(()),
        (unanswered, differing) => Err(Error::LoadFailed {
            unanswered,
            differing,
        }),
    }
}

fn play(plan: Plan) -> Audit {
    let executor = Rc::new(LocalExecutor::new());
    let targets = plan
        .targets
        .iter()
        .map(|target| Target::new(executor.clone(), target))
        .collect();
    let run = Rc::new(Run {
        audit: RefCell::new(Audit::new(&plan)),
        open: Cell::new(0),
        // A moment for the first connections.
        start: Instant::now() + Duration::from_millis(100),
        id: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |d| d.as_nanos() as u64)
            & !0xff_ffff_ffff,
        targets,
        plan,
    });
    let sender = run.clone();
    async_io::block_on(executor.run(async {
        let plan = sender.plan.clone();
        for request in Schedule::new(&plan) {
            let at = sender.start + Duration::from_nanos(request.at);
            if Instant::now() < at {
                Timer::at(at).await;
            } else {
                // Others have their turn however late it is.
                future::yield_now().await;
            }
            if sender.open.get() >= plan.max_open_requests {
                sender
                    .audit
                    .borrow_mut()
                    .record_outcome(&request, Outcome::Skipped, sender.now());
                continue;
            }
            sender.open.set(sender.open.get() + 1);
            sender
                .audit
                .borrow_mut()
                .record_sent(sender.now().saturating_sub(request.at));
            let one = sender.clone();
            executor
                .spawn(async move { ask(&one, request).await })
                .detach();
        }
        // Each ends by the client's timeout at the latest.
        while sender.open.get() > 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
    }));
    drop((sender, executor));
    match Rc::try_unwrap(run) {
        Ok(run) => run.audit.into_inner(),
        Err(run) => std::mem::replace(&mut *run.audit.borrow_mut(), Audit::new(&run.plan)),
    }
}

async fn ask(run: &Run, request: ScheduledRequest) {
    let (path, fields, body) = run.request(&request);
    let late = async {
        Timer::after(run.plan.client_timeout.0).await;
        Outcome::TimedOut
    };
    let outcome = future::or(run.targets[request.target].ask(&path, &fields, body), late).await;
    run.open.set(run.open.get() - 1);
    run.audit
        .borrow_mut()
        .record_outcome(&request, outcome, run.now());
}

fn name(protocol: Protocol) -> &'static str {
    match protocol {
        Protocol::Http1 => "HTTP/1.1",
        Protocol::Http2 => "HTTP/2",
    }
}

fn others(stats: &ClassStats) -> String {
    let all: Vec<_> = stats
        .other_outcomes
        .iter()
        .map(|(outcome, count)| format!("{outcome:?}: {count}"))
        .collect();
    all.join(", ")
}

fn print(plan: &Plan, audit: &Audit) {
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
            .map(|(status, n)| format!("{status}: {n}"))
            .collect();
        table.add_row([
            format!("{} {}", name(target.protocol), target.address),
            plan.classes[key.class].name.clone(),
            stats.due.to_string(),
            by_status.join(", "),
            others(stats),
            format!("{:.2}", stats.latency_ms(0.5)),
            format!("{:.2}", stats.latency_ms(0.99)),
            format!("{:.2}", stats.latency_ms(0.999)),
            format!("{:.2}", stats.latency_ms(1.0)),
        ]);
    }
    println!("{table}");
    let late = |quantile| audit.send_delay.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "lateness of the sender: p50 {:.3}  p99 {:.3}  max {:.3} ms",
        late(0.5),
        late(0.99),
        late(1.0)
    );
    println!(
        "without an answer: {}; repeats with another result: {}",
        audit.unanswered(),
        audit.mismatched_retries
    );
}

fn write(folder: &Path, plan: &Plan, audit: &Audit) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let parts: Vec<_> = audit
        .stats
        .iter()
        .map(|(key, stats)| {
            json!({
                "target": plan.targets[key.target].address, "protocol": name(plan.targets[key.target].protocol),
                "class": plan.classes[key.class].name, "due": stats.due, "statuses": stats.statuses,
                "others": others(stats), "p50_ms": stats.latency_ms(0.5), "p99_ms": stats.latency_ms(0.99), "max_ms": stats.latency_ms(1.0),
            })
        })
        .collect();
    let report = json!({"parts": parts, "unanswered": audit.unanswered(), "differ": audit.mismatched_retries,
        "lateness_p99_ms": audit.send_delay.value_at_quantile(0.99) as f64 / 1000.0});
    std::fs::write(folder.join("report.json"), format!("{report:#}\n"))?;
    let count = |of: fn(&SecondStats) -> u32| {
        audit
            .seconds
            .iter()
            .enumerate()
            .map(|(s, second)| (s as f64, f64::from(of(second))))
            .collect()
    };
    let curves = [
        ("due", count(|second| second.due)),
        ("served", count(|second| second.served)),
        ("refused", count(|second| second.rejected)),
    ];
    charts::lines(
        &folder.join("rates.svg"),
        "Requests a second",
        ("second", "requests"),
        &curves,
    )?;
    let latency = audit.latency();
    let quantiles = (0..=400).map(|step| f64::from(step) / 400.0);
    let points = quantiles
        .map(|q| (100.0 * q, latency.value_at_quantile(q) as f64 / 1000.0))
        .collect();
    charts::lines(
        &folder.join("latency.svg"),
        "Latency by quantile, from the intended time",
        ("quantile in %", "ms"),
        &[("served", points)],
    )
}
