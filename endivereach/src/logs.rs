//! Parses and selects the log lines of `endivereach-platform`, to explain requests and groups.

use endivereach_core::ids::ProxyName;
use endivereach_core::logfmt::LogText;
use endivereach_wire::operator::ExplainedStep;
use std::collections::BTreeSet;
use std::fmt;

/// The time before the first line of a request in which other events may have affected the request,
/// in milliseconds. It is twice the 6 s that the replacement of a primary takes.
const CONTEXT_BEFORE_MS: u64 = 12_000;

/// Events of a promotion whose names don't start with `promotion-`. They affect requests on all
/// proxies, not only on the proxy that logged them.
const PROMOTION_EVENTS: [&str; 5] = [
    "duty-held",
    "fence-answered",
    "promote-answered",
    "promote-ordered",
    "primary",
];

/// A parsed log line.
///
/// # Examples
///
/// ```
/// use endivereach::logs::LogLine;
///
/// let text = r#"ts_ms=7 level=info node=a about=request event=failed request=q1 reason="too late""#;
/// let line = LogLine::parse(text).unwrap();
/// assert_eq!(line.field("reason"), Some("too late"));
/// assert!(LogLine::parse("no such line").is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The time of the event by the proxy's clock, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The proxy that wrote the line.
    pub node: ProxyName,
    /// The name of the event.
    pub event: Box<str>,
    fields: Vec<(Box<str>, Value)>,
}

/// The value of a field.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Value {
    text: Box<str>,
    /// How many bytes after `text` the proxy didn't write.
    cut_bytes: usize,
}

impl Value {
    /// Returns whether `text` was written as this value.
    fn matches(&self, text: &str) -> bool {
        let is_same_length = text.len() == self.text.len().saturating_add(self.cut_bytes);
        is_same_length && text.starts_with(&*self.text)
    }
}

impl fmt::Display for Value {
    /// Formats the value so that it shows no further field.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { text, cut_bytes } = self;
        let is_special = |c: char| c.is_control() || matches!(c, '=' | '"' | '\\');
        if text.contains(is_special) {
            LogText(text).fmt(f)?;
        } else {
            f.write_str(text)?;
        }
        if *cut_bytes > 0 {
            write!(f, "… ({cut_bytes} bytes more)")?;
        }
        Ok(())
    }
}

