//! `pcap replay`: the recorded requests sent again. The decisions are those of `heathspur-replay`; here are
//! the clock, the sockets and the files.

use crate::connection::{self, Outgoing, Report};
use crate::given::{Fault, Source};
use crate::load::{load, Loaded};
use crate::report::{self, Replayed};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use clap::Args;
use futures_lite::future;
use heathspur_replay::audit::{Audit, AuditOptions};
use heathspur_replay::event::{Action, Event};
use heathspur_replay::limits::Limits;
use heathspur_replay::plan::{self, Plan};
use heathspur_replay::renew::{Changed, Names, Renewer, Times};
use heathspur_replay::runner::Runner;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Reports of connections that may wait.
const REPORTS: usize = 4096;
/// Events taken in before it is looked what is due.
const AT_ONCE: usize = 64;

#[derive(Debug, Args)]
pub struct Options {
    #[command(flatten)]
    source: Source,
    /// The server to send to.
    #[arg(long, value_name = "ADDRESS:PORT")]
    to_server: SocketAddr,
    /// Times as fast as it was recorded.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Requests from this time on, in seconds from the first one.
    #[arg(long, value_name = "SECONDS")]
    from: Option<f64>,
    /// Requests before this time.
    #[arg(long, value_name = "SECONDS")]
    to: Option<f64>,
    /// So many times in a row; needs --renew.
    #[arg(long = "loop", value_name = "N", default_value_t = 1)]
    repeat: u32,
    /// Times as many connections: whole ones are left out or copied; more than 1 needs --renew.
    #[arg(long, value_name = "FACTOR", default_value_t = 1.0)]
    scale_load: f64,
    /// Keep the order of a client that waited for its answers, instead of the clock.
    #[arg(long)]
    causal: bool,
    /// Fresh ids, keys and stamps: a server refuses old ones.
    #[arg(long)]
    renew: bool,
    /// The field that holds the id of a try.
    #[arg(long, value_name = "FIELD", default_value = "X-Txn")]
    id_field: String,
    /// The field that holds the idempotency key.
    #[arg(long, value_name = "FIELD", default_value = "X-Txn-Key")]
    key_field: String,
    /// The field that holds when a request came to the machine, in Unix milliseconds.
    #[arg(long, value_name = "FIELD", default_value = "X-Ingress-Time")]
    stamp_field: String,
    /// Connections at once at most.
    #[arg(long, value_name = "N", default_value_t = 4096)]
    connections: usize,
    /// Requests open at once at most; what would be more is not sent, and counted.
    #[arg(long, value_name = "N", default_value_t = 8192)]
    open: usize,
    /// A request that is not answered for so long is given up, with its connection.
    #[arg(long, value_name = "SECONDS", default_value_t = 30.0)]
    patience: f64,
    /// An answer later than this after its intended time breaks a rule.
    #[arg(long, value_name = "SECONDS")]
    late_after: Option<f64>,
    /// Bytes of all requests at most, in MiB.
    #[arg(long, value_name = "MIB", default_value_t = 1024)]
    most_bytes: u64,
    /// For what is drawn by lot.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A folder for the report: report.json, requests.jsonl and charts. One that is there is used.
    #[arg(long, value_name = "FOLDER")]
    report: Option<PathBuf>,
}

/// Replays, prints the audit, writes the report.
pub fn run(options: &Options) -> Result<(), Fault> {
    let copies = options.repeat > 1 || options.scale_load > 1.0;
    if copies && !options.renew {
        let what =
            "--loop and --scale-load above 1 send requests more than once, which needs --renew";
        return Err(Fault::Other(2, what.to_string()));
    }
    let loaded = load(&options.source, options.most_bytes.saturating_mul(1 << 20))?;
    let nanos = |seconds: f64| (seconds.max(0.0) * 1e9) as u64;
    let terms = plan::Options {
        speed: options.speed,
        from: options.from.map_or(0, nanos),
        to: options.to.map(nanos),
        repeat: options.repeat,
        load: options.scale_load,
        causal: options.causal,
        seed: options.seed,
        ..plan::Options::default()
    };
    let plan = Plan::build(&loaded.requests, &loaded.opened, &terms)
        .map_err(|fault| Fault::Other(2, format!("{}: {fault}", options.source.file.display())))?;
    let replayed = play(&loaded, &plan, options);
    let terms = AuditOptions {
        key_field: &options.key_field,
        late_after: options.late_after.map(nanos),
    };
    let audit = Audit::new(
        &loaded.requests,
        &plan,
        &replayed.outcomes,
        replayed.counts,
        terms,
    );
    report::print(&loaded, &audit, replayed.changed);
    if let Some(folder) = &options.report {
        report::write(folder, &loaded, &plan, &replayed, &audit)
            .map_err(|e| Fault::File(folder.clone(), e))?;
    }
    match (audit.violates_rules(), audit.is_complete()) {
        (true, _) => Err(Fault::Other(
            1,
            "a rule is broken: see late, extra answers and keys above".into(),
        )),
        (_, false) => Err(Fault::Other(
            1,
            "not every request was sent and answered".into(),
        )),
        _ => Ok(()),
    }
}

