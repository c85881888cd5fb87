//! `pcap replay`: sends the recorded requests again. `heathspur-replay` provides the schedule and the state machine;
//! this module provides the clock, the connections and the files.

use crate::capture_options::CaptureOptions;
use crate::connection::{ConnectionTask, OutgoingRequest, Report};
use crate::error::Error;
use crate::recording::{load, Loaded};
use crate::report::{self, Replayed};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use clap::Args;
use futures_lite::future;
use heathspur_replay::audit::{Audit, AuditOptions};
use heathspur_replay::event::{Action, Event};
use heathspur_replay::limits::Limits;
use heathspur_replay::plan::{self, Plan};
use heathspur_replay::renew::{FieldNames, RenewedValues, Renewer, RequestIdentity, RequestTimes};
use heathspur_replay::runner::Runner;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Capacity of the queue of reports from connections.
const MAX_QUEUED_REPORTS: usize = 4096;
/// Largest number of reports handled between two polls of the runner.
const MAX_REPORTS_PER_POLL: usize = 64;
const BYTES_PER_MIB: u64 = 1 << 20;

#[derive(Debug, Args)]
pub struct Options {
    #[command(flatten)]
    capture: CaptureOptions,
    /// Address of the server
    #[arg(long, value_name = "ADDRESS:PORT")]
    to_server: SocketAddr,
    /// Replay speed as a multiple of the recorded one
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Replay only requests from this time on, in seconds from the first request
    #[arg(long, value_name = "SECONDS")]
    from: Option<f64>,
    /// Replay only requests before this time, in seconds from the first request
    #[arg(long, value_name = "SECONDS")]
    to: Option<f64>,
    /// Replay this many times in a row; more than 1 requires --renew
    #[arg(long = "loop", value_name = "N", default_value_t = 1)]
    repeat: u32,
    /// Scale the number of connections by dropping or copying connections; more than 1 requires --renew
    #[arg(long, value_name = "FACTOR", default_value_t = 1.0)]
    scale_load: f64,
    /// Send a request only after the preceding response if the recorded client waited for it
    #[arg(long)]
    causal: bool,
    /// Replace IDs, idempotency keys and time stamps, because servers reject old ones
    #[arg(long)]
    renew: bool,
    /// Header field that contains the ID of the attempt
    #[arg(long, value_name = "FIELD", default_value = "X-Txn")]
    id_field: String,
    /// Header field that contains the idempotency key
    #[arg(long, value_name = "FIELD", default_value = "X-Txn-Key")]
    key_field: String,
    /// Header field that contains the ingress time of the request, in Unix milliseconds
    #[arg(long, value_name = "FIELD", default_value = "X-Ingress-Time")]
    stamp_field: String,
    /// Maximum number of simultaneous connections
    #[arg(long, value_name = "N", default_value_t = 4096)]
    connections: usize,
    /// Maximum number of requests in flight; requests beyond it are counted but not sent
    #[arg(long, value_name = "N", default_value_t = 8192)]
    open: usize,
    /// Time out requests that are not answered within this time, and close their connections
    #[arg(long, value_name = "SECONDS", default_value_t = 30.0)]
    patience: f64,
    /// Fail if a response arrives later than this after the intended time of its request
    #[arg(long, value_name = "SECONDS")]
    late_after: Option<f64>,
    /// Maximum total size of the requests, in MiB
    #[arg(long, value_name = "MIB", default_value_t = 1024)]
    most_bytes: u64,
    /// Seed of the random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write report.json, requests.jsonl and charts into this folder, which is created if it does not exist
    #[arg(long, value_name = "FOLDER")]
    report: Option<PathBuf>,
}

impl Options {
    fn plan_options(&self) -> plan::Options {
        plan::Options {
            speed: self.speed,
            from: self.from.map_or(0, nanos),
            to: self.to.map(nanos),
            repeat: self.repeat,
            load: self.scale_load,
            causal: self.causal,
            seed: self.seed,
            ..plan::Options::default()
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            max_connections: self.connections,
            max_in_flight: self.open,
            response_timeout: nanos(self.patience),
            ..Limits::default()
        }
    }

