//! Plots as SVG.

use plotters::prelude::*;

/// One line of a plot.
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points in the order of their x.
    pub points: Vec<(f64, f64)>,
}

/// What stands at a plot's edges.
pub struct Labels<'a> {
    /// Title.
    pub title: &'a str,
    /// Meaning and unit of x.
    pub x: &'a str,
    /// Meaning and unit of y.
    pub y: &'a str,
}

const SIZE: (u32, u32) = (760, 360);

fn bounds(series: &[Series]) -> (std::ops::Range<f64>, std::ops::Range<f64>) {
    let points = || series.iter().flat_map(|series| series.points.iter());
    let largest = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(1e-9, f64::max);
    let smallest_x = points()
        .map(|point| point.0)
        .fold(f64::MAX, f64::min)
        .min(0.0);
    (
        smallest_x..largest(|point| point.0) * 1.02,
        0.0..largest(|point| point.1) * 1.1,
    )
}

/// A plot of lines with their points marked.
pub fn lines(labels: &Labels<'_>, series: &[Series]) -> String {
    let mut svg = String::new();
    // Drawing into memory fails only on a fault of the library; the page then
    // goes without this plot.
    if draw(labels, series, &mut svg).is_err() {
        svg.clear();
    }
    svg
}

fn draw(
    labels: &Labels<'_>,
    series: &[Series],
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (x, y) = bounds(series);
    let mut chart = ChartBuilder::on(&area)
        .caption(labels.title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(x, y)?;
    chart
        .configure_mesh()
        .x_desc(labels.x)
        .y_desc(labels.y)
        .draw()?;
    for (index, line) in series.iter().enumerate() {
        let color = Palette99::pick(index).mix(0.9);
        let style = ShapeStyle::from(&color).stroke_width(2);
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), style))?
            .label(line.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        let marks = line
            .points
            .iter()
            .map(|point| Circle::new(*point, 2, color.filled()));
        chart.draw_series(marks)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    area.present()?;
    drop(chart);
    Ok(())
}
