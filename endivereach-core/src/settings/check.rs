//! Combinations that no single key shows.

use super::Settings;
use super::reader::Section;
use std::net::SocketAddr;

/// Checks that the addresses can be used together.
pub(crate) fn check_addresses(settings: &Settings, root: &Section<'_, '_>) {
    let listen = &settings.listen;
    let fault = |section: &'static str, key: &str, reason: &str, remedy: &str| {
        let place = root.section(section);
        let span = place.as_ref().map_or(0..0, Section::span);
        let key = place.map_or_else(|| key.to_owned(), |place| place.full(key));
        root.faults().add(span, &key, reason, remedy);
    };
    if clash(listen.sql_addr, listen.peer_addr) {
        let reason = "callers and peers can't share one address";
        fault("listen", "peer_addr", reason, "give each its own port");
    }
    let own = [listen.sql_addr, listen.peer_addr];
    if own
        .iter()
        .any(|addr| *addr == settings.platform.addr && addr.port() != 0)
    {
        let reason = "the platform's address is one that this process binds";
        fault(
            "platform",
            "addr",
            reason,
            "write the address of the platform's object API",
        );
    }
    if settings.platform.addr.port() == 0 {
        let reason = "the platform's address has no port";
        fault(
            "platform",
            "addr",
            reason,
            "write the port of the platform's object API",
        );
    }
}

/// Returns whether both can't be bound at once. Port zero lets the kernel choose.
fn clash(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && same_ip
}
