//! Tests of explanations from log files.

use argh::FromArgs;
use endivereach::Arguments;
use endivereach::exit::Exit;
use endivereach::logs::LogLine;
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
