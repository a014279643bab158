//! Explanations of what this process did, built from its recorded events and requests.

use super::Sources;
use crate::callers::RequestRecord;
use crate::events::RecordedEvent;
use endivereach_core::event::Event;
use endivereach_core::ids::GroupName;
use endivereach_wire::operator::Explain;
use endivereach_wire::operator::ExplainedStep;
use endivereach_wire::operator::Explanation;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The maximum number of steps of one explanation. Older steps are omitted.
const STEPS_MAX: usize = 100;

/// Returns the steps that answer `question`, oldest first.
pub fn explain(sources: &Sources, question: &Explain) -> Explanation {
    let mut steps = match question {
        Explain::Group { name } => group_steps(sources, name),
        Explain::Request { id } => {
            let matches_id = |record: &RequestRecord| {
                record.request_id.as_deref() == Some(id.as_str())
                    || record.id.to_string() == id.as_str()
            };
            request_steps(sources, matches_id)
        }
        Explain::Rule { line } => request_steps(sources, |record| record.rule_line == Some(*line)),
    };
    let surplus = steps.len().saturating_sub(STEPS_MAX);
    steps.drain(..surplus);
    Explanation {
        proxy: sources.context.id.clone(),
        steps,
    }
}

fn group_steps(sources: &Sources, name: &GroupName) -> Vec<ExplainedStep> {
    let events = sources.context.events.recent();
    let of_group = events
        .into_iter()
        .filter(|recorded| is_about_group(&recorded.event, name));
    of_group.map(event_step).collect()
}

fn is_about_group(event: &Event, name: &GroupName) -> bool {
    match event {
        Event::PrimaryChanged { group, .. }
        | Event::PromotionPhase { group, .. }
        | Event::MemberWithdrawn { group, .. } => group == name,
        _ => false,
    }
}

fn event_step(recorded: RecordedEvent) -> ExplainedStep {
    let (what, evidence) = describe(&recorded.event);
    ExplainedStep {
        at_unix_ms: unix_ms(recorded.at),
        what: what.into(),
        evidence: evidence.into(),
        event: Some(recorded.event),
    }
}

/// Returns a sentence that describes an event, and the evidence for it.
pub(super) fn describe(event: &Event) -> (String, String) {
    match event {
        Event::PrimaryChanged {
            group,
            term,
            primary,
            evidence,
        } => (
            format!("{primary} became the primary of {group} in term {term}"),
            evidence.to_string(),
        ),
        Event::PromotionPhase {
            group,
            term,
            phase,
            took_ms,
        } => (
            format!("promotion of {group} in term {term}: {phase} took {took_ms} ms"),
            String::new(),
        ),
        Event::MemberWithdrawn {
            group,
            member,
            applied,
            evidence,
        } => (
            format!("{member} of {group} gets no reads; it stands at {applied}"),
            evidence.to_string(),
        ),
        Event::RulesInForce { version } => (
            format!("rules version {version} came into force"),
            String::new(),
        ),
        Event::RulesRefused { version, reason } => (
            format!("rules version {version} was refused, and the last good one stays"),
            reason.to_string(),
        ),
        Event::RulesUnconfirmed {
            version,
            evidence_age_ms,
        } => (
            format!("rules version {version} can't be shown to be current: strictest treatment"),
            format!("the last evidence is {evidence_age_ms} ms old"),
        ),
        Event::RulesConfirmed { version } => (
            format!("rules version {version} is shown to be current"),
            String::new(),
        ),
        #[expect(
            unreachable_patterns,
            reason = "kinds added later are shown in their debug format"
        )]
        other => (format!("{other:?}"), String::new()),
    }
}

fn request_steps(
    sources: &Sources,
    is_wanted: impl Fn(&RequestRecord) -> bool,
) -> Vec<ExplainedStep> {
    let records = sources.caller_server.recent_requests();
    let wanted = records.iter().filter(|record| is_wanted(record));
    wanted.map(request_step).collect()
}

fn request_step(record: &RequestRecord) -> ExplainedStep {
    let target = record
        .target
        .as_ref()
        .map_or("no server", |member| member.as_str());
    let rule = record.rule_line.map_or_else(
        || "no rule covered it: strictest treatment".to_owned(),
        |line| format!("line {line} of the rules decided"),
    );
    let outcome = match &*record.sqlstate {
        "" => "done".to_owned(),
        code => format!("SQLSTATE {code}"),
    };
    let required = record.required.map_or(String::new(), |at| {
        format!("; the answer had to include {at}")
    });
    ExplainedStep {
        at_unix_ms: record.at_unix_ms,
        what: format!("request {} went to {target}: {outcome}", record.id).into(),
        evidence: format!(
            "{rule}{required}; {} attempts; waited {} us, server {} us, confirmation {} us, in all {} us",
            record.attempts, record.wait_us, record.target_us, record.confirm_us, record.total_us
        )
        .into(),
        event: None,
    }
}

/// Returns a time in milliseconds since the Unix epoch, or zero for a time before the epoch.
pub(super) fn unix_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
