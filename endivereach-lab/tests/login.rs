//! Password authentication of a member's clients.

mod common;

use common::primary_config;
use endivereach_lab::member::Member;
use endivereach_lab::member::MemberConfig;
use postgres::Client;
use postgres::NoTls;

/// Connects with `password`, and returns the SQLSTATE if the member refuses it.
fn login(scram: bool, password: &str) -> Option<String> {
    let member = Member::spawn(MemberConfig {
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

fn check_login(scram: bool, password: &str, expected: Option<&str>) {
    assert_eq!(login(scram, password).as_deref(), expected);
}

endivereach_core::cases! {
    check_login;
    clear_text_password_is_accepted: false, "secret", None;
    wrong_clear_text_password_is_refused: false, "guess", Some("28P01");
    scram_password_is_accepted: true, "secret", None;
    wrong_scram_password_is_refused: true, "guess", Some("28P01");
}
