//! The rules in force, which the data path reads on every request.

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

/// The rules that were most recently applied.
struct Applied {
    version: Version,
    rules: Arc<RuleSet>,
}

/// The rules in force.
///
/// # Invariants
///
/// Rules are returned only while the evidence that they are current is younger than the limit,
/// measured at the time of the request. When a stopped process continues, its evidence has
/// therefore expired, whatever its threads did before. A suspension of the VM isn't covered,
/// because `Instant` doesn't advance during it.
pub struct RulesInForce {
    evidence_age_max: Duration,
    /// The origin of `valid_until_ns`.
    epoch: Instant,
    valid_until_ns: AtomicU64,
    applied: RwLock<Applied>,
    strictest: Arc<RuleSet>,
    refused: Mutex<Option<RefusedRules>>,
}

impl RulesInForce {
    /// Creates the state without any rules, in which every request gets the strictest treatment.
    pub fn new(evidence_age_max: Duration) -> Self {
        let strictest = Arc::new(RuleSet::strictest());
        Self {
            evidence_age_max,
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

    /// Returns the most recently applied version, or zero before the first.
    pub fn version(&self) -> Version {
        let applied = self.applied.read().unwrap_or_else(PoisonError::into_inner);
        applied.version
    }

    /// Returns the last refused version, if it is above the applied one.
    pub fn refused(&self) -> Option<RefusedRules> {
        let refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        let version = self.version();
        refused.clone().filter(|refused| refused.version > version)
    }

    /// Returns whether the rules are confirmed as current at `now`.
    pub fn state(&self, now: Instant) -> RulesState {
        if self.version() == Version::new(0) {
            RulesState::Missing
        } else if self.valid_for(now).is_zero() {
            RulesState::Unconfirmed
        } else {
            RulesState::Current
        }
    }

    /// Applies a version and returns whether it is above the applied one. Ignores other versions.
    pub fn apply(&self, version: Version, rules: Arc<RuleSet>) -> bool {
        let mut applied = self.applied.write().unwrap_or_else(PoisonError::into_inner);
        if version <= applied.version {
            return false;
        }
        *applied = Applied { version, rules };
        true
    }

    /// Records that a version was refused.
    pub fn refuse(&self, version: Version, reason: Box<str>) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        *refused = Some(RefusedRules { version, reason });
    }

    /// Applies evidence that the platform had accepted no version above `latest`.
    ///
    /// The evidence counts only if `latest` is the applied version or was refused as invalid: while
    /// a newer version is pending, the applied one is not current.
    pub fn confirm(&self, latest: Version, evidence: Evidence, now: Instant) {
        let is_refused = self
            .refused()
            .is_some_and(|refused| refused.version == latest);
        if latest != self.version() && !is_refused {
            return;
        }
        let left = self.evidence_age_max.saturating_sub(evidence.age(now));
        let until = now.saturating_duration_since(self.epoch) + left;
        self.valid_until_ns
            .fetch_max(until.as_nanos() as u64, Ordering::SeqCst);
    }

    /// Returns how long the rules stay confirmed without further evidence.
    fn valid_for(&self, now: Instant) -> Duration {
        let until = Duration::from_nanos(self.valid_until_ns.load(Ordering::SeqCst));
        until.saturating_sub(now.saturating_duration_since(self.epoch))
    }
}
