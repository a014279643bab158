//! The fleet: peers, rules in force, connection shares and stops.
