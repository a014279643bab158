//! Logins to a member with a password.

mod common;

use common::primary_config;
use endivereach_lab::member::Config;
use endivereach_lab::member::Member;
use postgres::Client;
use postgres::NoTls;

/// Logs in with `password`, and returns the SQLSTATE of a refusal.
fn login(scram: bool, password: &str) -> Option<String> {
    let member = Member::spawn(Config {
        password: Some("secret".into()),
        scram,
        ..primary_config("a")
    })
    .unwrap();
    let addr = member.sql_addr();
    let (host, port) = (addr.ip(), addr.port());
    let text = format!("host={host} port={port} user=test password={password}");
    match Client::connect(&text, NoTls) {
        Ok(mut client) => {
            client.batch_execute("SELECT 1").unwrap();
            None
        }
        Err(error) => Some(error.code().unwrap().code().to_owned()),
    }
}

fn check(scram: bool, password: &str, expected: Option<&str>) {
    assert_eq!(login(scram, password).as_deref(), expected);
}

endivereach_core::cases! {
    check;
    a_password_in_clear_text: false, "secret", None;
    a_wrong_password_in_clear_text: false, "guess", Some("28P01");
    a_password_by_scram: true, "secret", None;
    a_wrong_password_by_scram: true, "guess", Some("28P01");
}
