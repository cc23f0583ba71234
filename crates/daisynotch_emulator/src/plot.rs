//! Plots a report as SVG: the earned fraction of the requested worth in each second, and crashes of
//! engines under a fatal prompt part.

use std::fmt::Write;

use crate::figures::Report;
use crate::policy::PolicyName;

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 360.0;
const MARGIN: f64 = 48.0;
/// Line colours, which stay distinguishable with red-green colour blindness.
const COLOURS: [&str; 5] = ["#0072b2", "#d55e00", "#009e73", "#cc79a7", "#666666"];

/// Height of the panel with the crashes.
const CRASH_PANEL_HEIGHT: f64 = 260.0;

/// Draws one line for each policy, with the worth summed over its seeds.
///
/// If a prompt part crashed engines, a second panel has the crashes so far, the mean over the
/// seeds, and what each policy refused.
pub fn to_svg(report: &Report) -> String {
    let mut policies: Vec<PolicyName> = Vec::new();
    for run in &report.runs {
        if !policies.contains(&run.policy) {
            policies.push(run.policy);
        }
    }
    let seconds = report.runs.iter().map(|run| run.seconds.len()).max();
    let seconds = seconds.unwrap_or(0).max(2);
    let x = |second: usize| MARGIN + (WIDTH - 2.0 * MARGIN) * second as f64 / (seconds - 1) as f64;
    let y = |fraction: f64| HEIGHT - MARGIN - (HEIGHT - 2.0 * MARGIN) * fraction.clamp(0.0, 1.0);
    let has_crashes = report.runs.iter().any(|run| run.part_crashes > 0);
    let total_height = if has_crashes {
        HEIGHT + CRASH_PANEL_HEIGHT
    } else {
        HEIGHT
    };
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{total_height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{MARGIN}\" y=\"20\">{}: worth earned, as a part of what was asked</text>\n",
        escape(&report.name)
    );
    for gridline in [0.0, 0.25, 0.5, 0.75, 1.0] {
        let at = y(gridline);
        let end = WIDTH - MARGIN;
        // Writing to a `String` never fails.
        let _ = writeln!(
            svg,
            "<line x1=\"{MARGIN}\" x2=\"{end}\" y1=\"{at:.1}\" y2=\"{at:.1}\" stroke=\"#ddd\"/>\
             <text x=\"8\" y=\"{:.1}\">{gridline:.2}</text>",
            at + 4.0
        );
    }
    for (policy, colour) in policies.iter().zip(COLOURS.iter().cycle()) {
        let points: Vec<String> = (0..seconds)
            .map(|second| {
                let runs = report.runs.iter().filter(|run| run.policy == *policy);
                let sums = runs
                    .filter_map(|run| run.seconds.get(second))
                    .fold((0.0, 0.0), |sum, at| (sum.0 + at.owed, sum.1 + at.earned));
                let fraction = if sums.0 > 0.0 { sums.1 / sums.0 } else { 1.0 };
                format!("{:.1},{:.1}", x(second), y(fraction))
            })
            .collect();
        draw_line(&mut svg, colour, &points);
    }
    for (index, policy) in policies.iter().enumerate() {
        let left = MARGIN + 170.0 * index as f64;
        let _ = writeln!(
            svg,
            "<text x=\"{left}\" y=\"{:.1}\" fill=\"{}\">{}</text>",
            HEIGHT - 16.0,
            COLOURS[index % COLOURS.len()],
            policy.as_str()
        );
    }
    if has_crashes {
        draw_crashes(&mut svg, report, &policies, seconds, &x);
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_line(svg: &mut String, colour: &str, points: &[String]) {
    let _ = writeln!(
        svg,
        "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\" points=\"{}\"/>",
        points.join(" ")
    );
}

/// Draws the engines that crashed under a fatal prompt part by the end of each second.
fn draw_crashes(
    svg: &mut String,
    report: &Report,
    policies: &[PolicyName],
    seconds: usize,
    x: &dyn Fn(usize) -> f64,
) {
    let crashes_by = |policy: PolicyName, second: usize| {
        report.mean(policy, |run| {
            let second = run.seconds.get(second);
            second.map_or(run.part_crashes, |second| second.part_crashes) as f64
        })
    };
    let last = seconds - 1;
    let most = policies.iter().map(|policy| crashes_by(*policy, last));
    let most = most.fold(1.0, f64::max);
    let bottom = HEIGHT + CRASH_PANEL_HEIGHT - MARGIN;
    let y = |crashes: f64| bottom - (CRASH_PANEL_HEIGHT - 2.0 * MARGIN) * crashes / most;
    let _ = writeln!(
        svg,
        "<text x=\"{MARGIN}\" y=\"{:.1}\">engines crashed under the fatal part, up to {most:.0}; \
         sound requests refused for their prompts; time from the first crash to the block</text>",
        HEIGHT + 20.0
    );
    for (policy, colour) in policies.iter().zip(COLOURS.iter().cycle()) {
        let points: Vec<String> = (0..seconds)
            .map(|second| format!("{:.1},{:.1}", x(second), y(crashes_by(*policy, second))))
            .collect();
        draw_line(svg, colour, &points);
    }
    for (index, policy) in policies.iter().enumerate() {
        let runs = report.runs.iter().filter(|run| run.policy == *policy);
        let blocks: Vec<f64> = runs.filter_map(|run| run.block_after_s).collect();
        let block = if blocks.is_empty() {
            "never".to_owned()
        } else {
            let mean_s = blocks.iter().sum::<f64>() / blocks.len() as f64;
            format!("{mean_s:.1} s")
        };
        let _ = writeln!(
            svg,
            "<text x=\"{:.1}\" y=\"{:.1}\" fill=\"{}\">{:.1}; {:.0}; {block}</text>",
            MARGIN + 170.0 * index as f64,
            bottom + 24.0,
            COLOURS[index % COLOURS.len()],
            crashes_by(*policy, last),
            report.mean(*policy, |run| run.blocked_sound as f64),
        );
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
