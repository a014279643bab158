//! Tests of the output and exit codes of commands.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use argh::FromArgs;
use endivereach::Arguments;
use endivereach::exit::Exit;
use endivereach_core::cases;
use endivereach_core::directory::Vm;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Version;
use endivereach_wire::http::Reply;
use endivereach_wire::http::Server;
use endivereach_wire::operator::RulesReport;
use endivereach_wire::operator::RulesState;
use std::path::PathBuf;
use support::FakePlatform;

fn run(args: &[&str]) -> (Exit, String) {
    let arguments = Arguments::from_args(&["endivereach"], args)
        .unwrap_or_else(|exit| panic!("{}", exit.output));
    let mut out = Vec::new();
    let exit = arguments.run_to_exit(&mut out).unwrap_or(Exit::Failed);
    (exit, String::from_utf8(out).unwrap())
}

/// Writes a file, whose name must be unique among all tests.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn assert_check(name: &str, text: &str, options: &[&str], expected: Exit) {
    let path = write_file(&format!("{name}.rules"), text);
    let mut args = vec!["rules", "check", path.to_str().unwrap()];
    args.extend(options);
    let (exit, output) = run(&args);
    assert_eq!(exit, expected, "{output}");
    let output = output.replace(path.parent().unwrap().to_str().unwrap(), "");
    insta::assert_snapshot!(name, output);
}

const GOOD: &str = "groups * read slots latest  # Ada Field, desk: they must be current\n";
const BAD: &str = "groups * read slots fresh\ngroups a read b latest # Ada Field: c\n";

cases! {
    assert_check;
    check_good: "check_good", GOOD, &[], Exit::Done;
    check_good_json: "check_good_json", GOOD, &["--json"], Exit::Done;
    check_bad: "check_bad", BAD, &["--groups", "g1,g2"], Exit::Refused;
    check_bad_json: "check_bad_json", BAD, &["--json", "--tables", "slots"], Exit::Refused;
}

#[test]
fn a_missing_file_is_a_failure() {
    assert_eq!(
        run(&["rules", "check", "no-such-file.rules"]).0,
        Exit::Failed
    );
}

#[test]
fn a_difference_has_an_exit_code_of_its_own() {
    let older = write_file("older.rules", GOOD);
    let newer = write_file("newer.rules", &GOOD.replace("latest", "session"));
    let args = [
        "rules",
        "diff",
        newer.to_str().unwrap(),
        older.to_str().unwrap(),
    ];
    let (exit, output) = run(&args);
    assert_eq!(exit, Exit::Different);
    insta::assert_snapshot!(output);
    let args_without_difference = [
        "rules",
        "diff",
        older.to_str().unwrap(),
        older.to_str().unwrap(),
    ];
    assert_eq!(run(&args_without_difference).0, Exit::Done);
}

/// Starts a proxy that always reports the same version of the rules.
fn start_proxy(name: &str, version: u64, state: RulesState) -> (Server, Vm) {
    let report = RulesReport {
        proxy: ProxyId {
            name: name.into(),
            incarnation: endivereach_core::ids::Incarnation::new(1),
        },
        version: Version::new(version),
        state,
        confirmed_ago_ms: 3,
        refused: None,
    };
    let any_port = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any_port, move |_| Reply::value(&report)).unwrap();
    let vm = Vm {
        name: name.into(),
        region: "dk-east".into(),
        zone: "koege".into(),
        peer_addr: server.addr(),
        sql_addr: server.addr(),
        leaving: false,
    };
    (server, vm)
}

fn apply(
    platform: &FakePlatform,
    name: &str,
    text: &str,
    by: &str,
    expect: &str,
) -> (Exit, String) {
    let path = write_file(name, text);
    let addr = platform.addr().to_string();
    run(&[
        "rules",
        "apply",
        path.to_str().unwrap(),
        "--platform",
        &addr,
        "--by",
        by,
        "--expect",
        expect,
        "--wait",
        "0s",
    ])
}

#[test]
fn apply_names_the_proxies_that_lag() {
    let platform = FakePlatform::bind([]);
    let (_server_1, entry_1) = start_proxy("entry-1", 7, RulesState::Current);
    let (_server_2, entry_2) = start_proxy("entry-2", 0, RulesState::Missing);
    let (_server_3, entry_3) = start_proxy("entry-3", 7, RulesState::Unconfirmed);
    platform.set_vms(vec![entry_1.clone(), entry_2, entry_3]);
    let (exit, output) = apply(&platform, "lag.rules", GOOD, "Ada Field", "0");
    assert_eq!(exit, Exit::NotInForce);
    insta::assert_snapshot!(output);

    platform.set_vms(vec![entry_1]);
    let (exit, output) = apply(&platform, "lag.rules", GOOD, "Ada Field", "0");
    assert_eq!(
        (exit, &*output),
        (
            Exit::Done,
            "accepted as version 1\nin force on all 1 proxies\n"
        )
    );
}

#[test]
fn the_second_of_two_operators_is_told_what_changed_and_by_whom() {
    let platform = FakePlatform::bind([]);
    apply(&platform, "one.rules", GOOD, "Ada Field", "0");
    apply(
        &platform,
        "two.rules",
        &GOOD.replace("latest", "age 2s"),
        "Ben Oak",
        "1",
    );
    let (exit, output) = apply(
        &platform,
        "three.rules",
        &GOOD.replace("latest", "session"),
        "Cy Elm",
        "1",
    );
    assert_eq!(exit, Exit::Conflict);
    // Removes the time of the change, the only part of the output that differs between runs.
    let time_start = output.find(" at 20").unwrap();
    let (before, after) = (
        &output[..time_start],
        &output[time_start + " at 2026-01-01 00:00:00 UTC".len()..],
    );
    insta::assert_snapshot!(format!("{before}{after}"));
}

#[test]
fn show_and_history_name_the_author() {
    let platform = FakePlatform::bind([]);
    apply(&platform, "shown.rules", GOOD, "Ada Field", "0");
    let addr = platform.addr().to_string();
    let (exit, shown) = run(&["rules", "show", "--platform", &addr]);
    assert_eq!(exit, Exit::Done);
    assert!(
        shown.starts_with("# version 1 by Ada Field at ") && shown.ends_with(GOOD),
        "{shown}"
    );
    let (_, history) = run(&["rules", "history", "--platform", &addr, "--json"]);
    assert!(history.contains("\"by\":\"Ada Field\""), "{history}");
}
