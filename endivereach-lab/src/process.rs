//! Child processes of the lab, which are killed when their handle is dropped.

use anyhow::Context;
use serde::de::DeserializeOwned;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The interval between two checks for the exit of a process.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process. Dropping the handle kills the process.
#[derive(Debug)]
pub struct Process {
    name: Box<str>,
    child: Child,
}

impl Process {
    /// Starts a program, and returns it with the JSON object that it prints as its first line to
    /// standard output when it is ready.
    ///
    /// The program's standard error is appended to `NAME.log` in `log_dir`.
    ///
    /// # Errors
    ///
    /// Returns an error when the program can't be started, or exits before it is ready.
    pub fn spawn<T: DeserializeOwned>(
        name: &str,
        program: &Path,
        args: &[String],
        log_dir: &Path,
    ) -> anyhow::Result<(Self, T)> {
        let log = log_file(log_dir, name)?;
        let mut command = Command::new(program);
        kill_with_parent(&mut command);
        let mut child = command
            .args(args)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("can't start {}; build the workspace", program.display()))?;
        let stdout = child
            .stdout
            .take()
            .context("the standard output of the program isn't piped")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let ready = serde_json::from_str(&line).with_context(|| {
            format!(
                "{name} isn't ready; read {name}.log in {}",
                log_dir.display()
            )
        });
        let process = Self {
            name: name.into(),
            child,
        };
        Ok((process, ready?))
    }

    /// Returns the name of the process in the lab.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process, as the failure of its VM would, and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process until [`Process::resume`].
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Asks the process to stop gracefully.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Waits up to `wait` for the process to exit. Returns `None` if it still runs.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system can't report the state of the process.
    pub fn wait_exit(&mut self, wait: Duration) -> anyhow::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + wait;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: libc::c_int) {
        // SAFETY: The child hasn't been waited for, so its process ID isn't reused.
        unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes the kernel kill the child when the thread that started it exits for any reason.
fn kill_with_parent(command: &mut Command) {
    // SAFETY: `prctl` is safe to call between fork and exec, and accesses no memory of this
    // process.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
}

fn log_file(log_dir: &Path, name: &str) -> anyhow::Result<File> {
    let path = log_dir.join(format!("{name}.log"));
    File::options()
        .create(true)
        .append(true)
        .open(&path)
        .with_context(|| format!("can't write {}; choose another folder", path.display()))
}

/// Returns the path of another program of this workspace, which is expected in the folder of the
/// running program or in its parent folder.
///
/// # Errors
///
/// Returns an error that names the build command when the program doesn't exist.
pub fn workspace_program_path(name: &str) -> anyhow::Result<PathBuf> {
    let current_program = std::env::current_exe()?;
    // Test binaries are one folder deeper than programs.
    let folders = current_program.ancestors().skip(1).take(2);
    let program_path = folders
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    program_path.with_context(|| format!("{name} is not built; run cargo build --workspace"))
}
