//! A pool of worker threads for blocking calls. Threads are started on demand and end when idle.

use super::attempt::Attempt;
use super::control::ControlCall;
use super::group::Group;
use endivereach_core::ids::MemberId;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// The maximum number of worker threads.
const WORKERS_MAX: usize = 256;

/// How long an idle worker waits for a task before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The stack size of a worker. Its call depth is small.
const WORKER_STACK_BYTES: usize = 192 * 1024;

/// A task that blocks on another process.
pub(super) enum Task {
    /// Requests a member's status, for the given round if there is one.
    Status {
        group: Arc<Group>,
        member: MemberId,
        round: Option<u64>,
    },
    /// Watches a member's position while the data path uses the group.
    Watch { group: Arc<Group>, member: MemberId },
    /// Makes one control call of a promotion or of a repair.
    Control(ControlCall),
    /// Runs one attempt to replace a primary.
    Promote(Attempt),
}

impl Task {
    fn run(self) {
        match self {
            Self::Status {
                group,
                member,
                round,
            } => group.poll_status(&member, round),
            Self::Watch { group, member } => group.watch(&member),
            Self::Control(call) => call.run(),
            Self::Promote(attempt) => attempt.run(),
        }
    }
}

#[derive(Default)]
struct Queue {
    tasks: VecDeque<Task>,
    workers: usize,
    idle: usize,
}

#[derive(Default)]
struct Inner {
    queue: Mutex<Queue>,
    added: Condvar,
}

impl Inner {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs tasks until the queue stays empty for [`IDLE_TIMEOUT`].
    fn work(&self) {
        while let Some(task) = self.next() {
            task.run();
        }
    }

    fn next(&self) -> Option<Task> {
        let mut queue = self.queue();
        loop {
            if let Some(task) = queue.tasks.pop_front() {
                return Some(task);
            }
            queue.idle += 1;
            let waited = self.added.wait_timeout(queue, IDLE_TIMEOUT);
            let (guard, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
            queue = guard;
            queue.idle -= 1;
            if timeout.timed_out() && queue.tasks.is_empty() {
                queue.workers -= 1;
                return None;
            }
        }
    }
}

/// A pool of worker threads.
pub(super) struct Workers {
    inner: Arc<Inner>,
}

impl Workers {
    /// Creates a pool without threads.
    pub(super) fn new() -> Self {
        Self {
            inner: Arc::default(),
        }
    }

    /// Queues a task, and starts a worker if no idle one can take it.
    pub(super) fn submit(&self, task: Task) {
        let mut queue = self.inner.queue();
        queue.tasks.push_back(task);
        if queue.tasks.len() <= queue.idle || queue.workers >= WORKERS_MAX {
            drop(queue);
            self.inner.added.notify_one();
            return;
        }
        queue.workers += 1;
        drop(queue);
        let inner = Arc::clone(&self.inner);
        let builder = thread::Builder::new().name("groups-work".into());
        let spawned = builder
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || inner.work());
        if spawned.is_err() {
            // The task stays queued until an existing worker takes it.
            self.inner.queue().workers -= 1;
        }
    }
}