impl LogLine {
    /// Parses a line, skipping any prefix that a log collector added. Returns `None` if the text
    /// isn't a log line of a proxy.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find("ts_ms=")?;
        let mut fields = parse_fields(&text[start..]).into_iter();
        let (_, timestamp) = fields.next()?;
        let fields: Vec<(Box<str>, Value)> = fields.collect();
        let value_of = |name: &str| {
            let field = fields.iter().find(|(field_name, _)| &**field_name == name);
            field.map(|(_, value)| value.text.clone())
        };
        Some(Self {
            at_unix_ms: timestamp.text.parse().ok()?,
            node: ProxyName::from(&*value_of("node")?),
            event: value_of("event")?,
            fields,
        })
    }

    /// Returns the value of a field, or `None` when the line doesn't have it. A long value may be
    /// cut.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.value(name).map(|value| &*value.text)
    }

    /// Returns whether `text` was written as the value of a field, which may be cut.
    pub fn has(&self, name: &str, text: &str) -> bool {
        self.value(name).is_some_and(|value| value.matches(text))
    }

    fn value(&self, name: &str) -> Option<&Value> {
        let mut fields = self.fields.iter();
        let field = fields.find(|(field_name, _)| &**field_name == name);
        field.map(|(_, value)| value)
    }

    /// Returns the line as a step of an explanation.
    pub fn to_step(&self) -> ExplainedStep {
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

/// Splits text into `name=value` pairs. A value with spaces is quoted or is a structure in
/// brackets.
fn parse_fields(text: &str) -> Vec<(Box<str>, Value)> {
    let mut fields = Vec::new();
    let mut unparsed = text.trim();
    while let Some((name, value)) = unparsed.split_once('=') {
        let (value, after) = match value.strip_prefix('"') {
            Some(quoted) => split_quoted(quoted),
            None => {
                // Structures in `Debug` format contain spaces inside their brackets.
                let end = unquoted_value_end(value);
                let (text, cut_bytes) = (value[..end].into(), 0);
                (Value { text, cut_bytes }, &value[end..])
            }
        };
        // Earlier versions didn't quote error messages, whose words then come before the name.
        let name = name.split_whitespace().next_back().unwrap_or_default();
        fields.push((name.into(), value));
        unparsed = after.trim_start();
    }
    fields
}

/// Returns the value before the closing quote, and the text after the quote.
fn split_quoted(text: &str) -> (Value, &str) {
    let mut value = String::new();
    let mut unparsed = text;
    let mut cut_bytes = 0;
    loop {
        let mut characters = unparsed.chars();
        let character = match characters.next() {
            None | Some('"') => {
                let text = value.into();
                return (Value { text, cut_bytes }, characters.as_str());
            }
            Some('\\') => {
                let escaped = characters.next();
                let rest = characters.as_str();
                let (character, rest) = match escaped {
                    Some('n') => (Some('\n'), rest),
                    Some('r') => (Some('\r'), rest),
                    Some('t') => (Some('\t'), rest),
                    Some('0') => (Some('\0'), rest),
                    Some('u') => split_code(rest),
                    Some('+') => {
                        let end = rest.find(|c: char| !c.is_ascii_digit());
                        let (digits, rest) = rest.split_at(end.unwrap_or(rest.len()));
                        cut_bytes = digits.parse().unwrap_or(usize::MAX);
                        (None, rest)
                    }
                    other => (other, rest),
                };
                unparsed = rest;
                character
            }
            plain => {
                unparsed = characters.as_str();
                plain
            }
        };
        value.extend(character);
    }
}

/// Returns the character of a code such as `{1b}`, and the text after it.
fn split_code(text: &str) -> (Option<char>, &str) {
    let code = text.strip_prefix('{').and_then(|text| text.split_once('}'));
    let character = |digits| char::from_u32(u32::from_str_radix(digits, 16).ok()?);
    match code.and_then(|(digits, rest)| Some((character(digits)?, rest))) {
        Some((character, rest)) => (Some(character), rest),
        None => (Some('u'), text),
    }
}

/// Returns the index of the first space outside brackets, or the length of the text.
fn unquoted_value_end(text: &str) -> usize {
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

/// Returns the lines that explain a request, sorted by time. They are the request's own lines and,
/// from `CONTEXT_BEFORE_MS` before the first of them, the events of its proxies that concern its
/// group or the whole process, and the promotion events of its group on any proxy.
pub fn request_lines<'l>(lines: &'l [LogLine], request: &str) -> Vec<&'l LogLine> {
    let own_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.has("request", request))
        .collect();
    let (Some(first_ms), Some(last_ms)) = (
        own_lines.iter().map(|line| line.at_unix_ms).min(),
        own_lines.iter().map(|line| line.at_unix_ms).max(),
    ) else {
        return Vec::new();
    };
    let nodes: BTreeSet<&ProxyName> = own_lines.iter().map(|line| &line.node).collect();
    let groups: BTreeSet<&str> = own_lines
        .iter()
        .filter_map(|line| line.field("group"))
        .collect();
    let targets = targets_of_groups(lines, &groups);
    let concerns_group = |line: &LogLine| {
        line.field("group")
            .is_some_and(|group| groups.contains(group))
            || line
                .field("target")
                .is_some_and(|target| targets.contains(target))
    };
    let concerns_process = |line: &LogLine| {
        line.field("group").is_none()
            && line.field("target").is_none()
            && line.field("home").is_none()
    };
    let window_ms = first_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last_ms;
    let is_context = |line: &LogLine| {
        let is_not_about_request = line.field("about") != Some("request");
        let is_own_proxy = nodes.contains(&line.node);
        let is_promotion =
            line.event.starts_with("promotion-") || PROMOTION_EVENTS.contains(&&*line.event);
        let affects_request = (is_own_proxy && (concerns_group(line) || concerns_process(line)))
            || (is_promotion && concerns_group(line));
        is_not_about_request && affects_request && window_ms.contains(&line.at_unix_ms)
    };
    sorted_by_time(
        lines
            .iter()
            .filter(|line| line.has("request", request) || is_context(line)),
    )
}

/// Returns the lines about a group and its members, sorted by time, without those of requests.
pub fn group_lines<'l>(lines: &'l [LogLine], group: &str) -> Vec<&'l LogLine> {
    let groups = BTreeSet::from([group]);
    let targets = targets_of_groups(lines, &groups);
    sorted_by_time(lines.iter().filter(|line| {
        let is_not_about_request = line.field("about") != Some("request");
        let is_member = line
            .field("target")
            .is_some_and(|target| targets.contains(target));
        is_not_about_request && (line.has("group", group) || is_member)
    }))
}

/// Returns the targets that appear in a line together with one of the groups.
fn targets_of_groups<'l>(lines: &'l [LogLine], groups: &BTreeSet<&str>) -> BTreeSet<&'l str> {
    lines
        .iter()
        .filter(|line| {
            line.field("group")
                .is_some_and(|group| groups.contains(group))
        })
        .filter_map(|line| line.field("target"))
        .collect()
}

fn sorted_by_time<'l>(lines: impl Iterator<Item = &'l LogLine>) -> Vec<&'l LogLine> {
    let mut lines: Vec<&LogLine> = lines.collect();
    lines.sort_by_key(|line| line.at_unix_ms);
    lines
}
