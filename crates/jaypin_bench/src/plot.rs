//! Plots a comparison: weighted goodput and wasted prefill as functions of the load.

use std::collections::BTreeMap;

use plotters::prelude::*;
use serde::Deserialize;

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (960, 420);
/// Margin around each diagram, in pixels.
const MARGIN: u32 = 12;
/// Space for the labels of an axis, in pixels.
const LABELS: u32 = 40;

/// The fields of a run's report that are plotted.
#[derive(Debug, Clone, Deserialize)]
pub struct Run {
    /// Scheduling policy of the hosts.
    pub policy: String,
    /// Offered load as a multiple of the engines' capacity.
    pub load: f64,
    /// Goodput weighted by tier, 0 to 1.
    pub weighted_goodput: f64,
    /// Ratio of wasted to all prefill tokens, 0 to 1.
    pub wasted_prefill: f64,
}

/// Plots the runs of `compare --json` as SVG: one line per policy through the means over
/// seeds, and one dot per run.
///
/// # Errors
/// When there is no run, or the image can't be drawn.
pub fn plot(runs: &[Run]) -> Result<String, AnyError> {
    if runs.is_empty() {
        return Err("no runs to draw".into());
    }
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let halves = area.split_evenly((1, 2));
        let goodput = |run: &Run| run.weighted_goodput;
        let wasted = |run: &Run| run.wasted_prefill;
        draw_diagram(&halves[0], "goodput weighted by tier", runs, goodput)?;
        draw_diagram(&halves[1], "wasted prefill", runs, wasted)?;
        area.present()?;
    }
    Ok(svg)
}

fn draw_diagram(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    runs: &[Run],
    metric: impl Fn(&Run) -> f64,
) -> Result<(), AnyError> {
    let most = runs.iter().map(|run| run.load).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..most * 1.05, 0.0..1.0)?;
    chart.configure_mesh().x_desc("load over capacity").draw()?;
    for (index, (policy, points)) in by_policy(runs, &metric).into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(means(&points), color.stroke_width(2)))?
            .label(policy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 14, y + 4)], color.filled()));
        let dots = points
            .iter()
            .map(|point| Circle::new(*point, 3, color.filled()));
        chart.draw_series(dots)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

fn by_policy(runs: &[Run], metric: impl Fn(&Run) -> f64) -> BTreeMap<&str, Vec<(f64, f64)>> {
    let mut all: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for run in runs {
        all.entry(&run.policy)
            .or_default()
            .push((run.load, metric(run)));
    }
    for points in all.values_mut() {
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
    }
    all
}

/// Returns the mean for each load; the points must be sorted by load.
fn means(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    points
        .chunk_by(|a, b| a.0.total_cmp(&b.0).is_eq())
        .map(|same| {
            let sum: f64 = same.iter().map(|point| point.1).sum();
            let count = u32::try_from(same.len()).unwrap_or(u32::MAX);
            (same[0].0, sum / f64::from(count))
        })
        .collect()
}
