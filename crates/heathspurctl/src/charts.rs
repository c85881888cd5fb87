//! Charts in SVG files.

use crate::recording::Loaded;
use heathspur_replay::outcome::{Outcome, RequestState};
use heathspur_replay::plan::Plan;
use plotters::prelude::*;
use std::io;
use std::path::Path;

/// Width and height of a chart, in pixels.
const SIZE_PIXELS: (u32, u32) = (960, 480);
/// Number of points of a quantile curve, minus one.
const QUANTILE_STEPS: usize = 400;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// A curve: its name and its points.
pub type Curve<'a> = (&'a str, Vec<(f64, f64)>);

/// Draws the numbers of requests intended, sent and answered in each second of a replay.
pub fn rate_chart(file: &Path, plan: &Plan, outcomes: &[Outcome]) -> io::Result<()> {
    let seconds = (plan.last_send_at / NANOS_PER_SECOND) as usize + 2;
    let per_second = |time: &dyn Fn(&Outcome) -> Option<u64>| {
        let mut counts = vec![0_u32; seconds];
        for at in outcomes.iter().filter_map(time) {
            if let Some(count) = counts.get_mut((at / NANOS_PER_SECOND) as usize) {
                *count += 1;
            }
        }
        counts
            .into_iter()
            .enumerate()
            .map(|(second, count)| (second as f64, f64::from(count)))
            .collect::<Vec<_>>()
    };
    let answered_at = |outcome: &Outcome| match outcome.state {
        RequestState::Answered { last_byte_at, .. } => Some(last_byte_at),
        _ => None,
    };
    let intended_at = |outcome: &Outcome| Some(outcome.intended_at);
    let curves: [Curve<'_>; 3] = [
        ("intended", per_second(&intended_at)),
        ("sent", per_second(&|outcome| outcome.sent_at)),
        ("answered", per_second(&answered_at)),
    ];
    line_chart(file, "Requests a second", ("second", "requests"), &curves)
}

/// Draws the recorded and the replayed latency by quantile.
pub fn latency_chart(
    file: &Path,
    loaded: &Loaded,
    plan: &Plan,
    outcomes: &[Outcome],
) -> io::Result<()> {
    let recorded = plan.requests.iter().filter_map(|planned| {
        let request = &loaded.requests[planned.recorded];
        request
            .response
            .as_ref()
            .map(|response| response.last_byte_at.saturating_sub(request.last_byte_at))
    });
    let replayed = outcomes.iter().filter_map(|outcome| match outcome.state {
        RequestState::Answered { last_byte_at, .. } => {
            Some(last_byte_at.saturating_sub(outcome.intended_at))
        }
        _ => None,
    });
    let curves: [Curve<'_>; 2] = [
        ("recorded", quantile_curve(recorded.collect())),
        ("replayed", quantile_curve(replayed.collect())),
    ];
    line_chart(
        file,
        "Latency by quantile",
        ("quantile in %", "ms"),
        &curves,
    )
}

/// Returns the quantiles of latencies in nanoseconds, as points of percent and milliseconds.
fn quantile_curve(mut latencies: Vec<u64>) -> Vec<(f64, f64)> {
    latencies.sort_unstable();
    let Some(last) = latencies.len().checked_sub(1) else {
        return Vec::new();
    };
    let point = |step: usize| {
        (
            100.0 * step as f64 / QUANTILE_STEPS as f64,
            latencies[last * step / QUANTILE_STEPS] as f64 / 1e6,
        )
    };
    (0..=QUANTILE_STEPS).map(point).collect()
}

/// Draws curves into an SVG file. `axes` has the labels of the x and the y axis.
pub fn line_chart(
    file: &Path,
    title: &str,
    axes: (&str, &str),
    curves: &[Curve<'_>],
) -> io::Result<()> {
    let points = || curves.iter().flat_map(|(_, points)| points);
    let max_x = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let max_y = points().map(|(_, y)| *y).fold(1.0, f64::max) * 1.05;
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
        chart
            .configure_mesh()
            .x_desc(axes.0)
            .y_desc(axes.1)
            .draw()?;
        for (index, (name, points)) in curves.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(
                    points.iter().copied(),
                    colour.stroke_width(2),
                ))?
                .label(*name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| io::Error::other(e.to_string()))
}
