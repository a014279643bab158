CREATE TABLE IF NOT EXISTS bookings (
    id TEXT PRIMARY KEY,
    slot_id TEXT UNIQUE,
    shipper TEXT,
    note TEXT
);

CREATE TABLE IF NOT EXISTS berth_schedule (
    slot_id TEXT PRIMARY KEY,
    state TEXT,
    revision INT
);

CREATE TABLE IF NOT EXISTS wayleaves (
    id TEXT PRIMARY KEY,
    tube_id TEXT UNIQUE,
    holder TEXT
);

CREATE TABLE IF NOT EXISTS registers (
    key TEXT PRIMARY KEY,
    value INT
);

CREATE TABLE IF NOT EXISTS endivereach_requests (
    request_id TEXT PRIMARY KEY,
    outcome TEXT
);

CREATE TABLE IF NOT EXISTS aged_counters (
    key TEXT PRIMARY KEY,
    value INT
);

CREATE TABLE IF NOT EXISTS latest_counters (
    key TEXT PRIMARY KEY,
    value INT
);
