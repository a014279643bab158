//! Durability of commits when a member's process is killed.

use postgres::Client;
use postgres::NoTls;
use serde::Deserialize;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// How many times the process is killed.
const KILLS: u32 = 3;

/// The minimum number of acknowledged commits before each kill.
const COMMITS: u32 = 50;

#[derive(Deserialize)]
struct MemberReadyLine {
    sql_addr: SocketAddr,
}

/// A member's process. Dropping it kills the process.
struct Process {
    child: Child,
    sql_addr: SocketAddr,
}

impl Process {
    fn start(folder: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_endivereach-lab"))
            .args(["member", "--group", "g", "--id", "a", "--primary", "a"])
            .arg("--data-dir")
            .arg(folder)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let started: MemberReadyLine = serde_json::from_str(&line).unwrap();
        Self {
            child,
            sql_addr: started.sql_addr,
        }
    }

    fn connect(&self) -> Client {
        let (host, port) = (self.sql_addr.ip(), self.sql_addr.port());
        Client::connect(&format!("host={host} port={port} user=test"), NoTls).unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

/// A temporary folder that is removed when the value is dropped.
struct TempFolder(PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Commits until the process is killed, and returns the keys whose commits were acknowledged.
fn commit_until_killed(mut client: Client, run: u32, acknowledged: &AtomicU32) -> Vec<String> {
    let mut keys = Vec::new();
    for number in 0.. {
        let key = format!("{run}-{number}");
        let sql = format!("INSERT INTO registers VALUES ('{key}', 1)");
        if client.batch_execute(&sql).is_err() {
            break;
        }
        keys.push(key);
        acknowledged.fetch_add(1, Ordering::SeqCst);
    }
    keys
}

#[test]
fn every_acknowledged_commit_survives_a_kill() {
    let name = format!("endivereach-kill-{}", std::process::id());
    let folder = TempFolder(std::env::temp_dir().join(name));
    let mut acknowledged_keys = Vec::new();
    for run in 0..KILLS {
        let process = Process::start(&folder.0);
        let client = process.connect();
        let acknowledged = AtomicU32::new(0);
        thread::scope(|scope| {
            let writer = scope.spawn(|| commit_until_killed(client, run, &acknowledged));
            while acknowledged.load(Ordering::SeqCst) < COMMITS && !writer.is_finished() {
                thread::sleep(Duration::from_millis(1));
            }
            drop(process);
            acknowledged_keys.extend(writer.join().unwrap());
        });
    }
    assert!(acknowledged_keys.len() >= (KILLS * COMMITS) as usize);
    let process = Process::start(&folder.0);
    let rows = process
        .connect()
        .query("SELECT key FROM registers", &[])
        .unwrap();
    let surviving: Vec<String> = rows.iter().map(|row| row.get(0)).collect();
    for key in &acknowledged_keys {
        assert!(
            surviving.contains(key),
            "{key} was acknowledged and is lost"
        );
    }
    // Each kill may leave at most one commit without an acknowledgement: the one in progress.
    assert!(surviving.len() <= acknowledged_keys.len() + KILLS as usize);
}
