//! Child processes of the lab: started, paused, ended and cleaned up.

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

/// How often a process is looked at while waiting for its end.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// A running child. Dropping it ends the process at once.
#[derive(Debug)]
pub struct Process {
    name: Box<str>,
    child: Child,
}

impl Process {
    /// Starts a program whose first line on standard output is a JSON object, and returns both.
    ///
    /// Its log goes to `NAME.log` in `log_dir`.
    ///
    /// # Errors
    ///
    /// Returns an error when the program can't be started, or ends before it is ready.
    pub fn spawn<T: DeserializeOwned>(
        name: &str,
        program: &Path,
        args: &[String],
        log_dir: &Path,
    ) -> anyhow::Result<(Self, T)> {
        let log = log_file(log_dir, name)?;
        let mut command = Command::new(program);
        end_with_parent(&mut command);
        let mut child = command
            .args(args)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("can't start {}; build the workspace", program.display()))?;
        let stdout = child.stdout.take().context("standard output is piped")?;
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

    /// Returns the process's name in the lab.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the operating system's number of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once, as a failed VM would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process's threads until [`Process::resume`].
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Asks the process to stop gracefully.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Waits up to `wait` for the process to end.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system can't tell.
    pub fn wait_exit(&mut self, wait: Duration) -> anyhow::Result<Option<ExitStatus>> {
        let end = Instant::now() + wait;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= end {
                return Ok(None);
            }
            thread::sleep(EXIT_POLL);
        }
    }

    fn signal(&self, signal: libc::c_int) {
        // SAFETY: The child hasn't been waited for, so its number still names it.
        unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes the kernel end the child when the thread that starts it ends, however it ends.
fn end_with_parent(command: &mut Command) {
    // SAFETY: `prctl` is safe to call between fork and exec, and touches no memory of ours.
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

/// Returns the path of a program of this workspace, which stands beside the running one.
///
/// # Errors
///
/// Returns an error that names the build command when the program isn't there.
pub fn sibling_program(name: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    // Test binaries stand one folder deeper.
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    found.with_context(|| format!("{name} is not built; run cargo build --workspace"))
}
