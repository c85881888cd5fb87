//! The program's log: rate-limited lines on standard error. Lines above the rate limit are counted per call site.
//!
//! Events are emitted through `tracing`, so that a disabled level costs one comparison. In the plain format a line is
//! the message alone; in the JSON format it contains the fields as well.

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

/// The period to which the limit on lines applies.
const RATE_LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// The file and line of a call that logs.
type CallSite = (&'static str, u32);

/// Limits the lines written per second. The caller supplies the time.
#[derive(Debug)]
struct RateLimiter {
    lines_per_second: u32,
    /// The start of the current one-second window; `None` before the first line.
    window_start: Option<Instant>,
    /// The number of lines written in the current window.
    window_lines: u32,
    /// The number of suppressed lines per call site. Bounded by the number of call sites in the program.
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

    /// Returns whether a line may be written. If not, counts it as suppressed.
    fn admits(&mut self, now: Instant, site: CallSite) -> bool {
        if self
            .window_start
            .is_none_or(|start| now.saturating_duration_since(start) >= RATE_LIMIT_WINDOW)
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

    /// Returns and resets the counts of suppressed lines.
    fn take_suppressed(&mut self) -> BTreeMap<CallSite, u64> {
        std::mem::take(&mut self.suppressed)
    }
}

/// The rate limiter, shared by the filter and the formatter.
#[derive(Clone)]
struct SharedLimiter(Arc<Mutex<RateLimiter>>);

impl SharedLimiter {
    fn lock(&self) -> MutexGuard<'_, RateLimiter> {
        // The limiter is consistent even after a panic, because no update of it takes several steps.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S> Filter<S> for SharedLimiter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.lock()
            .admits(Instant::now(), call_site(event.metadata()))
    }
}

fn call_site(metadata: &'static Metadata<'static>) -> CallSite {
    (metadata.file().unwrap_or(""), metadata.line().unwrap_or(0))
}

/// Formats log lines. A line is preceded by the counts of the lines that were suppressed since the previous one.
struct LineFormat {
    limiter: SharedLimiter,
    /// The formatter of the JSON format; `None` in the plain format.
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
                None => writeln!(
                    to,
                    "heathspurd: {count} log lines suppressed by the rate limit ({file}:{line})"
                )?,
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

/// Installs the global `tracing` subscriber, which writes to standard error. Has no effect if one is installed already.
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
    // Write errors are ignored: they cannot be logged, and a reader that closes standard error must not end the server.
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
