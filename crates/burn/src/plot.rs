//! Draws the burn of the last hour as an SVG chart.

use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::chart::SeriesLabelPosition;
use plotters::coord::Shift;
use plotters::drawing::DrawingArea;
use plotters::drawing::IntoDrawingArea;
use plotters::element::Circle;
use plotters::element::PathElement;
use plotters::series::LineSeries;
use plotters::style::BLACK;
use plotters::style::Color;
use plotters::style::RGBColor;
use plotters::style::TRANSPARENT;
use plotters::style::WHITE;

use crate::Report;
use crate::Series;
use crate::sheet::LONG_WINDOW_MINUTES;
use crate::sheet::SHORT_WINDOW_MINUTES;

/// Width and height in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Least upper end of the burn axis, so that there is room above the objective's line at 1.
const AXIS_MIN_TOP: f64 = 2.0;
/// Upper end of the burn axis as a multiple of the highest burn.
const HEADROOM_FACTOR: f64 = 1.1;
/// Colours of the ranks, the most urgent first; they repeat if there are more ranks.
const COLOURS: [RGBColor; 8] = [
    RGBColor(200, 30, 30),
    RGBColor(30, 90, 200),
    RGBColor(30, 140, 60),
    RGBColor(200, 120, 0),
    RGBColor(120, 40, 160),
    RGBColor(0, 140, 150),
    RGBColor(110, 110, 110),
    RGBColor(150, 80, 40),
];

/// An error of the plot library.
pub type Error = Box<dyn std::error::Error>;

/// Draws the burn of each rank as an SVG document.
///
/// The line of a rank has a gap where a slot has no requests, and a chart
/// without any line says in its title that nothing is known, so that neither
/// can be taken for a burn of zero.
///
/// # Errors
///
/// Those of the plot library.
pub fn svg(report: &Report) -> Result<String, Error> {
    let mut text = String::new();
    draw(report, SVGBackend::with_string(&mut text, SIZE).into_drawing_area())?;
    Ok(text)
}

fn draw(report: &Report, area: DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), Error> {
    area.fill(&WHITE)?;
    let window = -(LONG_WINDOW_MINUTES as f64)..0.0;
    let mut chart = ChartBuilder::on(&area)
        .caption(title(report), ("sans-serif", 22))
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(window.clone(), 0.0..axis_top(report))?;
    chart
        .configure_mesh()
        .x_desc("minutes ago")
        .y_desc("budget burnt per budget allowed")
        .x_label_formatter(&|minute| format!("{:.0}", minute.abs()))
        .label_style(("sans-serif", 16))
        .axis_desc_style(("sans-serif", 16))
        .light_line_style(TRANSPARENT)
        .draw()?;
    let objective = [(window.start, 1.0), (window.end, 1.0)];
    chart
        .draw_series(LineSeries::new(objective, BLACK.mix(0.6)))?
        .label("objective")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLACK.mix(0.6)));
    for (series, colour) in report.series.iter().zip(COLOURS.iter().cycle()) {
        let style = colour.stroke_width(2);
        for segment in segments(series) {
            chart
                .draw_series(segment.iter().map(|&point| Circle::new(point, 3, colour.filled())))?;
            chart.draw_series(LineSeries::new(segment, style))?;
        }
        chart
            .draw_series(LineSeries::new([], style))?
            .label(&series.rank)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK.mix(0.4))
        .label_font(("sans-serif", 16))
        .draw()?;
    area.present()?;
    Ok(())
}

fn title(report: &Report) -> String {
    let counted = report.counted.len();
    let mut title = format!("Service-level burn, {counted} processes counted");
    if !report.missing.is_empty() {
        title.push_str(&format!(", {} missing", report.missing.len()));
    }
    if !report.restarted.is_empty() {
        title.push_str(&format!(", {} restarted", report.restarted.len()));
    }
    if report.series.is_empty() {
        title.push_str(": nothing is known");
    }
    title
}

fn axis_top(report: &Report) -> f64 {
    let points = report.series.iter().flat_map(|series| &series.points);
    let highest = points.filter_map(|point| point.window.burn).fold(0.0, f64::max);
    (highest * HEADROOM_FACTOR).max(AXIS_MIN_TOP)
}

/// Returns the points of the line, split where slots have no requests; a point
/// lies in the middle of its slot.
fn segments(series: &Series) -> Vec<Vec<(f64, f64)>> {
    let mut segments: Vec<Vec<(f64, f64)>> = Vec::new();
    let mut next = None;
    for point in &series.points {
        let Some(burn) = point.window.burn else { continue };
        let middle = -(point.ago as f64) - SHORT_WINDOW_MINUTES as f64 / 2.0;
        if next != Some(point.ago) {
            segments.push(Vec::new());
        }
        next = Some(point.ago + SHORT_WINDOW_MINUTES);
        if let Some(segment) = segments.last_mut() {
            segment.push((middle, burn));
        }
    }
    segments
}
