//! Tests of explanations from log files.

use argh::FromArgs;
use endivereach::Arguments;
use endivereach::exit::Exit;
use endivereach::logs::LogLine;
use endivereach_core::cases;
use endivereach_core::logfmt::LogText;
use endivereach_core::logfmt::LogValue;
use endivereach_front::logs::write_line;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;
use std::path::PathBuf;

/// The log of the proxy that served the request `q7`.
const OWN_LOG: &str = r#"
ts_ms=1000 level=info node=front-1 about=process event=start version=0.1.0
ts_ms=2000 level=info node=front-1 about=belief event=target-new target=i-1 group=ledger addr=10.0.0.1:1 zone=north leads=true
ts_ms=2001 level=info node=front-1 about=belief event=target-new target=i-9 group=other addr=10.0.0.9:1 zone=north leads=true
ts_ms=9000 level=info node=front-1 about=belief event=connection-lost target=i-1
ts_ms=9001 level=info node=front-1 about=belief event=connection-lost target=i-9
ts_ms=9100 level=info node=front-1 about=belief event=primary-suspected group=ledger target=i-1 reason="the primary can't be connected to"
ts_ms=9600 level=info node=front-1 about=request event=failed request=q7 caller=3 group=ledger outcome=busy waited_ms=600 reason="no server could take the statement in time; retry after 100 ms"
ts_ms=9700 level=info node=front-1 about=request event=failed request=q8 caller=4 group=ledger outcome=busy waited_ms=600 reason="later"
a line of something else
"#;

/// The log of another proxy, with the prefix of a log collector.
const OTHER_LOG: &str = r#"
  8.81 front-2 ts_ms=9200 level=info node=front-2 about=belief event=promotion-started group=ledger term=2 quorum=2 members=3 reason="the primary can't be connected to"
  8.82 front-2 ts_ms=9210 level=info node=front-2 about=belief event=fence-answered group=ledger target=i-2 term=2 answer=Done(Position { term: Term(1), index: LogIndex(236) })
  8.90 front-2 ts_ms=9215 level=info node=front-2 about=belief event=connection-lost target=i-2
  9.50 front-2 ts_ms=9999 level=info node=front-2 about=belief event=promotion-done group=ledger term=2 took_ms=799
"#;

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn explain(subject: &str, name: &str, logs: &[&PathBuf]) -> (Exit, String) {
    let mut args = vec!["explain", subject, name];
    for log in logs {
        args.extend(["--logs", log.to_str().unwrap()]);
    }
    let arguments = Arguments::from_args(&["endivereach"], &args)
        .unwrap_or_else(|exit| panic!("{}", exit.output));
    let mut out = Vec::new();
    let exit = arguments.run_to_exit(&mut out).unwrap_or(Exit::Failed);
    (exit, String::from_utf8(out).unwrap())
}

#[test]
fn a_failed_request_is_told_with_what_decided_it_on_any_proxy() {
    let own_log = write_file("explain-here.log", OWN_LOG);
    let other_log = write_file("explain-elsewhere.log", OTHER_LOG);
    let (exit, output) = explain("request", "q7", &[&own_log, &other_log]);
    assert_eq!(exit, Exit::Done);
    insta::assert_snapshot!(output);
}

#[test]
fn a_group_is_told_with_its_members() {
    let own_log = write_file("explain-group.log", OWN_LOG);
    let (exit, output) = explain("group", "other", &[&own_log]);
    assert_eq!(exit, Exit::Done);
    insta::assert_snapshot!(output);
}

#[test]
fn an_unknown_request_is_a_failure() {
    let own_log = write_file("explain-unknown.log", OWN_LOG);
    let (exit, output) = explain("request", "q9", &[&own_log]);
    assert_eq!(exit, Exit::Failed);
    assert_eq!(
        output,
        "the logs contain no line about this request or group\n"
    );
}

#[test]
fn quoted_values_and_structures_are_parsed() {
    let text = r#"ts_ms=5 level=info node=a about=belief event=x answer=Done(Position { term: Term(1) }) reason="say \"no\"" last=1"#;
    let line = LogLine::parse(text).unwrap();
    assert_eq!(
        line.field("answer"),
        Some("Done(Position { term: Term(1) })")
    );
    assert_eq!(line.field("reason"), Some("say \"no\""));
    assert_eq!(line.field("last"), Some("1"));
}

/// Returns the text that the logger writes for a held commit.
fn logged(node: &str, request: &str, group: &str, reason: &str) -> String {
    let mut text = Vec::new();
    write_line(
        &mut text,
        9_600,
        &LogValue(node).to_string(),
        &log::Record::builder()
            .target("request")
            .args(format_args!(
                "event=commit-held request={} group={} promotion=true reason={}",
                LogValue(request),
                LogValue(group),
                LogText(reason)
            ))
            .build(),
    )
    .unwrap();
    String::from_utf8(text).unwrap()
}

/// Returns any text, with many characters that mean something in a log line.
fn text() -> impl Strategy<Value = String> {
    let special: Vec<char> = "\n\r\t\0\"\\ =()[]{}+0nu\u{1b}\u{85}\u{2028}"
        .chars()
        .collect();
    let character = prop_oneof![any::<char>(), select(special)];
    vec(character, 0..400).prop_map(String::from_iter)
}

proptest! {
    #[test]
    fn any_values_that_are_logged_are_read_back(
        node in text(),
        request in text(),
        group in text(),
        reason in text(),
    ) {
        let text = logged(&node, &request, &group, &reason);
        assert_eq!(text.lines().count(), 1);
        let line = LogLine::parse(&text).unwrap();
        assert_eq!(&*line.event, "commit-held");
        assert_eq!(line.field("about"), Some("request"));
        assert_eq!(line.field("promotion"), Some("true"));
        for (name, value) in [
            ("node", node),
            ("request", request),
            ("group", group),
            ("reason", reason),
        ] {
            assert!(line.has(name, &value), "{name}={value:?} in {text}");
            assert!(value.starts_with(line.field(name).unwrap()));
        }
    }
}

/// A request is found by its whole id, whatever the id contains.
fn check_id_is_found(id: &str) {
    let file = format!("explain-id-{}-{}.log", id.len(), id.contains('\n'));
    let log = write_file(&file, &logged("front-1", id, "ledger", "a reason"));
    let (exit, output) = explain("request", id, &[&log]);
    assert_eq!(exit, Exit::Done, "{output}");
    assert_eq!(output.lines().count(), 2, "{output}");
    assert!(output.contains("commit-held"), "{output}");
    let (exit, output) = explain("request", &id[..id.len() - 1], &[&log]);
    assert_eq!(exit, Exit::Failed, "{output}");
}

cases! {
    check_id_is_found;
    an_id_with_blanks: "q 7 event=forged";
    an_id_with_a_line_feed: "q\nts_ms=1 level=info node=front-1 about=request event=forged request=q7";
    an_id_with_quotes: "q\"7\" \\n";
    an_id_with_an_escape_character: "q\u{1b}[2J";
    a_long_id: &"q".repeat(64 * 1024);
}

/// Lines of versions that quoted no names, and no error messages.
#[test]
fn lines_of_earlier_versions_are_parsed() {
    let text = r#"ts_ms=5 level=warn node=a about=process event=connect-failed target=i-1 error=Connection refused (os error 111) held=3 reason="it\n\u{1b}\u{x} 'is'""#;
    let line = LogLine::parse(text).unwrap();
    assert_eq!(line.field("target"), Some("i-1"));
    assert_eq!(line.field("held"), Some("3"));
    assert_eq!(line.field("reason"), Some("it\n\u{1b}u{x} 'is'"));
}
