//! Parser for the clauses of a rule, which state how matching statements are treated.

use super::error::RuleError;
use super::model::AGE_MAX;
use super::model::Access;
use super::model::Clauses;
use super::model::DEADLINE_MAX;
use super::model::DEADLINE_MIN;
use super::model::Located;
use super::parse::WordCursor;
use crate::treatment::Freshness;
use crate::treatment::Priority;
use crate::treatment::Repeat;
use crate::units::TimeSpan;
use std::time::Duration;

const READ_CLAUSES_HELP: &str = "for a read state one of 'latest', 'session' or 'age DURATION', then if needed \
     'no-free-cancelled', 'no-hold', 'worth low|normal|high', 'deadline DURATION'";
const WRITE_CLAUSES_HELP: &str = "for a write state one of 'once' or 'repeatable', then if needed 'hold', \
                          'no-hold', 'worth low|normal|high', 'deadline DURATION'";

fn clauses_help(access: Access) -> &'static str {
    match access {
        Access::Read => READ_CLAUSES_HELP,
        Access::Write => WRITE_CLAUSES_HELP,
    }
}

/// Parses the clauses up to the end of the line.
pub(crate) fn parse_clauses(
    words: &mut WordCursor<'_, '_>,
    access: Access,
    errors: &mut Vec<RuleError>,
) -> Clauses {
    let mut clauses = Clauses::default();
    let error_count_before = errors.len();
    while let Some(word) = words.next() {
        if let Err(error) = parse_clause(words, word, access, &mut clauses) {
            errors.push(error);
        }
    }
    if errors.len() == error_count_before {
        errors.extend(check_combination(words, access, &clauses));
    }
    clauses
}

fn parse_clause(
    words: &mut WordCursor<'_, '_>,
    word: &Located<&str>,
    access: Access,
    clauses: &mut Clauses,
) -> Result<(), RuleError> {
    match word.value {
        "latest" => set_freshness(words, word, access, Freshness::Latest, clauses),
        "session" => set_freshness(words, word, access, Freshness::Session, clauses),
        "age" => {
            let max_age = parse_duration(words, word, Duration::from_millis(1), AGE_MAX)?;
            set_freshness(words, word, access, Freshness::Age { max_age }, clauses)
        }
        "no-free-cancelled" => {
            require_access(words, word, access, Access::Read)?;
            // The clause is a flag, so it is passed to the check for repeated clauses as an option.
            let mut stated = clauses.hide_cancelled_slots.then_some(true);
            clauses.hide_cancelled_slots = true;
            set_unless_stated(words, word, &mut stated, true)
        }
        "once" => set_repeat(words, word, access, Repeat::Never, clauses),
        "repeatable" => set_repeat(words, word, access, Repeat::Allowed, clauses),
        "hold" => set_unless_stated(words, word, &mut clauses.wait_for_primary, true),
        "no-hold" => set_unless_stated(words, word, &mut clauses.wait_for_primary, false),
        "worth" => {
            let priority = parse_priority(words, word)?;
            set_unless_stated(words, word, &mut clauses.priority, priority)
        }
        "deadline" => {
            let deadline = parse_duration(words, word, DEADLINE_MIN, DEADLINE_MAX)?;
            set_unless_stated(words, word, &mut clauses.deadline, deadline)
        }
        "," => Err(words.error_at(
            Some(word),
            "found a comma where a clause is expected",
            "separate clauses by spaces; commas are for lists of groups and tables",
        )),
        other => {
            let reason = format!("{other:?} is not a clause");
            Err(words.error_at(Some(word), reason, clauses_help(access)))
        }
    }
}

fn set_freshness(
    words: &WordCursor<'_, '_>,
    word: &Located<&str>,
    access: Access,
    freshness: Freshness,
    clauses: &mut Clauses,
) -> Result<(), RuleError> {
    require_access(words, word, access, Access::Read)?;
    if clauses
        .freshness
        .is_some_and(|earlier| earlier != freshness)
    {
        let reason = "the line states two kinds of freshness";
        let remedy = "keep one of 'latest', 'session' and 'age DURATION'";
        return Err(words.error_at(Some(word), reason, remedy));
    }
    set_unless_stated(words, word, &mut clauses.freshness, freshness)
}

fn set_repeat(
    words: &WordCursor<'_, '_>,
    word: &Located<&str>,
    access: Access,
    repeat: Repeat,
    clauses: &mut Clauses,
) -> Result<(), RuleError> {
    require_access(words, word, access, Access::Write)?;
    set_unless_stated(words, word, &mut clauses.repeat, repeat)
}

