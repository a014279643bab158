//! The structured lines of `endivereach-platform`, read back for explanations.

use endivereach_core::ids::ProxyName;
use endivereach_wire::operator::ExplainedStep;
use std::collections::BTreeSet;

/// How long before a request's first line beliefs may have been formed that decided it, in ms: twice the
/// 6 s in which a primary is replaced.
const CONTEXT_BEFORE_MS: u64 = 12_000;

/// Events of other proxies that decide what becomes of a group.
const SHARED_EVENTS: [&str; 5] = [
    "duty-held",
    "fence-answered",
    "promote-answered",
    "promote-ordered",
    "primary",
];

/// One line of a log.
///
/// # Examples
///
/// ```
/// use endivereach::logs::Line;
///
/// let text = r#"ts_ms=7 level=info node=a about=request event=failed request=q1 reason="too late""#;
/// let line = Line::parse(text).unwrap();
/// assert_eq!(line.field("reason"), Some("too late"));
/// assert!(Line::parse("no such line").is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When it was written, by its proxy's clock, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The proxy that wrote it.
    pub node: ProxyName,
    /// What happened or was decided.
    pub event: Box<str>,
    fields: Vec<(Box<str>, Box<str>)>,
}

impl Line {
    /// Reads a line, also behind a prefix that a collector wrote; `None` if it isn't one.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find("ts_ms=")?;
        let mut fields = fields(&text[start..]).into_iter();
        let (_, at) = fields.next()?;
        let fields: Vec<(Box<str>, Box<str>)> = fields.collect();
        let named = |name: &str| {
            let field = fields.iter().find(|(known, _)| &**known == name);
            field.map(|(_, value)| value.clone())
        };
        Some(Self {
            at_unix_ms: at.parse().ok()?,
            node: ProxyName::from(&*named("node")?),
            event: named("event")?,
            fields,
        })
    }

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(known, _)| &**known == name);
        field.map(|(_, value)| &**value)
    }

    /// Returns the line as a step of an explanation.
    pub fn step(&self) -> ExplainedStep {
        let is_shown = |name: &str| !matches!(name, "level" | "node" | "about" | "event");
        let evidence: Vec<String> = self
            .fields
            .iter()
            .filter(|(name, _)| is_shown(name))
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        ExplainedStep {
            at_unix_ms: self.at_unix_ms,
            what: self.event.clone(),
            evidence: evidence.join(" ").into(),
            event: None,
        }
    }
}

/// Splits `name=value` pairs, of which values with spaces are quoted.
fn fields(text: &str) -> Vec<(Box<str>, Box<str>)> {
    let mut fields = Vec::new();
    let mut rest = text.trim();
    while let Some((name, value)) = rest.split_once('=') {
        let (value, after) = match value.strip_prefix('"') {
            Some(quoted) => split_quoted(quoted),
            None => {
                // Values that are printed as structures have spaces inside their brackets.
                let end = end_of_value(value);
                (value[..end].to_owned(), &value[end..])
            }
        };
        fields.push((name.trim().into(), value.into()));
        rest = after.trim_start();
    }
    fields
}

fn split_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((at, character)) = characters.next() {
        match character {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}

fn end_of_value(text: &str) -> usize {
    let mut depth = 0_u32;
    for (at, character) in text.char_indices() {
        match character {
            '(' | '{' | '[' => depth += 1,
            ')' | '}' | ']' => depth = depth.saturating_sub(1),
            ' ' if depth == 0 => return at,
            _ => {}
        }
    }
    text.len()
}

/// Returns the lines that tell what became of a request, by time: its own, and before them what its
/// proxies believed of its group and what others did about the group's primary.
pub fn about_request<'l>(lines: &'l [Line], request: &str) -> Vec<&'l Line> {
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.field("request") == Some(request))
        .collect();
    let (Some(first_ms), Some(last_ms)) = (
        own.iter().map(|line| line.at_unix_ms).min(),
        own.iter().map(|line| line.at_unix_ms).max(),
    ) else {
        return Vec::new();
    };
    let nodes: BTreeSet<&ProxyName> = own.iter().map(|line| &line.node).collect();
    let groups: BTreeSet<&str> = own.iter().filter_map(|line| line.field("group")).collect();
    let targets = members(lines, &groups);
    let is_of_group = |line: &Line| {
        line.field("group")
            .is_some_and(|group| groups.contains(group))
            || line
                .field("target")
                .is_some_and(|target| targets.contains(target))
    };
    let is_whole_process = |line: &Line| {
        line.field("group").is_none()
            && line.field("target").is_none()
            && line.field("home").is_none()
    };
    let window_ms = first_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last_ms;
    let is_context = |line: &Line| {
        let is_belief = line.field("about") != Some("request");
        let is_here = nodes.contains(&line.node);
        let is_shared =
            line.event.starts_with("promotion-") || SHARED_EVENTS.contains(&&*line.event);
        let decides = (is_here && (is_of_group(line) || is_whole_process(line)))
            || (is_shared && is_of_group(line));
        is_belief && decides && window_ms.contains(&line.at_unix_ms)
    };
    in_order(
        lines
            .iter()
            .filter(|line| line.field("request") == Some(request) || is_context(line)),
    )
}

/// Returns the lines about a group and its members, by time.
pub fn about_group<'l>(lines: &'l [Line], group: &str) -> Vec<&'l Line> {
    let groups = BTreeSet::from([group]);
    let targets = members(lines, &groups);
    in_order(lines.iter().filter(|line| {
        let is_belief = line.field("about") != Some("request");
        let is_member = line
            .field("target")
            .is_some_and(|target| targets.contains(target));
        is_belief && (line.field("group") == Some(group) || is_member)
    }))
}

/// Returns the targets that any line names together with one of the groups.
fn members<'l>(lines: &'l [Line], groups: &BTreeSet<&str>) -> BTreeSet<&'l str> {
    lines
        .iter()
        .filter(|line| {
            line.field("group")
                .is_some_and(|group| groups.contains(group))
        })
        .filter_map(|line| line.field("target"))
        .collect()
}

fn in_order<'l>(lines: impl Iterator<Item = &'l Line>) -> Vec<&'l Line> {
    let mut lines: Vec<&Line> = lines.collect();
    lines.sort_by_key(|line| line.at_unix_ms);
    lines
}
