//! The program's log: lines on standard error, at most so many a second, what is left out counted by the place
//! in the program that it comes from.
//!
//! Events go through `tracing`: a level that is off costs one comparison. Plain lines are the words alone;
//! lines of JSON carry the fields as well.

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

/// A place in the program that writes lines: its file and line.
type Site = (&'static str, u32);

/// Decides which lines are written. It has no clock of its own.
#[derive(Debug)]
struct Limiter {
    most: u32,
    second: Option<Instant>,
    lines: u32,
    /// As many as there are places in the program at most.
    left_out: BTreeMap<Site, u64>,
}

impl Limiter {
    fn new(most: u32) -> Limiter {
        Limiter {
            most,
            second: None,
            lines: 0,
            left_out: BTreeMap::new(),
        }
    }

    fn admits(&mut self, now: Instant, site: Site) -> bool {
        if self
            .second
            .is_none_or(|start| now.saturating_duration_since(start) >= SECOND)
        {
            (self.second, self.lines) = (Some(now), 0);
        }
        if self.lines < self.most {
            self.lines += 1;
            true
        } else {
            *self.left_out.entry(site).or_default() += 1;
            false
        }
    }

    /// What was left out since it was told last.
    fn tell(&mut self) -> BTreeMap<Site, u64> {
        std::mem::take(&mut self.left_out)
    }
}

/// The limiter as the parts of the log share it.
#[derive(Clone)]
struct Shared(Arc<Mutex<Limiter>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Limiter> {
        // It is whole after a panic: nothing is done in steps to it.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S> Filter<S> for Shared {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.lock().admits(Instant::now(), site(event.metadata()))
    }
}

fn site(metadata: &'static Metadata<'static>) -> Site {
    (metadata.file().unwrap_or(""), metadata.line().unwrap_or(0))
}

/// A line as it looks, and before it how many were left out and where they came from.
struct Lines {
    limiter: Shared,
    json: Option<tracing_subscriber::fmt::format::Format<Json>>,
}

impl<S, N> FormatEvent<S, N> for Lines
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
        let left_out = self.limiter.lock().tell();
        for ((file, line), count) in left_out {
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
        let mut words = Words(String::new());
        event.record(&mut words);
        writeln!(to, "heathspurd: {}", words.0)
    }
}

/// The words of an event, without its fields.
struct Words(String);

impl Visit for Words {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.0 = format!("{value:?}");
        }
    }
}

/// Sends the process's events to standard error from now on. A second call changes nothing.
pub(crate) fn install(log: &Log) {
    let limiter = Shared(Arc::new(Mutex::new(Limiter::new(log.lines_per_second))));
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
    // A reader that has closed standard error must not end the server, nor be told of it there.
    let layer = tracing_subscriber::fmt::layer()
        .event_format(Lines {
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
