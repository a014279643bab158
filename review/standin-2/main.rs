//! The stand-ins and the scripts of the second review. Each script starts the program under test as
//! separate processes, and judges only what consumers, servers and the platform see.

mod crowd;
mod empty_return;
mod flood;
mod group;
mod json;
mod lost_watch;
mod stale_list;
mod stale_order;
mod store;
mod world;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let script = arguments.next().unwrap_or_default();
    let record = PathBuf::from(arguments.next().unwrap_or_else(|| "record.txt".into()));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match script.as_str() {
        "lost-watch" => lost_watch::run(&record, has_trouble),
        "crowd" => crowd::run(&record, has_trouble),
        "empty-return" => empty_return::run(&record, has_trouble),
        "flood" => flood::run(&record, has_trouble),
        "stale-list" => stale_list::run(&record, has_trouble),
        "stale-order" => stale_order::run(&record, has_trouble),
        _ => 2,
    };
    exit(code);
}