    fn audit_options(&self) -> AuditOptions<'_> {
        AuditOptions {
            key_field: &self.key_field,
            late_after: self.late_after.map(nanos),
        }
    }

    fn renewer(&self) -> Renewer {
        let names = FieldNames {
            attempt_id: self.id_field.clone(),
            idempotency_key: self.key_field.clone(),
            ingress_time: self.stamp_field.clone(),
        };
        Renewer::new(names, self.seed)
    }

    /// Checks that requests are sent more than once only with fresh IDs and keys.
    fn check_renew(&self) -> Result<(), Error> {
        let has_copies = self.repeat > 1 || self.scale_load > 1.0;
        if has_copies && !self.renew {
            return Err(Error::RenewRequired);
        }
        Ok(())
    }
}

/// Runs a replay, prints its audit and writes the report.
pub fn run(options: &Options) -> Result<(), Error> {
    options.check_renew()?;
    let loaded = load(
        &options.capture,
        options.most_bytes.saturating_mul(BYTES_PER_MIB),
    )?;
    let plan = Plan::build(&loaded.requests, &loaded.opened, &options.plan_options()).map_err(
        |source| Error::ReplayPlan {
            path: options.capture.file.clone(),
            source,
        },
    )?;
    let replayed = run_plan(&loaded, &plan, options);
    let audit = Audit::new(
        &loaded.requests,
        &plan,
        &replayed.outcomes,
        replayed.counts,
        options.audit_options(),
    );
    report::print_audit(&loaded, &audit, replayed.renewed);
    if let Some(folder) = &options.report {
        report::write_report(folder, &loaded, &plan, &replayed, &audit).map_err(|source| {
            Error::File {
                path: folder.clone(),
                source,
            }
        })?;
    }
    check_audit(&audit)
}

fn check_audit(audit: &Audit) -> Result<(), Error> {
    if audit.violates_rules() {
        return Err(Error::ReplayViolatesRules);
    }
    if !audit.is_complete() {
        return Err(Error::ReplayIncomplete);
    }
    Ok(())
}

/// Converts seconds to nanoseconds; negative values become 0.
fn nanos(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e9) as u64
}

/// Runs the plan against the server.
fn run_plan(loaded: &Loaded, plan: &Plan, options: &Options) -> Replayed {
    let executor = Rc::new(LocalExecutor::new());
    let driver = Driver::new(executor.clone(), loaded, plan, options);
    async_io::block_on(executor.run(driver.run()))
}

/// A connection that the runner has requested and that has not ended.
struct OpenConnection {
    /// Distinguishes the connection from earlier ones of the same index.
    incarnation: u64,
    requests: Sender<OutgoingRequest>,
}

/// Executes the actions of the runner and passes the events of the connections to it.
struct Driver<'a> {
    executor: Rc<LocalExecutor<'a>>,
    loaded: &'a Loaded,
    plan: &'a Plan,
    options: &'a Options,
    runner: Runner<'a>,
    renewer: Renewer,
    renewed: RenewedValues,
    connections: Vec<Option<OpenConnection>>,
    last_incarnation: u64,
    reports_sender: Sender<Report>,
    reports: Receiver<Report>,
    start: Instant,
}

