//! Renders the report as a self-contained HTML page.

use std::fmt::Write;

use crate::burn::{BurnReport, BurnRow, CurvePoint, format_rate};

/// The width of a curve, in pixels.
const WIDTH_PX: f64 = 640.0;
/// The height of a curve, in pixels.
const HEIGHT_PX: f64 = 120.0;
/// The smallest burn rate that the top of a curve's axis stands for.
const BURN_AXIS_MIN: f64 = 2.0;

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;margin:2em auto;max-width:46em;\
padding:0 1em;color:#1c2430}h2{font-size:1.1em;margin:2em 0 .3em}table{border-collapse:collapse}\
td,th{text-align:right;padding:.2em 1em .2em 0}.missing{color:#9b1c1c}\
svg{display:block;width:100%;height:auto;background:#f5f7fa}";

/// Renders the report as HTML, with a burn-rate curve for each row.
pub fn to_html(report: &BurnReport) -> String {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\
         <h1>Service-level burn</h1>\n"
    );
    for status in &report.routers {
        if let Some(reason) = &status.missing {
            let reason = escape(reason);
            let _ = writeln!(
                page,
                "<p class=\"missing\">Router {} is missing: {reason}. Its requests since its \
                 last answer are not counted.</p>",
                status.router
            );
        }
    }
    if report.rows.is_empty() {
        page.push_str("<p>No service level has requests, or none is defined.</p>\n");
    }
    for row in &report.rows {
        push_row(&mut page, row);
    }
    page.push_str("</body></html>\n");
    page
}

fn push_row(page: &mut String, row: &BurnRow) {
    let left = row
        .budget_left
        .map_or_else(|| "-".to_owned(), |left| format!("{:.1}%", left * 100.0));
    let _ = writeln!(
        page,
        "<h2>{}, team {}</h2><table><tr><th>requests</th><th>bad</th><th>budget left</th>\
         <th>short burn</th><th>long burn</th></tr><tr><td>{}</td><td>{}</td><td>{left}</td>\
         <td>{}</td><td>{}</td></tr></table>",
        escape(&row.service_level),
        escape(&row.team),
        row.requests,
        row.bad,
        format_rate(row.short_burn),
        format_rate(row.long_burn),
    );
    push_curve(page, &row.curve);
}

/// Draws the burn rate, with a dashed line at 1, the rate at which the budget lasts exactly its
/// window.
fn push_curve(page: &mut String, curve: &[CurvePoint]) {
    let (Some(first), Some(last)) = (curve.first(), curve.last()) else {
        return;
    };
    let highest = curve.iter().filter_map(|point| point.burn);
    let highest = highest.fold(BURN_AXIS_MIN, f64::max);
    let span_ms = (last.time_ms - first.time_ms).max(1) as f64;
    let x = |point: &CurvePoint| (point.time_ms - first.time_ms) as f64 / span_ms * WIDTH_PX;
    let y = |burn: f64| HEIGHT_PX - burn / highest * HEIGHT_PX;
    let unit_y = y(1.0);
    let _ = write!(
        page,
        "<svg viewBox=\"0 0 {WIDTH_PX} {HEIGHT_PX}\" role=\"img\" aria-label=\"Burn rate over \
         the short window, up to {highest:.2}\"><line x1=\"0\" x2=\"{WIDTH_PX}\" y1=\"{unit_y:.1}\" \
         y2=\"{unit_y:.1}\" stroke=\"#9aa5b1\" stroke-dasharray=\"4 4\"/>"
    );
    // A time without requests is a gap in the curve, not a rate of zero.
    for segment in curve.split(|point| point.burn.is_none()) {
        let points: Vec<String> = segment
            .iter()
            .filter_map(|point| Some(format!("{:.1},{:.1}", x(point), y(point.burn?))))
            .collect();
        if let [only] = &points[..] {
            let (x, y) = only.split_once(',').expect("a point has two coordinates");
            let _ = write!(
                page,
                "<circle cx=\"{x}\" cy=\"{y}\" r=\"3\" fill=\"#b4451f\"/>"
            );
        } else if !points.is_empty() {
            let points = points.join(" ");
            let _ = write!(
                page,
                "<polyline fill=\"none\" stroke=\"#b4451f\" stroke-width=\"2\" points=\"{points}\"/>"
            );
        }
    }
    let _ = writeln!(page, "</svg><p>Highest shown: {highest:.2}; dashed: 1.</p>");
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    text.replace('>', "&gt;").replace('"', "&quot;")
}

#[cfg(test)]
mod tests;
