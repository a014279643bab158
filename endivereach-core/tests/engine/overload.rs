//! Overload of one process: tenants that wait for the same servers.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::write;
use crate::tenants::tenants;
use endivereach_core::engine::statement::Command;

/// Returns the number of statements that the primary was sent and hasn't answered, of three writes
/// of one tenant, while another tenant's statement waits for its connection or not.
fn writes_in_flight(does_other_wait: bool) -> usize {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour", "pilots"])));
    let hot: Vec<_> = (0..3)
        .map(|_| cluster.caller_with_key("session", "harbour"))
        .collect();
    let small = cluster.caller_with_key("session", "pilots");
    // Writes without an answer make the hot tenant open several connections.
    cluster.server("a").hangs_on_writes = true;
    for caller in &hot {
        cluster.send(*caller, write());
    }
    cluster.server("a").hangs_on_writes = false;
    cluster.advance(50);
    assert_eq!(cluster.answers.len(), hot.len());
    cluster.server("a").health = Health::Silent;
    cluster.server("a").commands.clear();
    if does_other_wait {
        cluster.send(small, write());
    }
    for caller in &hot {
        cluster.send(*caller, write());
    }
    let commands = cluster.servers["a"].commands.iter();
    commands
        .filter(|command| matches!(command, Command::Run { .. }))
        .count()
}

/// Load: a hot tenant's backlog beside one statement of another tenant. While the other waits, the
/// hot tenant must not fill the server's slots; alone, it may.
#[test]
fn a_tenant_is_bounded_at_a_server_while_others_wait() {
    assert_eq!(writes_in_flight(true), 1);
    assert_eq!(writes_in_flight(false), 3);
}
