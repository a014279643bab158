//! Measures the time to classify a statement: by parsing it, and by cache lookup with two kinds of
//! key.
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

/// The number of calls that are timed for cache lookups and fingerprints.
const LOOKUPS: u64 = 1_000_000;

/// The number of calls that are timed for parsing, which is much slower than a lookup.
const PARSE_CALLS: u64 = 20_000;

fn point_read_sql(id: u64) -> String {
    format!("SELECT id, slot, shipper FROM bookings WHERE id = {id}")
}

fn parameterized_sql() -> String {
    "SELECT id, slot, shipper FROM bookings WHERE id = $1".to_owned()
}

fn join_sql(id: u64) -> String {
    format!(
        "SELECT s.id, s.berth, b.name, count(k.id) FROM slots s JOIN berth_schedule b ON b.id = \
         s.berth LEFT JOIN bookings k ON k.slot = s.id WHERE s.day >= '2026-03-{id:02}' GROUP BY \
         s.id, s.berth, b.name ORDER BY s.id LIMIT 50"
    )
}

fn time_per_call(calls: u64, mut call: impl FnMut(u64)) -> Duration {
    let start = Instant::now();
    for number in 0..calls {
        call(number);
    }
    start.elapsed() / u32::try_from(calls).expect("the number of calls fits 32 bits")
}

fn main() -> std::io::Result<()> {
    let mut out = std::io::stdout();
    let group = GroupName::from("bookings-db-1");
    let texts: Vec<String> = (0..10_000).map(point_read_sql).collect();
    let joins: Vec<String> = (0..28).map(join_sql).collect();
    let nth_text = |texts: &[String], number: u64| texts[number as usize % texts.len()].clone();

    let cost = time_per_call(PARSE_CALLS, |n| {
        drop(black_box(analyse(&texts[n as usize % 10_000])))
    });
    writeln!(out, "parse a point read            {cost:?}")?;
    let cost = time_per_call(PARSE_CALLS, |n| {
        drop(black_box(analyse(&joins[n as usize % 28])))
    });
    writeln!(out, "parse a join                  {cost:?}")?;

    let mut key = Vec::new();
    let cost = time_per_call(LOOKUPS, |n| {
        fingerprint(&texts[n as usize % 10_000], black_box(&mut key))
    });
    writeln!(out, "fingerprint of a point read   {cost:?}")?;
    let cost = time_per_call(LOOKUPS, |n| {
        fingerprint(&joins[n as usize % 28], black_box(&mut key))
    });
    writeln!(out, "fingerprint of a join         {cost:?}")?;

    for (name, texts) in [
        ("parameters", vec![parameterized_sql()]),
        ("10,000 ids", texts.clone()),
        ("28 joins", joins.clone()),
    ] {
        let rules = RuleSet::parse(RULES, &Catalogue::accept_any()).expect("the example is valid");
        let cost = time_per_call(LOOKUPS, |n| {
            black_box(rules.classify(&group, &texts[n as usize % texts.len()]));
        });
        let counts = rules.cache_stats();
        writeln!(
            out,
            "classify, {name:<12}        {cost:?}, {} parsed, {} entries of {} bytes",
            counts.misses, counts.entries, counts.size_bytes
        )?;
    }

    measure_whole_text_key(&mut out, &texts, &nth_text)?;
    measure_threads(&mut out, &group, &texts)
}

/// Measures a cache that uses the whole text as its key and is cleared at 4,096 entries.
fn measure_whole_text_key(
    out: &mut impl Write,
    texts: &[String],
    nth_text: &impl Fn(&[String], u64) -> String,
) -> std::io::Result<()> {
    let mut cached = HashMap::new();
    let mut parse_count = 0u64;
    let cost = time_per_call(100_000, |n| {
        let text = nth_text(texts, n);
        if !cached.contains_key(&text) {
            if cached.len() == 4_096 {
                cached.clear();
            }
            parse_count += 1;
            let analysis = analyse(&text);
            cached.insert(text, analysis);
        }
    });
    writeln!(
        out,
        "key is the text, 10,000 ids   {cost:?}, {parse_count} of 100000 parsed"
    )
}

fn measure_threads(
    out: &mut impl Write,
    group: &GroupName,
    texts: &[String],
) -> std::io::Result<()> {
    for threads in [1u32, 2, 4] {
        let rules = RuleSet::parse(RULES, &Catalogue::accept_any()).expect("the example is valid");
        let start = Instant::now();
        std::thread::scope(|scope| {
            for _ in 0..threads {
                scope.spawn(|| {
                    for number in 0..LOOKUPS {
                        black_box(rules.classify(group, &texts[number as usize % texts.len()]));
                    }
                });
            }
        });
        let per_second = f64::from(threads) * LOOKUPS as f64 / start.elapsed().as_secs_f64();
        writeln!(
            out,
            "one entry, {threads} threads          {per_second:.0} per second"
        )?;
    }
    Ok(())
}
