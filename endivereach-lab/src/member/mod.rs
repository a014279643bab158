//! One server of a database group.
