//! A fake platform that can lose the requests or the answers of writes to the rules.

use endivereach::apply::ApplyConfig;
use endivereach::apply::Change;
use endivereach_core::directory::Vm;
use endivereach_core::ids::Version;
use endivereach_wire::http::Call;
use endivereach_wire::http::Reply;
use endivereach_wire::http::Server;
use endivereach_wire::operator::NAME_CURRENT;
use endivereach_wire::platform as api;
use endivereach_wire::platform::KIND_RULES;
use endivereach_wire::platform::Object;
use endivereach_wire::platform::PlatformClient;
use endivereach_wire::platform::Put;
use endivereach_wire::platform::PutOutcome;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

/// The timeout of the client's calls.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(250);

/// The delay of the answer to a call whose answer is to be lost, well above [`CLIENT_TIMEOUT`].
const LOST_ANSWER_DELAY: Duration = Duration::from_millis(600);

/// The fault of one write of the current rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The write takes effect and is answered.
    None,
    /// The write has no effect and isn't answered.
    LoseRequest,
    /// The write takes effect, and the answer is lost.
    LoseAnswer,
    /// The write takes effect, another operator's change replaces it, and the answer is lost.
    LoseAnswerAndReplace,
    /// The write is refused.
    Refuse,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<(Box<str>, Box<str>), Object>,
    revision: u64,
    faults: VecDeque<Fault>,
    down: bool,
    vms: Vec<Vm>,
    effective_writes: u32,
}

/// A platform that runs in the test's process.
pub struct FakePlatform {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl FakePlatform {
    /// Starts a platform that applies `faults` to the next writes of the current rules, in this
    /// order.
    pub fn bind(faults: impl IntoIterator<Item = Fault>) -> Self {
        let state = Arc::new(Mutex::new(State {
            faults: faults.into_iter().collect(),
            ..State::default()
        }));
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), {
            let state = Arc::clone(&state);
            move |call| answer_call(&state, &call)
        })
        .unwrap();
        Self { server, state }
    }

    /// Returns a client of this platform.
    pub fn client(&self) -> PlatformClient {
        PlatformClient::new(self.server.addr(), CLIENT_TIMEOUT)
    }

    /// Sets whether the platform refuses every call.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.state().vms = vms;
    }

    /// Returns how many writes of the current rules took effect.
    pub fn effective_writes(&self) -> u32 {
        self.state().effective_writes
    }

    /// Returns the address of the platform's server.
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl State {
    fn put(&mut self, put: Put) -> PutOutcome {
        let key = (put.kind.clone(), put.name.clone());
        let current = self.objects.get(&key).cloned();
        let version = current
            .as_ref()
            .map_or(Version::new(0), |object| object.version);
        if version != put.expected {
            return PutOutcome::Conflict { current };
        }
        self.revision += 1;
        let version = Version::new(self.revision);
        self.effective_writes += u32::from(is_current_rules(&put));
        let object = Object {
            kind: put.kind,
            name: put.name,
            version,
            op_id: put.op_id,
            value: put.value,
        };
        self.objects.insert(key, object);
        PutOutcome::Stored { version }
    }
}

fn is_current_rules(put: &Put) -> bool {
    &*put.kind == KIND_RULES && &*put.name == NAME_CURRENT
}

fn answer_call(state: &Arc<Mutex<State>>, call: &Call) -> Reply {
    if state.lock().unwrap().down {
        return Reply::error_response("unavailable", "the platform is down; try again later");
    }
    match &*call.path {
        api::PATH_GET => {
            let get: api::Get = call.decode().unwrap();
            Reply::value(
                &state
                    .lock()
                    .unwrap()
                    .objects
                    .get(&(get.kind, get.name))
                    .cloned(),
            )
        }
        api::PATH_LIST => {
            let list: api::List = call.decode().unwrap();
            let state = state.lock().unwrap();
            let objects = state
                .objects
                .values()
                .filter(|object| object.kind == list.kind);
            Reply::value(&objects.cloned().collect::<Vec<_>>())
        }
        api::PATH_VMS => Reply::value(&state.lock().unwrap().vms),
        api::PATH_PUT => answer_put(state, call.decode().unwrap()),
        _ => Reply::error_response("unknown_call", "use the object API"),
    }
}

fn answer_put(state: &Arc<Mutex<State>>, put: Put) -> Reply {
    let mut locked = state.lock().unwrap();
    if !is_current_rules(&put) {
        return Reply::value(&locked.put(put));
    }
    let fault = locked.faults.pop_front().unwrap_or(Fault::None);
    match fault {
        Fault::None => return Reply::value(&locked.put(put)),
        Fault::Refuse => return Reply::error_response("rate_limited", "call less often"),
        Fault::LoseRequest => {}
        Fault::LoseAnswer => {
            locked.put(put);
        }
        Fault::LoseAnswerAndReplace => put_and_replace(&mut locked, put),
    }
    drop(locked);
    std::thread::sleep(LOST_ANSWER_DELAY);
    Reply::error_response("late", "the client is gone by now")
}

/// Stores the change, and then another operator's change, which replaces it.
fn put_and_replace(state: &mut State, put: Put) {
    use endivereach_wire::operator::RulesObject;
    let op_id = put.op_id.clone();
    let rules: RulesObject = endivereach_wire::http::decode(&put.value).unwrap();
    if let PutOutcome::Stored { version } = state.put(put) {
        let newer = RulesObject {
            by: "Dee Ash".into(),
            previous: std::iter::once(rules.change(version, &op_id))
                .chain(rules.previous.clone())
                .collect(),
            ..rules
        };
        state.put(Put {
            kind: KIND_RULES.into(),
            name: NAME_CURRENT.into(),
            expected: version,
            op_id: "another".into(),
            value: endivereach_wire::http::encode(&newer),
        });
    }
}

/// Retries often, with short delays.
pub const MANY_ATTEMPTS: ApplyConfig = ApplyConfig {
    attempts_max: 40,
    retry_delay: Duration::from_millis(2),
    retry_delay_max: Duration::from_millis(20),
};

/// Builds a change with a fixed reason and time.
pub fn change(by: &str, expected: u64, text: &str) -> Change {
    let expected = Version::new(expected);
    Change {
        op_id: Change::operation_id(expected, by, "a test", text),
        expected,
        text: text.into(),
        by: by.into(),
        reason: "a test".into(),
        at_unix_ms: 1_772_409_600_000,
    }
}
