//! The status page for a browser.

use super::Sources;
use super::explain;
use super::status;
use endivereach_wire::operator::GroupStatus;
use endivereach_wire::operator::ProxyStatus;
use endivereach_wire::operator::RulesState;
use std::fmt::Write;

/// The maximum number of events that the page shows.
const EVENTS_SHOWN_MAX: usize = 50;

const HTML_HEAD: &str = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
<meta http-equiv=\"refresh\" content=\"5\"><title>endivereach</title><style>\
body{font:15px/1.5 system-ui,sans-serif;max-width:70rem;margin:2rem auto;padding:0 1rem}\
table{border-collapse:collapse;width:100%;margin:.5rem 0 1.5rem}\
th,td{border-bottom:1px solid #ccc;padding:.3rem .6rem;text-align:left}\
.bad{color:#a40000;font-weight:600}</style></head><body>";

/// Returns the status page as HTML.
pub fn page(sources: &Sources) -> String {
    let status = status::status(sources);
    let mut html = String::from(HTML_HEAD);
    write_summary(&mut html, &status);
    for group in &status.groups {
        write_group(&mut html, group);
    }
    write_events(&mut html, sources);
    html.push_str("</body></html>");
    html
}

fn write_summary(html: &mut String, status: &ProxyStatus) {
    let rules = match status.rules.state {
        RulesState::Current => format!("version {}, current", status.rules.version),
        RulesState::Unconfirmed => format!(
            "version {}, not shown to be current: strictest treatment",
            status.rules.version
        ),
        RulesState::Missing => "none yet: strictest treatment".to_owned(),
    };
    let is_current = status.rules.state == RulesState::Current;
    let state = if status.draining {
        "draining"
    } else {
        "serving"
    };
    let platform = if status.platform_reachable {
        "reachable"
    } else {
        "no recent answer"
    };
    write_html(html, "<h1>", &status.proxy.name.to_string(), "</h1><table>");
    write_row(html, "State", state, !status.draining);
    write_row(html, "Zone", status.zone.as_str(), true);
    write_row(html, "Rules", &rules, is_current);
    write_row(html, "Platform", platform, status.platform_reachable);
    write_row(html, "Peers", &status.peers.to_string(), true);
    write_row(html, "Callers", &status.callers.to_string(), true);
    write_row(
        html,
        "Requests in progress",
        &status.in_flight.to_string(),
        true,
    );
    html.push_str("</table>");
}

fn write_group(html: &mut String, group: &GroupStatus) {
    write_html(html, "<h2>", group.name.as_str(), "</h2>");
    let primary = group
        .primary
        .as_ref()
        .map_or("none", |member| member.as_str());
    let line = format!(
        "Term {}, primary {primary}, {} connections per server",
        group.term, group.share
    );
    write_html(html, "<p>", &line, "</p>");
    html.push_str(
        "<table><tr><th>Member</th><th>Zone</th><th>State</th><th>Behind</th><th>Connections</th></tr>",
    );
    for member in &group.members {
        let state = match (member.reachable, member.leaving) {
            (false, _) => "unreachable",
            (true, true) => "leaving",
            (true, false) => "in rotation",
        };
        html.push_str("<tr>");
        for cell in [
            member.id.as_str(),
            member.zone.as_str(),
            state,
            &member.lag_entries.to_string(),
            &member.connections.to_string(),
        ] {
            write_html(html, "<td>", cell, "</td>");
        }
        html.push_str("</tr>");
    }
    html.push_str("</table>");
}

fn write_events(html: &mut String, sources: &Sources) {
    html.push_str(
        "<h2>Events</h2><table><tr><th>Unix time, ms</th><th>What</th><th>Evidence</th></tr>",
    );
    let events = sources.context.events.recent();
    for recorded in events.iter().rev().take(EVENTS_SHOWN_MAX) {
        let (what, evidence) = explain::describe(&recorded.event);
        html.push_str("<tr>");
        for cell in [&explain::unix_ms(recorded.at).to_string(), &what, &evidence] {
            write_html(html, "<td>", cell, "</td>");
        }
        html.push_str("</tr>");
    }
    html.push_str("</table>");
}

fn write_row(html: &mut String, name: &str, value: &str, is_good: bool) {
    write_html(html, "<tr><th>", name, "</th>");
    let open = if is_good {
        "<td>"
    } else {
        "<td class=\"bad\">"
    };
    write_html(html, open, value, "</td></tr>");
}

/// Writes `text` between two pieces of HTML, with HTML's special characters escaped.
fn write_html(html: &mut String, open: &str, text: &str, close: &str) {
    html.push_str(open);
    for c in text.chars() {
        match c {
            '<' => html.push_str("&lt;"),
            '>' => html.push_str("&gt;"),
            '&' => html.push_str("&amp;"),
            '"' => html.push_str("&quot;"),
            c if c.is_control() => {
                // Writing to a string can't fail.
                let _ = write!(html, "&#{};", u32::from(c));
            }
            c => html.push(c),
        }
    }
    html.push_str(close);
}