/// A connection that the runner asked for.
struct Line {
    life: u64,
    outbox: Sender<Outgoing>,
}

fn play(loaded: &Loaded, plan: &Plan, options: &Options) -> Replayed {
    let limits = Limits {
        max_connections: options.connections,
        max_in_flight: options.open,
        response_timeout: (options.patience.max(0.0) * 1e9) as u64,
        ..Limits::default()
    };
    let executor = Rc::new(LocalExecutor::new());
    let work = owner(executor.clone(), loaded, plan, limits, options);
    async_io::block_on(executor.run(work))
}

async fn owner(
    executor: Rc<LocalExecutor<'_>>,
    loaded: &Loaded,
    plan: &Plan,
    limits: Limits,
    options: &Options,
) -> Replayed {
    let mut runner = Runner::new(plan, limits, options.seed);
    let (reports, inbox): (Sender<Report>, Receiver<Report>) = async_channel::bounded(REPORTS);
    let mut lines: Vec<Option<Line>> = plan.connections.iter().map(|_| None).collect();
    let names = Names {
        id: options.id_field.clone(),
        key: options.key_field.clone(),
        stamp: options.stamp_field.clone(),
    };
    let renewer = Renewer::new(names, options.seed);
    let mut changed = Changed::default();
    let mut lives = 0;
    let mut actions = Vec::new();
    let start = Instant::now();
    let now = || start.elapsed().as_nanos() as u64;
    while !runner.is_done() {
        runner.poll(now(), &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Connect(lane) => {
                    lives += 1;
                    let (outbox, sends) = async_channel::unbounded();
                    lines[lane] = Some(Line {
                        life: lives,
                        outbox,
                    });
                    let target = options.to_server;
                    let work =
                        connection::run(target, (lane, lives), sends, start, reports.clone());
                    executor.spawn(work).detach();
                }
                Action::Close(lane) => lines[lane] = None,
                Action::Send(send) => {
                    let planned = &plan.requests[send];
                    let request = &loaded.requests[planned.recorded];
                    let mut bytes = request.bytes.clone();
                    if options.renew {
                        let now_ms = SystemTime::now()
                            .duration_since(UNIX_EPOCH)
                            .unwrap_or_default();
                        let times = Times {
                            recorded: request.first_byte_at,
                            now_ms: now_ms.as_millis() as u64,
                        };
                        let fields = loaded.fields[planned.recorded].clone();
                        let (fresh, what) =
                            renewer.renew(&bytes, fields, (send as u64, planned.copy), times);
                        bytes = fresh;
                        changed.add(what);
                    }
                    if let Some(line) = &lines[planned.connection] {
                        let head = bytes.starts_with(b"HEAD ");
                        // A closed one has told, or will, that its connection is over.
                        let _ = line.outbox.try_send(Outgoing { bytes, head });
                    }
                }
            }
        }
        if runner.is_done() {
            break;
        }
        let timer = async {
            match runner.next_timer_at() {
                Some(at) => {
                    Timer::at(start + Duration::from_nanos(at)).await;
                }
                None => future::pending().await,
            }
            None
        };
        let report = async { inbox.recv().await.ok() };
        let mut next = future::or(timer, report).await;
        let mut taken = 0;
        while let Some(report) = next {
            let lane = report.event.connection();
            if lines[lane]
                .as_ref()
                .is_some_and(|line| line.life == report.life)
            {
                if matches!(report.event, Event::ConnectFailed(..) | Event::Closed(_)) {
                    lines[lane] = None;
                }
                let at = report.at.saturating_duration_since(start).as_nanos() as u64;
                runner.on_event(at, report.event);
            }
            taken += 1;
            // What is taken off the queue is taken in: a report that was dropped here left its connection
            // waiting for ever.
            next = if taken < AT_ONCE {
                inbox.try_recv().ok()
            } else {
                None
            };
        }
    }
    Replayed {
        outcomes: runner.outcomes().to_vec(),
        counts: runner.counts(),
        changed,
    }
}
