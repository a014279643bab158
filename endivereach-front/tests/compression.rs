//! Checks of the compression of replies between proxies.

use endivereach_core::cases;
use endivereach_core::engine::topology::GroupLimits;
use endivereach_core::engine::topology::Route;
use endivereach_core::engine::topology::Routes;
use endivereach_core::ids::Era;
use endivereach_core::ids::Version;
use endivereach_core::treatment::Freshness;
use endivereach_core::treatment::Priority;
use endivereach_front::compression::DECOMPRESSED_BYTES_MAX;
use endivereach_front::compression::compress;
use endivereach_front::compression::decompress;
use endivereach_front::feed::Reply;
use endivereach_front::feed::Section;
use endivereach_front::platform::Object;
use endivereach_front::platform::ObjectKind;
use endivereach_front::platform::ObjectValue;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// The rate of a link of 10 Mbit/s.
const LINK_BYTES_PER_S: usize = 1_250_000;

/// Returns a reply with routes of databases that have random names.
fn reply(databases: usize) -> Reply {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut name = || {
        let letters = (0..8).map(|_| char::from(rng.random_range(b'a'..=b'z')));
        letters.collect::<String>()
    };
    let route = Route {
        group: "meetups-db~1".into(),
        freshness: Freshness::Latest,
        max_age: None,
        statement_timeout: Duration::from_millis(800),
        latency_goal: Duration::from_millis(200),
        priority: Priority::Normal,
        is_public: false,
    };
    let limits = GroupLimits {
        connections_per_server: 41,
        sync_replicas: 1,
    };
    let routes = Routes {
        version: Version::new(12),
        databases: (0..databases)
            .map(|_| (name().as_str().into(), route.clone()))
            .collect(),
        groups: [("meetups-db~1".into(), limits)].into(),
        transaction_idle_timeout: Duration::from_secs(3),
        tenants: None,
    };
    let object = Object {
        name: "main".into(),
        version: Version::new(93),
        value: Some(ObjectValue::Routes(routes)),
    };
    Reply {
        era: Era::default(),
        age: Duration::ZERO,
        sections: vec![Section {
            kind: ObjectKind::Routes,
            store_version: Version::new(93),
            is_complete: true,
            objects: vec![object],
            deleted: Vec::new(),
        }],
    }
}

/// Load: all routes change, and a reader passes them on to `followers` over 10 Mbit/s.
fn check_change_is_passed_on(databases: usize, followers: usize, time_max: Duration) {
    let reply = reply(databases);
    let encoded = reply.encode().unwrap();
    let compressed = compress(&encoded).unwrap();
    let time =
        Duration::from_secs_f64((compressed.len() * followers) as f64 / LINK_BYTES_PER_S as f64);
    assert!(time <= time_max, "{} bytes take {time:?}", compressed.len());
    let decoded = Reply::decode(&decompress(&compressed).unwrap()).unwrap();
    assert_eq!(decoded.sections[0].objects, reply.sections[0].objects);
}

cases! {
    check_change_is_passed_on;
    three_thousand_routes_to_a_zone_of_23: 3_000, 22, Duration::from_millis(1_700);
    three_thousand_routes_to_a_zone_of_100: 3_000, 99, Duration::from_secs(5);
}

fn check_refused(body: &[u8]) {
    assert!(decompress(body).is_err());
}

cases! {
    check_refused;
    no_compressed_data: b"plain";
    nothing: b"";
    a_truncated_body: &compress(b"routes").unwrap()[..10];
    more_bytes_than_allowed: &compress(&vec![0; DECOMPRESSED_BYTES_MAX as usize + 1]).unwrap();
}
