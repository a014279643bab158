//! Callers: the listener, idle callers, and the workers that run their statements.
