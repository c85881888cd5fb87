//! Charts, as SVG.

use crate::load::Loaded;
use heathspur_replay::outcome::{Outcome, RequestState};
use heathspur_replay::plan::Plan;
use plotters::prelude::*;
use std::io;
use std::path::Path;

const SIZE: (u32, u32) = (960, 480);
/// Steps of a curve of quantiles.
const STEPS: usize = 400;

/// One curve: its name and its points.
pub type Curve<'a> = (&'a str, Vec<(f64, f64)>);

/// Requests intended, sent and answered in each second.
pub fn rates(file: &Path, plan: &Plan, outcomes: &[Outcome]) -> io::Result<()> {
    let seconds = (plan.last_send_at / 1_000_000_000) as usize + 2;
    let count = |time: &dyn Fn(&Outcome) -> Option<u64>| {
        let mut counts = vec![0_u32; seconds];
        for at in outcomes.iter().filter_map(time) {
            if let Some(count) = counts.get_mut((at / 1_000_000_000) as usize) {
                *count += 1;
            }
        }
        counts
            .into_iter()
            .enumerate()
            .map(|(s, n)| (s as f64, f64::from(n)))
            .collect::<Vec<_>>()
    };
    let answered = |outcome: &Outcome| match outcome.state {
        RequestState::Answered {
            last_byte_at: last, ..
        } => Some(last),
        _ => None,
    };
    let curves: [Curve<'_>; 3] = [
        ("intended", count(&|outcome| Some(outcome.intended_at))),
        ("sent", count(&|outcome| outcome.sent_at)),
        ("answered", count(&answered)),
    ];
    lines(file, "Requests a second", ("second", "requests"), &curves)
}

/// Latency by quantile, recorded and replayed.
pub fn latency(file: &Path, loaded: &Loaded, plan: &Plan, outcomes: &[Outcome]) -> io::Result<()> {
    let then = plan.requests.iter().filter_map(|send| {
        let request = &loaded.requests[send.recorded];
        request
            .response
            .as_ref()
            .map(|answer| answer.last_byte_at.saturating_sub(request.last_byte_at))
    });
    let now = outcomes.iter().filter_map(|outcome| match outcome.state {
        RequestState::Answered {
            last_byte_at: last, ..
        } => Some(last.saturating_sub(outcome.intended_at)),
        _ => None,
    });
    let curves: [Curve<'_>; 2] = [
        ("recorded", quantiles(then.collect())),
        ("replayed", quantiles(now.collect())),
    ];
    lines(
        file,
        "Latency by quantile",
        ("quantile in %", "ms"),
        &curves,
    )
}

fn quantiles(mut times: Vec<u64>) -> Vec<(f64, f64)> {
    times.sort_unstable();
    let Some(last) = times.len().checked_sub(1) else {
        return Vec::new();
    };
    let point = |step: usize| {
        (
            100.0 * step as f64 / STEPS as f64,
            times[last * step / STEPS] as f64 / 1e6,
        )
    };
    (0..=STEPS).map(point).collect()
}

/// A chart of curves.
pub fn lines(file: &Path, title: &str, axes: (&str, &str), curves: &[Curve<'_>]) -> io::Result<()> {
    let all = || curves.iter().flat_map(|(_, points)| points);
    let right = all().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = all().map(|(_, y)| *y).fold(1.0, f64::max) * 1.05;
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(file, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc(axes.0)
            .y_desc(axes.1)
            .draw()?;
        for (n, (name, points)) in curves.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
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
