//! SVG plots of burn rates over time.

use std::fmt::Write;

use crate::process::burn::BurnReport;

/// The size of one service's panel, in pixels.
const PANEL_WIDTH: f64 = 640.0;
const PANEL_HEIGHT: f64 = 140.0;
/// The margins of a panel, in pixels.
const MARGIN_LEFT: f64 = 50.0;
const MARGIN_TOP: f64 = 30.0;
const MARGIN_BOTTOM: f64 = 20.0;

/// Returns a plot with one panel per service; the dashed lines mark burn rates of 0 and 1.
pub fn svg(reports: &[BurnReport]) -> String {
    let height = PANEL_HEIGHT * reports.len().max(1) as f64;
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{PANEL_WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    for (number, report) in reports.iter().enumerate() {
        write_panel(&mut text, report, PANEL_HEIGHT * number as f64);
    }
    text.push_str("</svg>\n");
    text
}

/// Appends the panel of one service, whose upper edge is at `y`.
fn write_panel(text: &mut String, report: &BurnReport, y: f64) {
    let rates: Vec<f64> = report
        .recent
        .iter()
        .map(|c| c.burn_rate(&report.objective))
        .collect();
    let highest = rates.iter().copied().fold(2.0, f64::max);
    let zero_y = y + PANEL_HEIGHT - MARGIN_BOTTOM;
    let scale = (PANEL_HEIGHT - MARGIN_TOP - MARGIN_BOTTOM) / highest;
    let bar_step = (PANEL_WIDTH - MARGIN_LEFT - 10.0) / rates.len().max(1) as f64;
    let title = format!(
        "{}: burn rate, {}% in {} ms, 10 s steps, latest right",
        report.service, report.objective.availability_percent, report.objective.latency_ms
    );
    let one_y = zero_y - scale;
    // Writing to a `String` cannot fail, so the results are ignored.
    let _ = writeln!(
        text,
        "<text x=\"{MARGIN_LEFT}\" y=\"{:.1}\">{title}</text>",
        y + 18.0
    );
    let _ = writeln!(
        text,
        "<text x=\"5\" y=\"{:.1}\">{highest:.1}</text>",
        y + MARGIN_TOP + 4.0
    );
    let _ = writeln!(text, "<text x=\"5\" y=\"{zero_y:.1}\">0</text>");
    for (number, rate) in rates.iter().enumerate() {
        let x = MARGIN_LEFT + bar_step * number as f64;
        let height = rate * scale;
        let fill = if *rate > 1.0 { "#c0392b" } else { "#2e86c1" };
        let _ = writeln!(
            text,
            "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"{fill}\"/>",
            zero_y - height,
            bar_step * 0.8
        );
    }
    let right = PANEL_WIDTH - 10.0;
    let _ = writeln!(
        text,
        "<path d=\"M{MARGIN_LEFT} {one_y:.1}H{right}M{MARGIN_LEFT} {zero_y:.1}H{right}\" \
         stroke=\"black\" stroke-dasharray=\"4 3\" fill=\"none\"/>"
    );
}