impl<'a> Driver<'a> {
    fn new(
        executor: Rc<LocalExecutor<'a>>,
        loaded: &'a Loaded,
        plan: &'a Plan,
        options: &'a Options,
    ) -> Driver<'a> {
        let (reports_sender, reports) = async_channel::bounded(MAX_QUEUED_REPORTS);
        Driver {
            executor,
            loaded,
            plan,
            options,
            runner: Runner::new(plan, options.limits(), options.seed),
            renewer: options.renewer(),
            renewed: RenewedValues::default(),
            connections: plan.connections.iter().map(|_| None).collect(),
            last_incarnation: 0,
            reports_sender,
            reports,
            start: Instant::now(),
        }
    }

    async fn run(mut self) -> Replayed {
        let mut actions = Vec::new();
        while !self.runner.is_done() {
            let now = self.start.elapsed().as_nanos() as u64;
            self.runner.poll(now, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
            if self.runner.is_done() {
                break;
            }
            let first = self.next_report().await;
            self.handle_reports(first);
        }
        Replayed {
            outcomes: self.runner.outcomes().to_vec(),
            counts: self.runner.counts(),
            renewed: self.renewed,
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Connect(connection) => self.connect(connection),
            Action::Close(connection) => self.connections[connection] = None,
            Action::Send(request) => self.send(request),
        }
    }

    fn connect(&mut self, connection: usize) {
        self.last_incarnation += 1;
        let (sender, requests) = async_channel::unbounded();
        self.connections[connection] = Some(OpenConnection {
            incarnation: self.last_incarnation,
            requests: sender,
        });
        let task = ConnectionTask {
            target: self.options.to_server,
            connection,
            incarnation: self.last_incarnation,
            requests,
            start: self.start,
            reports: self.reports_sender.clone(),
        };
        self.executor.spawn(task.run()).detach();
    }

    fn send(&mut self, request: usize) {
        let bytes = self.request_bytes(request);
        let connection = self.plan.requests[request].connection;
        if let Some(connection) = &self.connections[connection] {
            let is_head = bytes.starts_with(b"HEAD ");
            // Fails only if the connection has ended, and then its task reports that.
            let _ = connection
                .requests
                .try_send(OutgoingRequest { bytes, is_head });
        }
    }

    /// Returns the bytes of a request, with fresh values if the options require them.
    fn request_bytes(&mut self, request: usize) -> Bytes {
        let planned = &self.plan.requests[request];
        let recorded = &self.loaded.requests[planned.recorded];
        if !self.options.renew {
            return recorded.bytes.clone();
        }
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let times = RequestTimes {
            recorded_at: recorded.first_byte_at,
            sent_at_ms: now.as_millis() as u64,
        };
        let fields = self.loaded.fields[planned.recorded].clone();
        let identity = RequestIdentity {
            index: request as u64,
            copy: planned.copy,
        };
        let (bytes, renewed) = self.renewer.renew(&recorded.bytes, fields, identity, times);
        self.renewed.add(renewed);
        bytes
    }

    /// Waits for a report. Returns `None` if the runner's next timer expires first.
    async fn next_report(&self) -> Option<Report> {
        let timer = async {
            match self.runner.next_timer_at() {
                Some(at) => {
                    Timer::at(self.start + Duration::from_nanos(at)).await;
                }
                None => future::pending().await,
            }
            None
        };
        let report = async { self.reports.recv().await.ok() };
        future::or(timer, report).await
    }

    /// Handles a report and the queued ones after it, up to a limit. Every report taken from the queue must be handled,
    /// because a lost one would leave its connection waiting forever.
    fn handle_reports(&mut self, first: Option<Report>) {
        let mut next = first;
        let mut handled = 0;
        while let Some(report) = next {
            self.handle_report(&report);
            handled += 1;
            next = if handled < MAX_REPORTS_PER_POLL {
                self.reports.try_recv().ok()
            } else {
                None
            };
        }
    }

    fn handle_report(&mut self, report: &Report) {
        let connection = &mut self.connections[report.event.connection()];
        let is_current = connection
            .as_ref()
            .is_some_and(|open| open.incarnation == report.incarnation);
        if !is_current {
            return;
        }
        if matches!(report.event, Event::ConnectFailed(..) | Event::Closed(_)) {
            *connection = None;
        }
        let at = report.at.saturating_duration_since(self.start).as_nanos() as u64;
        self.runner.on_event(at, report.event);
    }
}
