//! The program's log: rate-limited lines on standard error. Lines beyond the limit are counted by call site.
//!
//! Events go through `tracing`: a disabled level costs one comparison. Plain lines are the message alone; JSON lines
//! have the fields as well.

use heathspur_config::{Format, Level, Log};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Json, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::Layer;

const SECOND: Duration = Duration::from_secs(1);

/// A call site that logs: its file and line.
type CallSite = (&'static str, u32);

/// Decides which lines are written. It has no clock of its own.
#[derive(Debug)]
struct RateLimiter {
    lines_per_second: u32,
    /// When the current second began, and the lines written in it.
    window_start: Option<Instant>,
    window_lines: u32,
    /// Counts of suppressed lines; bounded by the call sites of the program.
    suppressed: BTreeMap<CallSite, u64>,
}

impl RateLimiter {
    fn new(lines_per_second: u32) -> RateLimiter {
        RateLimiter {
            lines_per_second,
            window_start: None,
            window_lines: 0,
            suppressed: BTreeMap::new(),
        }
    }

    /// Whether a line is written; else it is counted as suppressed.
    fn admits(&mut self, now: Instant, site: CallSite) -> bool {
        if self
            .window_start
            .is_none_or(|start| now.saturating_duration_since(start) >= SECOND)
        {
            (self.window_start, self.window_lines) = (Some(now), 0);
        }
        if self.window_lines < self.lines_per_second {
            self.window_lines += 1;
            true
        } else {
            *self.suppressed.entry(site).or_default() += 1;
            false
        }
    }

    /// Takes the counts of lines suppressed since the last time.
    fn take_suppressed(&mut self) -> BTreeMap<CallSite, u64> {
        std::mem::take(&mut self.suppressed)
    }
}

/// The rate limiter, shared by the filter and the formatter.
#[derive(Clone)]
struct SharedLimiter(Arc<Mutex<RateLimiter>>);

impl SharedLimiter {
    fn lock(&self) -> MutexGuard<'_, RateLimiter> {
        // A panic leaves it consistent: no change to it takes several steps.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S> Filter<S> for SharedLimiter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.lock().admits(Instant::now(), site(event.metadata()))
    }
}

fn site(metadata: &'static Metadata<'static>) -> CallSite {
    (metadata.file().unwrap_or(""), metadata.line().unwrap_or(0))
}

/// Formats lines. Before a line come the counts of the lines that were suppressed since the last one.
struct LineFormat {
    limiter: SharedLimiter,
    json: Option<tracing_subscriber::fmt::format::Format<Json>>,
}

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        ctx: &FmtContext<'_, S, N>,
        mut to: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let suppressed = self.limiter.lock().take_suppressed();
        for ((file, line), count) in suppressed {
            match self.json {
                None => writeln!(to, "heathspurd: {count} lines left out ({file}:{line})")?,
                Some(_) => writeln!(
                    to,
                    "{{\"left_out\":{count},\"filename\":\"{file}\",\"line_number\":{line}}}"
                )?,
            }
        }
        if let Some(json) = &self.json {
            return json.format_event(ctx, to, event);
        }
        let mut message = Message(String::new());
        event.record(&mut message);
        writeln!(to, "heathspurd: {}", message.0)
    }
}

/// The message of an event, without its fields.
struct Message(String);

impl Visit for Message {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.0 = format!("{value:?}");
        }
    }
}

/// Logs the process's events to standard error from now on. A second call has no effect.
pub(crate) fn install(log: &Log) {
    let limiter = SharedLimiter(Arc::new(Mutex::new(RateLimiter::new(log.lines_per_second))));
    let json = (log.format == Format::Json).then(|| {
        tracing_subscriber::fmt::format()
            .json()
            .flatten_event(true)
            .with_target(false)
    });
    let level = match log.level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
    };
    // A reader that closes standard error must not end the server, and errors of the log can't be logged.
    let layer = tracing_subscriber::fmt::layer()
        .event_format(LineFormat {
            limiter: limiter.clone(),
            json,
        })
        .fmt_fields(tracing_subscriber::fmt::format::JsonFields::new())
        .with_writer(std::io::stderr)
        .log_internal_errors(false)
        .with_filter(limiter);
    let subscriber = tracing_subscriber::registry().with(layer).with(level);
    let _ = tracing::subscriber::set_global_default(subscriber);
}

#[cfg(test)]
#[path = "../tests/unit/logging.rs"]
mod tests;
