//! The rules in force, as the data path asks for them on every request.

use endivereach_core::exchange::Evidence;
use endivereach_core::ids::Version;
use endivereach_core::rules::RuleSet;
use endivereach_wire::operator::RefusedRules;
use endivereach_wire::operator::RulesState;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// The rules that were applied last.
struct Applied {
    version: Version,
    rules: Arc<RuleSet>,
}

/// The rules in force.
///
/// # Invariants
///
/// Rules are handed out only while the evidence that they are current is younger than the bound, as
/// measured at the moment of the request. A process that was paused finds its evidence old when it
/// wakes up, whatever its threads did before.
pub struct RulesInForce {
    evidence_max: Duration,
    /// The moment that `valid_until_ns` counts from.
    epoch: Instant,
    valid_until_ns: AtomicU64,
    applied: RwLock<Applied>,
    strictest: Arc<RuleSet>,
    refused: Mutex<Option<RefusedRules>>,
}

impl RulesInForce {
    /// Creates the state before any rules are known: every request gets the strictest treatment.
    pub fn new(evidence_max: Duration) -> Self {
        let strictest = Arc::new(RuleSet::strictest());
        Self {
            evidence_max,
            epoch: Instant::now(),
            valid_until_ns: AtomicU64::new(0),
            applied: RwLock::new(Applied {
                version: Version::new(0),
                rules: Arc::clone(&strictest),
            }),
            strictest,
            refused: Mutex::default(),
        }
    }

    /// Returns the rules for a request that arrives now.
    pub fn current(&self) -> Arc<RuleSet> {
        if self.valid_for(Instant::now()).is_zero() {
            return Arc::clone(&self.strictest);
        }
        let applied = self.applied.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&applied.rules)
    }

    /// Returns the version that was applied last; zero before the first.
    pub fn version(&self) -> Version {
        let applied = self.applied.read().unwrap_or_else(PoisonError::into_inner);
        applied.version
    }

    /// Returns the newest version that was refused, if it is above the one applied.
    pub fn refused(&self) -> Option<RefusedRules> {
        let refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        let version = self.version();
        refused.clone().filter(|refused| refused.version > version)
    }

    /// Returns whether the rules can be shown to be current at `now`.
    pub fn state(&self, now: Instant) -> RulesState {
        if self.version() == Version::new(0) {
            RulesState::Missing
        } else if self.valid_for(now).is_zero() {
            RulesState::Unconfirmed
        } else {
            RulesState::Current
        }
    }

    /// Applies a version. A lower one than the one applied changes nothing.
    pub fn apply(&self, version: Version, rules: Arc<RuleSet>) -> bool {
        let mut applied = self.applied.write().unwrap_or_else(PoisonError::into_inner);
        if version <= applied.version {
            return false;
        }
        *applied = Applied { version, rules };
        true
    }

    /// Remembers that a version was refused.
    pub fn refuse(&self, version: Version, reason: Box<str>) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        *refused = Some(RefusedRules { version, reason });
    }

    /// Takes in evidence that no version above `latest` was accepted before it.
    ///
    /// It counts only when `latest` is the version applied, or one that was refused as broken: while
    /// a newer version waits to be applied, the older one is not current.
    pub fn confirm(&self, latest: Version, evidence: Evidence, now: Instant) {
        let is_refused = self.refused().is_some_and(|it| it.version == latest);
        if latest != self.version() && !is_refused {
            return;
        }
        let left = self.evidence_max.saturating_sub(evidence.age(now));
        let until = now.saturating_duration_since(self.epoch) + left;
        self.valid_until_ns
            .fetch_max(until.as_nanos() as u64, Ordering::SeqCst);
    }

    /// Returns for how long the rules stay confirmed without further evidence.
    fn valid_for(&self, now: Instant) -> Duration {
        let until = Duration::from_nanos(self.valid_until_ns.load(Ordering::SeqCst));
        until.saturating_sub(now.saturating_duration_since(self.epoch))
    }
}
