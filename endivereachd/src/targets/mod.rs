//! Targets: connections to the servers of database groups, and who may use them.