/// Checks that a clause for `expected` statements is used in a rule for that access.
fn require_access(
    words: &WordCursor<'_, '_>,
    word: &Located<&str>,
    access: Access,
    expected: Access,
) -> Result<(), RuleError> {
    if access == expected {
        return Ok(());
    }
    let reason = match expected {
        Access::Read => format!(
            "{:?} says how recent a read must be, but the line is for writes",
            word.value
        ),
        Access::Write => format!(
            "{:?} says whether a write may run again, but the line is for reads",
            word.value
        ),
    };
    let remedy = format!("delete it, or add a separate line for '{expected}'");
    Err(words.error_at(Some(word), reason, remedy))
}

/// Sets `slot`, or fails when an earlier clause has already set it.
fn set_unless_stated<T: PartialEq>(
    words: &WordCursor<'_, '_>,
    word: &Located<&str>,
    slot: &mut Option<T>,
    value: T,
) -> Result<(), RuleError> {
    match slot {
        None => {
            *slot = Some(value);
            Ok(())
        }
        Some(earlier) if *earlier == value => {
            let reason = format!("{:?} is stated twice", word.value);
            Err(words.error_at(Some(word), reason, "state it once"))
        }
        Some(_) => {
            let reason = format!("{:?} contradicts an earlier clause of the line", word.value);
            Err(words.error_at(Some(word), reason, "keep one of the two"))
        }
    }
}

fn parse_duration(
    words: &mut WordCursor<'_, '_>,
    clause: &Located<&str>,
    min: Duration,
    max: Duration,
) -> Result<Duration, RuleError> {
    let name = clause.value;
    let Some(word) = words.next() else {
        let reason = format!("{name:?} needs a duration");
        return Err(words.error_at(None, reason, format!("write '{name} 2s' or '{name} 250ms'")));
    };
    let span: TimeSpan = match word.value.parse() {
        Ok(span) => span,
        Err(error) => return Err(duration_error(words, word, &error.to_string())),
    };
    let (min, max) = (TimeSpan::from(min), TimeSpan::from(max));
    if (min..=max).contains(&span) {
        return Ok(span.get());
    }
    let reason = format!("'{name} {}' is outside {min} to {max}", word.value);
    let remedy = match name {
        "age" if span < min => "write 'latest' for data that must be current".into(),
        _ => format!("choose a duration of {min} to {max}"),
    };
    Err(words.error_at(Some(word), reason, remedy))
}

/// Returns the error for a text that isn't a duration. The remedy depends on whether a space
/// separates the number from its unit.
fn duration_error(
    words: &mut WordCursor<'_, '_>,
    word: &Located<&str>,
    message: &str,
) -> RuleError {
    if let Some(unit) = words.peek() {
        let joined = format!("{}{}", word.value, unit.value);
        if joined.parse::<TimeSpan>().is_ok() {
            words.next();
            let reason = format!("there is a space between {:?} and its unit", word.value);
            return words.error_at(Some(word), reason, format!("write '{joined}'"));
        }
    }
    let (reason, remedy) = message.split_once("; ").unwrap_or((message, "correct it"));
    words.error_at(Some(word), reason, remedy)
}

fn parse_priority(
    words: &mut WordCursor<'_, '_>,
    clause: &Located<&str>,
) -> Result<Priority, RuleError> {
    const REMEDY: &str = "write 'worth low', 'worth normal' or 'worth high'";
    let word = words.next();
    match word.map(|word| word.value) {
        Some("low") => Ok(Priority::Low),
        Some("normal") => Ok(Priority::Normal),
        Some("high") => Ok(Priority::High),
        Some(other) => {
            let reason = format!("{other:?} is not a worth");
            Err(words.error_at(word, reason, REMEDY))
        }
        None => Err(words.error_at(Some(clause), "'worth' needs a word after it", REMEDY)),
    }
}

/// Checks the clauses together: the required clause is present, and none is redundant.
fn check_combination(
    words: &WordCursor<'_, '_>,
    access: Access,
    clauses: &Clauses,
) -> Option<RuleError> {
    let stated = match access {
        Access::Read => clauses.freshness.is_some(),
        Access::Write => clauses.repeat.is_some(),
    };
    if !stated {
        let reason = match access {
            Access::Read => "the line doesn't say how recent the data must be",
            Access::Write => "the line doesn't say whether the write may run again",
        };
        return Some(words.error_at(None, reason, clauses_help(access)));
    }
    let redundant = clauses.hide_cancelled_slots && clauses.freshness == Some(Freshness::Latest);
    redundant.then(|| {
        let reason = "'latest' already shows every acknowledged cancellation";
        words.error_at(None, reason, "delete 'no-free-cancelled'")
    })
}
