//! SVG plots of the requests in each second of a load.

use std::io;

use plotters::prelude::*;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (1000, 320);
/// Opacity of the vertical marks, low enough for the series to stand out.
const MARK_OPACITY: f64 = 0.3;

/// A curve of one value per second, with its color.
pub type Series = (Vec<u64>, RGBColor);

/// Draws series of values per second, and vertical marks at times in seconds, as SVG.
///
/// `max` is the largest value of the vertical axis, above which a tenth is left free.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn.
pub fn draw(
    seconds: f64,
    max: u64,
    marks: &[(f64, RGBColor)],
    series: &[Series],
) -> io::Result<String> {
    let mut svg = String::new();
    let height = max as f64 * 1.1;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let failed = |error: DrawingAreaErrorKind<_>| io::Error::other(error.to_string());
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .build_cartesian_2d(0.0..seconds, 0.0..height)
            .map_err(failed)?;
        for (at, color) in marks {
            let line = LineSeries::new([(*at, 0.0), (*at, height)], color.mix(MARK_OPACITY));
            chart.draw_series(line).map_err(failed)?;
        }
        for (values, color) in series {
            let point = |(second, value): (usize, &u64)| (second as f64 + 0.5, *value as f64);
            let points = values.iter().enumerate().map(point);
            let line = LineSeries::new(points, color);
            chart.draw_series(line).map_err(failed)?;
        }
        area.present().map_err(failed)?;
    }
    Ok(svg)
}
