//! Measures what classifying a statement costs: a parse, and the cache by two kinds of key.
//!
//! ```text
//! cargo run --release -p endivereach-core --example classify_cost
//! ```

use endivereach_core::classify::analyse;
use endivereach_core::classify::fingerprint;
use endivereach_core::ids::GroupName;
use endivereach_core::rules::Catalogue;
use endivereach_core::rules::RuleSet;
use endivereach_core::treatment::Classifier;
use std::collections::HashMap;
use std::hint::black_box;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

const RULES: &str = include_str!("../../examples/caroni.rules");

/// How many statements are timed per figure.
const ROUNDS: u64 = 1_000_000;

/// How many parses are timed: a parse is much dearer than a look-up.
const PARSES: u64 = 20_000;

fn point_read(id: u64) -> String {
    format!("SELECT id, slot, shipper FROM bookings WHERE id = {id}")
}

fn with_parameter() -> String {
    "SELECT id, slot, shipper FROM bookings WHERE id = $1".to_owned()
}

fn join(id: u64) -> String {
    format!(
        "SELECT s.id, s.berth, b.name, count(k.id) FROM slots s JOIN berth_schedule b ON b.id = \
         s.berth LEFT JOIN bookings k ON k.slot = s.id WHERE s.day >= '2026-03-{id:02}' GROUP BY \
         s.id, s.berth, b.name ORDER BY s.id LIMIT 50"
    )
}

fn per_call(calls: u64, mut call: impl FnMut(u64)) -> Duration {
    let start = Instant::now();
    for number in 0..calls {
        call(number);
    }
    start.elapsed() / u32::try_from(calls).expect("rounds fit 32 bits")
}

fn main() -> std::io::Result<()> {
    let mut out = std::io::stdout();
    let group = GroupName::from("bookings-db-1");
    let texts: Vec<String> = (0..10_000).map(point_read).collect();
    let joins: Vec<String> = (0..28).map(join).collect();
    let pick = |texts: &[String], number: u64| texts[number as usize % texts.len()].clone();

    let cost = per_call(PARSES, |n| {
        drop(black_box(analyse(&texts[n as usize % 10_000])))
    });
    writeln!(out, "parse a point read            {cost:?}")?;
    let cost = per_call(PARSES, |n| {
        drop(black_box(analyse(&joins[n as usize % 28])))
    });
    writeln!(out, "parse a join                  {cost:?}")?;

    let mut key = Vec::new();
    let cost = per_call(ROUNDS, |n| {
        fingerprint(&texts[n as usize % 10_000], black_box(&mut key))
    });
    writeln!(out, "fingerprint of a point read   {cost:?}")?;
    let cost = per_call(ROUNDS, |n| {
        fingerprint(&joins[n as usize % 28], black_box(&mut key))
    });
    writeln!(out, "fingerprint of a join         {cost:?}")?;

    for (name, texts) in [
        ("parameters", vec![with_parameter()]),
        ("10,000 ids", texts.clone()),
        ("28 joins", joins.clone()),
    ] {
        let rules = RuleSet::parse(RULES, &Catalogue::unknown()).expect("the example is valid");
        let cost = per_call(ROUNDS, |n| {
            black_box(rules.classify(&group, &texts[n as usize % texts.len()]));
        });
        let counts = rules.cache_stats();
        writeln!(
            out,
            "classify, {name:<12}        {cost:?}, {} parsed, {} entries of {} bytes",
            counts.misses, counts.entries, counts.size_bytes
        )?;
    }

    by_whole_text(&mut out, &texts, &pick)?;
    on_threads(&mut out, &group, &texts)
}

/// The other key: the text itself, kept for the 4,096 newest texts.
fn by_whole_text(
    out: &mut impl Write,
    texts: &[String],
    pick: &impl Fn(&[String], u64) -> String,
) -> std::io::Result<()> {
    let mut kept = HashMap::new();
    let mut parsed = 0u64;
    let cost = per_call(100_000, |n| {
        let text = pick(texts, n);
        if !kept.contains_key(&text) {
            if kept.len() == 4_096 {
                kept.clear();
            }
            parsed += 1;
            let analysis = analyse(&text);
            kept.insert(text, analysis);
        }
    });
    writeln!(
        out,
        "key is the text, 10,000 ids   {cost:?}, {parsed} of 100000 parsed"
    )
}

fn on_threads(out: &mut impl Write, group: &GroupName, texts: &[String]) -> std::io::Result<()> {
    for threads in [1u32, 2, 4] {
        let rules = RuleSet::parse(RULES, &Catalogue::unknown()).expect("the example is valid");
        let start = Instant::now();
        std::thread::scope(|scope| {
            for _ in 0..threads {
                scope.spawn(|| {
                    for number in 0..ROUNDS {
                        black_box(rules.classify(group, &texts[number as usize % texts.len()]));
                    }
                });
            }
        });
        let per_second = f64::from(threads) * ROUNDS as f64 / start.elapsed().as_secs_f64();
        writeln!(
            out,
            "one entry, {threads} threads          {per_second:.0} per second"
        )?;
    }
    Ok(())
}
