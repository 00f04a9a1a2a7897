//! A plot of the burn rate over time, in SVG.

use std::fmt::Write;

use crate::process::burn::BurnReport;

/// The size of one service's panel, in pixels.
const WIDTH: f64 = 640.0;
const HEIGHT: f64 = 140.0;
/// The margins of a panel, in pixels.
const LEFT: f64 = 50.0;
const TOP: f64 = 30.0;
const BOTTOM: f64 = 20.0;

/// Returns a plot with a panel for each service; the dashed line is a burn rate of one.
pub fn svg(reports: &[BurnReport]) -> String {
    let height = HEIGHT * reports.len().max(1) as f64;
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    for (number, report) in reports.iter().enumerate() {
        panel(&mut text, report, HEIGHT * number as f64);
    }
    text.push_str("</svg>\n");
    text
}

fn panel(text: &mut String, report: &BurnReport, y: f64) {
    let rates: Vec<f64> = report
        .recent
        .iter()
        .map(|c| c.burn_rate(&report.objective))
        .collect();
    let highest = rates.iter().copied().fold(2.0, f64::max);
    let base = y + HEIGHT - BOTTOM;
    let scale = (HEIGHT - TOP - BOTTOM) / highest;
    let step = (WIDTH - LEFT - 10.0) / rates.len().max(1) as f64;
    let title = format!(
        "{}: burn rate, {}% in {} ms, 10 s steps, latest right",
        report.service, report.objective.availability_percent, report.objective.latency_ms
    );
    let one = base - scale;
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "<text x=\"{LEFT}\" y=\"{:.1}\">{title}</text>",
        y + 18.0
    );
    let _ = writeln!(
        text,
        "<text x=\"5\" y=\"{:.1}\">{highest:.1}</text>",
        y + TOP + 4.0
    );
    let _ = writeln!(text, "<text x=\"5\" y=\"{base:.1}\">0</text>");
    for (number, rate) in rates.iter().enumerate() {
        let x = LEFT + step * number as f64;
        let high = rate * scale;
        let colour = if *rate > 1.0 { "#c0392b" } else { "#2e86c1" };
        let _ = writeln!(
            text,
            "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{high:.1}\" fill=\"{colour}\"/>",
            base - high,
            step * 0.8
        );
    }
    let right = WIDTH - 10.0;
    let _ = writeln!(
        text,
        "<path d=\"M{LEFT} {one:.1}H{right}M{LEFT} {base:.1}H{right}\" stroke=\"black\" \
         stroke-dasharray=\"4 3\" fill=\"none\"/>"
    );
}
