//! Checks that involve several settings.

use super::Settings;
use super::reader::Section;
use std::net::SocketAddr;

/// Reports addresses that conflict with each other or that can't be connected to.
pub(crate) fn check_addresses(settings: &Settings, root: &Section<'_, '_>) {
    let listen = &settings.listen;
    let add_error = |section: &'static str, key: &str, reason: &str, remedy: &str| {
        let subsection = root.section(section);
        let span = subsection.as_ref().map_or(0..0, Section::span);
        let key = subsection.map_or_else(|| key.to_owned(), |subsection| subsection.full_key(key));
        root.collector().add(span, &key, reason, remedy);
    };
    if cannot_bind_both(listen.sql_addr, listen.peer_addr) {
        let reason = "callers and peers can't share one address";
        add_error("listen", "peer_addr", reason, "give each its own port");
    }
    let own = [listen.sql_addr, listen.peer_addr];
    if own
        .iter()
        .any(|addr| *addr == settings.platform.addr && addr.port() != 0)
    {
        let reason = "the platform's address is one that this process binds";
        add_error(
            "platform",
            "addr",
            reason,
            "write the address of the platform's object API",
        );
    }
    if settings.platform.addr.port() == 0 {
        let reason = "the platform's address has no port";
        add_error(
            "platform",
            "addr",
            reason,
            "write the port of the platform's object API",
        );
    }
}

/// Returns whether the two addresses can't be bound at the same time. Port zero never conflicts,
/// because the kernel chooses a free port for it.
fn cannot_bind_both(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && same_ip
}
