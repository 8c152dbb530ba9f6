use std::path;

use plotters::prelude as draw;
use plotters::prelude::IntoDrawingArea as _;

use super::bucket;
use super::report;

const SIZE: (u32, u32) = (1_000, 900);
const FONT: (&str, i32) = ("sans-serif", 16);
const COLOURS: [draw::RGBColor; 6] = [
    draw::BLUE,
    draw::RED,
    draw::GREEN,
    draw::MAGENTA,
    draw::CYAN,
    draw::BLACK,
];

type Area<'a> = draw::DrawingArea<draw::SVGBackend<'a>, plotters::coord::Shift>;

struct Line<'a> {
    name: &'a str,
    points: Vec<(f64, f64)>,
}

/// Writes an SVG of the run: attained and refused requests a second and the time to the first token.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub fn plot(report: &report::Report, file: &path::Path) -> super::Result<()> {
    try_plot(report, file).map_err(|error| super::Error::Plot(error.to_string()))
}

fn try_plot(report: &report::Report, file: &path::Path) -> Result<(), Box<dyn std::error::Error>> {
    // Drawn in memory, because the backend reports an unwritable file only by a panic when it is dropped.
    let mut svg = String::new();
    {
        let area = draw::SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&draw::WHITE)?;
        let parts = area.split_evenly((3, 1));
        let attained = report
            .workspaces
            .iter()
            .enumerate()
            .map(|(index, summary)| Line {
                name: &summary.name,
                points: points(report, |s| Some(bucket::as_float(s.attained[index]))),
            });
        let attained: Vec<_> = attained.collect();
        let refused = Line {
            name: "refused",
            points: points(report, |s| Some(bucket::as_float(s.refused))),
        };
        let first = Line {
            name: "p95",
            points: points(report, |s| s.first_token_p95_ms),
        };
        chart(&parts[0], "attained requests a second", &attained)?;
        chart(&parts[1], "refused requests a second", &[refused])?;
        chart(&parts[2], "time to first token, p95, in ms", &[first])?;
        area.present()?;
    }
    std::fs::write(file, svg)?;
    Ok(())
}

fn points(
    report: &report::Report,
    value: impl Fn(&report::Second) -> Option<f64>,
) -> Vec<(f64, f64)> {
    let seconds = report.seconds.iter().enumerate();
    let points = seconds.filter_map(|(at, second)| {
        let at = bucket::as_float(at as u64);
        value(second).map(|value| (at, value))
    });
    points.collect()
}

fn chart(
    area: &Area<'_>,
    caption: &str,
    lines: &[Line<'_>],
) -> Result<(), Box<dyn std::error::Error>> {
    let all = || lines.iter().flat_map(|line| &line.points);
    let right = all().map(|point| point.0).fold(1.0, f64::max);
    let top = all().map(|point| point.1).fold(1.0, f64::max) * 1.05;
    let mut chart = draw::ChartBuilder::on(area)
        .caption(caption, FONT)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().draw()?;
    for (index, line) in lines.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        chart
            .draw_series(draw::LineSeries::new(line.points.iter().copied(), &colour))?
            .label(line.name)
            .legend(move |(x, y)| draw::PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(draw::WHITE)
        .draw()?;
    Ok(())
}
