//! A caller: a session that moves between proxies and runs one request after another.

use super::CALLER_TIMEOUT;
use super::Endpoints;
use super::Journal;
use super::LoadConfig;
use super::TICK_KEY;
use super::outcome_of;
use crate::history::Op;
use crate::history::Outcome;
use crate::history::Record;
use crate::sql::Answer;
use crate::sql::Login;
use crate::sql::Parameter;
use crate::sql::SqlClient;
use crate::sql::SqlError;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::thread;
use std::time::Duration;

/// The delay before a caller reconnects after a failed connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// The maximum number of free slots that a view lists.
const FREE_SLOTS_LIMIT: usize = 20;

/// The identity of a caller.
#[derive(Clone, Copy, Debug)]
pub struct CallerIdentity {
    /// The caller's number, unique within the run.
    pub number: u32,
    /// The number of the caller's group.
    pub group: usize,
    /// Whether the caller always uses the first proxy.
    pub uses_first_proxy_only: bool,
}

/// A caller with its connection.
#[derive(Debug)]
pub struct Caller {
    load: LoadConfig,
    endpoints: Endpoints,
    identity: CallerIdentity,
    rng: SmallRng,
    proxy: usize,
    client: Option<SqlClient>,
    requests: u32,
}

impl Caller {
    /// Creates a caller without a connection, which connects with its first request.
    pub fn new(load: LoadConfig, endpoints: Endpoints, identity: CallerIdentity) -> Self {
        let caller_seed = u64::from(identity.number) << 16 | identity.group as u64;
        let mut rng =
            SmallRng::seed_from_u64(load.seed ^ caller_seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let proxy = match identity.uses_first_proxy_only {
            true => 0,
            false => rng.random_range(0..endpoints.proxy_count()),
        };
        Self {
            load,
            endpoints,
            identity,
            rng,
            proxy,
            client: None,
            requests: 0,
        }
    }

    /// Sleeps for the caller's think time, drawn uniformly between zero and twice the average.
    pub fn pause(&mut self) {
        let max_us = 2 * self.load.think_time.as_micros() as u64;
        thread::sleep(Duration::from_micros(self.rng.random_range(0..=max_us)));
    }

    /// Draws a request, runs it, and records its outcome.
    pub fn run_next(&mut self, journal: &Journal) {
        let max_age = self.load.max_age;
        let op = self
            .load
            .mix
            .draw(&mut self.rng, self.identity.number, self.requests, max_age);
        self.run(journal, op);
    }

    /// Runs a request and records its outcome. Records nothing if the caller can't connect.
    pub fn run(&mut self, journal: &Journal, op: Op) {
        self.requests += 1;
        if self.load.requests_per_connection > 0
            && self
                .requests
                .is_multiple_of(self.load.requests_per_connection)
        {
            self.change_proxy();
        }
        let Some(mut client) = self.client.take().or_else(|| self.connect()) else {
            self.change_proxy();
            thread::sleep(RECONNECT_DELAY);
            return;
        };
        let started = journal.timestamp();
        let result = self.execute(&mut client, &op);
        let ended = journal.timestamp();
        let must_reconnect = result.as_ref().is_err_and(SqlError::ends_connection);
        let outcome = result.unwrap_or_else(|error| outcome_of(&error));
        journal.add(Record {
            caller: self.identity.number,
            group: self.identity.group,
            proxy: self.proxy,
            op,
            started,
            ended,
            outcome,
        });
        if must_reconnect {
            self.change_proxy();
        } else {
            self.client = Some(client);
        }
    }

    /// Closes the connection and picks the proxy for the next one at random.
    fn change_proxy(&mut self) {
        self.client = None;
        if !self.identity.uses_first_proxy_only {
            self.proxy = self.rng.random_range(0..self.endpoints.proxy_count());
        }
    }

    fn connect(&self) -> Option<SqlClient> {
        let login = Login {
            user: "lab".into(),
            database: self.endpoints.groups[self.identity.group].as_str().into(),
            parameters: vec![Parameter {
                name: "endivereach.session".into(),
                value: format!("caller-{}", self.identity.number).into(),
            }],
        };
        SqlClient::connect(self.endpoints.proxy(self.proxy), &login, CALLER_TIMEOUT).ok()
    }

    fn execute(&self, client: &mut SqlClient, op: &Op) -> Result<Outcome, SqlError> {
        let caller = self.identity.number;
        let caller_key = format!("caller-{caller}");
        match op {
            Op::Increment => {
                let sql =
                    format!("UPDATE registers SET value = value + 1 WHERE key = '{caller_key}'");
                client.query(&sql).map(|_| ACKNOWLEDGED)
            }
            Op::Book { id } => {
                let sql = format!(
                    "INSERT INTO bookings (id, slot_id, shipper, note) \
                     VALUES ('{id}', 'slot of {id}', '{caller_key}', 'lab')"
                );
                client.query(&sql).map(|_| ACKNOWLEDGED)
            }
            Op::RegisterPair { pair } => self.register_pair(client, pair),
            Op::ReadOwn => {
                let sql = format!("SELECT key, value FROM registers WHERE key = '{caller_key}'");
                client
                    .query(&sql)
                    .map(|answer| keyed_number(&answer, &caller_key))
            }
            Op::ReadAged { .. } => read_tick(client, "aged_counters"),
            Op::ReadLatest => read_tick(client, "latest_counters"),
            Op::Tick { value } => {
                let table =
                    |name| format!("UPDATE {name} SET value = {value} WHERE key = '{TICK_KEY}'");
                transaction(client, &[table("aged_counters"), table("latest_counters")])
            }
            Op::Cancel { slot } => {
                let sql = format!(
                    "UPDATE berth_schedule SET state = 'cancelled' WHERE slot_id = '{slot}'"
                );
                client.query(&sql).map(|_| ACKNOWLEDGED)
            }
            Op::ViewFree => {
                let sql = format!(
                    "SELECT slot_id, state FROM berth_schedule WHERE state = 'free' \
                     ORDER BY slot_id LIMIT {FREE_SLOTS_LIMIT}"
                );
                client.query(&sql).map(|answer| free_slots(&answer))
            }
        }
    }

    /// Inserts both rows of a pair in one transaction, each with the caller's number as its holder.
    fn register_pair(&self, client: &mut SqlClient, pair: &str) -> Result<Outcome, SqlError> {
        let row = |side| {
            format!(
                "INSERT INTO wayleaves (id, tube_id, holder) \
                 VALUES ('{pair}.{side}', 'tube {pair}.{side}', '{}')",
                self.identity.number
            )
        };
        transaction(client, &[row("a"), row("b")])
    }
}

/// Runs a transaction with one request per statement, and rolls back when a statement is refused.
fn transaction(client: &mut SqlClient, statements: &[String]) -> Result<Outcome, SqlError> {
    client.query("BEGIN")?;
    for sql in statements {
        if let Err(error) = client.query(sql) {
            if matches!(error, SqlError::Server { .. }) {
                client.query("ROLLBACK")?;
            }
            return Err(error);
        }
    }
    client.query("COMMIT").map(|answer| match &*answer.tag {
        "COMMIT" => ACKNOWLEDGED,
        _ => Outcome::Failed {
            sqlstate: "25P02".into(),
        },
    })
}

/// The outcome of an acknowledged write.
const ACKNOWLEDGED: Outcome = Outcome::Done { value: None };

fn read_tick(client: &mut SqlClient, table: &str) -> Result<Outcome, SqlError> {
    let sql = format!("SELECT key, value FROM {table} WHERE key = '{TICK_KEY}'");
    client
        .query(&sql)
        .map(|answer| keyed_number(&answer, TICK_KEY))
}

/// Returns the number next to `key`, or `Crossed` when the answer holds another key.
fn keyed_number(answer: &Answer, key: &str) -> Outcome {
    match answer.first(0) {
        Some(found) if found == key => Outcome::Done {
            value: answer.first_number(1),
        },
        None if answer.rows.is_empty() && answer.tag.starts_with("SELECT") => {
            Outcome::Done { value: None }
        }
        _ => Outcome::Crossed,
    }
}

/// Returns the listed slots, or `Crossed` when a row isn't a slot.
fn free_slots(answer: &Answer) -> Outcome {
    let mut free = Vec::with_capacity(answer.rows.len());
    for row in &answer.rows {
        match row.first() {
            Some(Some(slot)) if slot.starts_with("slot-") => free.push(slot.clone()),
            _ => return Outcome::Crossed,
        }
    }
    Outcome::Slots { free }
}
