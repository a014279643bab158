//! Renders an HTML page with plots of saved runs.

use crate::summary::Summary;
use std::fmt::Write;

/// The width of a plot, in pixels.
const PLOT_WIDTH_PX: f64 = 640.0;
/// The height of a plot, in pixels.
const PLOT_HEIGHT_PX: f64 = 90.0;

/// Renders saved runs as one HTML page without scripts.
///
/// # Examples
///
/// ```
/// let page = endivereach_lab::report::render(&[]);
/// assert!(page.starts_with("<!doctype html>"));
/// ```
pub fn render(runs: &[Summary]) -> String {
    let mut page = String::from(
        "<!doctype html><meta charset=utf-8><title>endivereach runs</title>\
         <style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}\
         td,th{padding:2px 8px;text-align:right;border-bottom:1px solid #ccc}\
         td:first-child,th:first-child{text-align:left}.bad{color:#b00}</style>\
         <h1>endivereach runs</h1>",
    );
    render_table(&mut page, runs);
    for run in runs {
        render_run(&mut page, run);
    }
    page
}

fn render_table(page: &mut String, runs: &[Summary]) {
    page.push_str(
        "<table><tr><th>scenario<th>seed<th>ok<th>done<th>lost<th>doubled<th>stale<th>mixed\
         <th>unknown<th>not run<th>gap ms<th>p50 ms<th>p99 ms<th>per s<th>replica reads</tr>",
    );
    for run in runs {
        let class = if run.ok { "" } else { " class=bad" };
        let share = run
            .replica_read_share
            .map_or("".into(), |share| format!("{:.1}%", share * 100.0));
        let _ = write!(
            page,
            "<tr{class}><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}\
             <td>{:.1}<td>{:.1}<td>{:.0}<td>{share}</tr>",
            escape_html(&run.scenario),
            run.seed,
            run.ok,
            run.done,
            run.lost,
            run.doubled,
            run.stale,
            run.mixed,
            run.unknown,
            run.not_run,
            run.failover_gap_ms,
            run.latency_ms.p50_us as f64 / 1000.0,
            run.latency_ms.p99_us as f64 / 1000.0,
            run.statements_per_s,
        );
    }
    page.push_str("</table>");
}

fn render_run(page: &mut String, run: &Summary) {
    let _ = write!(
        page,
        "<h2>{} (seed {})</h2><p>Requests done per quarter of a second:</p>",
        escape_html(&run.scenario),
        run.seed
    );
    render_plot(page, &run.series);
    for missed in &run.missed {
        let _ = write!(page, "<p class=bad>missed: {}</p>", escape_html(missed));
    }
    for quoted in &run.quoted {
        let _ = write!(
            page,
            "<p class=bad>{}: {}</p>",
            escape_html(&quoted.invariant),
            escape_html(&quoted.detail)
        );
    }
}

fn render_plot(page: &mut String, series: &[u32]) {
    let max_count = f64::from(series.iter().copied().max().unwrap_or(0).max(1));
    let step = PLOT_WIDTH_PX / series.len().max(1) as f64;
    let _ = write!(
        page,
        "<svg width={PLOT_WIDTH_PX} height={PLOT_HEIGHT_PX} style=\"background:#f4f4f4\">\
         <polyline fill=none stroke=#236 stroke-width=1.5 points=\""
    );
    for (index, &count) in series.iter().enumerate() {
        let x = index as f64 * step;
        let y = PLOT_HEIGHT_PX - f64::from(count) / max_count * (PLOT_HEIGHT_PX - 4.0);
        let _ = write!(page, "{x:.1},{y:.1} ");
    }
    let _ = write!(page, "\"/></svg><p>highest: {max_count}</p>");
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
