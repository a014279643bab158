//! Tests what a process reports over HTTP: metrics, status, explanations and the status page.

use endivereach_core::event::Event;
use endivereach_core::settings::Settings;
use endivereach_wire::http::Client;
use endivereach_wire::operator::Explain;
use endivereach_wire::operator::Explanation;
use endivereach_wire::operator::PATH_EXPLAIN;
use endivereach_wire::operator::PATH_FLEET_STATUS;
use endivereach_wire::operator::ProxyStatus;
use endivereach_wire::operator::RulesState;
use endivereachd::daemon::Daemon;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn spawn_daemon() -> Daemon {
    let settings = r#"
name = "entry-1"
region = "dk-east"
zone = "koege"
[listen]
sql_addr = "127.0.0.1:0"
peer_addr = "127.0.0.1:0"
[platform]
addr = "127.0.0.1:9"
[target]
user = "app"
password = "app"
"#;
    let settings: Settings = toml::from_str(settings).unwrap();
    Daemon::spawn(settings).unwrap()
}

fn http_get(addr: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: proxy\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn metrics_contain_each_counter_once() {
    let daemon = spawn_daemon();
    let text = http_get(daemon.ready_line().peer_addr, "/metrics");
    for name in ["callers_now", "fleet_platform_reads", "thread_restarts"] {
        let lines = text
            .lines()
            .filter(|line| line.starts_with(&format!("endivereach_{name} ")));
        assert_eq!(lines.count(), 1, "{name} in {text}");
    }
}

#[test]
fn status_reports_missing_rules() {
    let daemon = spawn_daemon();
    let addr = daemon.ready_line().peer_addr;
    let status: ProxyStatus = Client::new()
        .call(addr, PATH_FLEET_STATUS, &(), CALL_TIMEOUT)
        .unwrap();
    assert_eq!(status.proxy.name.as_str(), "entry-1");
    assert_eq!(status.rules.state, RulesState::Missing);
    assert!(!status.platform_reachable);
    assert!(!status.draining);
}

#[test]
fn a_group_is_explained_by_its_events_and_the_status_page_escapes_them() {
    let daemon = spawn_daemon();
    let addr = daemon.ready_line().peer_addr;
    daemon.context().events.record(Event::PrimaryChanged {
        group: "ledger".into(),
        term: endivereach_core::ids::Term::new(4),
        primary: "db-2".into(),
        evidence: "two members got <no> answer".into(),
    });
    let explain = |name: &str| -> Explanation {
        let explain_request = Explain::Group { name: name.into() };
        Client::new()
            .call(addr, PATH_EXPLAIN, &explain_request, CALL_TIMEOUT)
            .unwrap()
    };
    let steps = explain("ledger").steps;
    assert_eq!(steps.len(), 1);
    assert_eq!(
        &*steps[0].what,
        "db-2 became the primary of ledger in term 4"
    );
    assert!(explain("other").steps.is_empty());

    let page = http_get(addr, "/");
    assert!(page.contains("two members got &lt;no&gt; answer"));
    assert!(page.contains("strictest treatment"));
}
