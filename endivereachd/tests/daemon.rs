//! Tests the daemon as a process: its flags, ready line, health answers and planned stop.

use endivereachd::daemon::ReadyLine;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

const SETTINGS: &str = r#"
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
[drain]
balancer_wait_ms = 2000
"#;

/// Writes settings to a file; each test uses a `name` of its own, because tests run in parallel.
fn settings_file(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn daemon_command(settings: &std::path::Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_endivereachd"));
    command.arg("--settings").arg(settings);
    command
}

/// Returns the status line of the answer to the load balancer's health probe.
fn health_status_line(addr: SocketAddr) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .write_all(b"GET /health HTTP/1.1\r\nhost: proxy\r\nconnection: close\r\n\r\n")
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer.lines().next().unwrap_or_default().to_owned()
}

fn terminate(child: &Child) {
    let sent = Command::new("kill")
        .arg("-TERM")
        .arg(child.id().to_string())
        .status();
    assert!(sent.unwrap().success());
}

#[test]
fn a_stop_fails_the_health_probe_before_the_listener_closes() {
    let settings = settings_file("stop.toml", SETTINGS);
    let mut child = daemon_command(&settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let stdout = child.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let ready: ReadyLine = serde_json::from_str(&line).unwrap();
    assert_eq!(ready.name.as_str(), "entry-1");
    assert!(health_status_line(ready.peer_addr).contains("200"));

    terminate(&child);
    while health_status_line(ready.peer_addr).contains("200") {
        std::thread::yield_now();
    }
    assert!(health_status_line(ready.peer_addr).contains("503"));
    assert!(TcpStream::connect(ready.sql_addr).is_ok());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

#[test]
fn check_accepts_valid_settings() {
    let settings = settings_file("good.toml", SETTINGS);
    let status = daemon_command(&settings).arg("--check").status().unwrap();
    assert_eq!(status.code(), Some(0));
}

#[test]
fn check_rejects_unknown_settings() {
    let settings = settings_file("bad.toml", &SETTINGS.replace("balancer_wait_ms", "wait"));
    let status = daemon_command(&settings).arg("--check").status().unwrap();
    assert_eq!(status.code(), Some(2));
}
