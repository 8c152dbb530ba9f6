//! A child process and what it printed.

use std::ffi;
use std::io;
use std::io::BufRead as _;
use std::process;
use std::sync;
use std::thread;
use std::time;

/// The longest wait for a line or for the end of a process.
pub(crate) const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// The time between two looks at whether a process has ended.
const LOOK: time::Duration = time::Duration::from_millis(10);

/// The lines of a log that a failed test prints.
const SHOWN: usize = 25;

#[derive(Default)]
struct Lines {
    all: sync::Mutex<Vec<String>>,
    added: sync::Condvar,
}

impl Lines {
    fn lock(&self) -> sync::MutexGuard<'_, Vec<String>> {
        self.all.lock().expect("no holder panics")
    }

    fn collect(&self, from: impl io::Read) {
        for line in io::BufReader::new(from).lines().map_while(Result::ok) {
            self.lock().push(line);
            self.added.notify_all();
        }
    }
}

/// A child process that is killed when the value is dropped.
pub(crate) struct Process {
    name: String,
    child: process::Child,
    lines: sync::Arc<Lines>,
}

impl Process {
    /// Starts `program`.
    pub(crate) fn start<S: AsRef<ffi::OsStr>>(name: &str, program: &str, arguments: &[S]) -> Self {
        let mut child = process::Command::new(program)
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(process::Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {program}: {error}"));
        let lines = sync::Arc::new(Lines::default());
        let (out, err) = (child.stdout.take(), child.stderr.take());
        let (of_out, of_err) = (lines.clone(), lines.clone());
        thread::spawn(move || of_out.collect(out.expect("the output is piped")));
        thread::spawn(move || of_err.collect(err.expect("the errors are piped")));
        Self {
            name: name.to_owned(),
            child,
            lines,
        }
    }

    /// Waits for a line that `read` accepts, and returns what it read.
    pub(crate) fn wait_for_line<T>(&self, mut read: impl FnMut(&str) -> Option<T>) -> T {
        let mut found = None;
        let lines = self.lines.lock();
        let _ = self
            .lines
            .added
            .wait_timeout_while(lines, PATIENCE, |lines| {
                found = lines.iter().find_map(|line| read(line));
                found.is_none()
            })
            .expect("no holder panics");
        found.unwrap_or_else(|| panic!("{}: the awaited line did not come", self.name))
    }

    /// Returns all lines so far.
    pub(crate) fn log(&self) -> String {
        self.lines.lock().join("\n")
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: rustix::process::Signal) {
        rustix::process::kill_process(rustix::process::Pid::from_child(&self.child), signal)
            .unwrap_or_else(|error| panic!("{}: cannot send a signal: {error}", self.name));
    }

    /// Ends the process without notice.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process, and returns its exit code.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        let started = time::Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status.code();
            }
            assert!(
                started.elapsed() < PATIENCE,
                "{}: the process did not end",
                self.name
            );
            thread::sleep(LOOK);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            let lines = self.lines.lock();
            for line in &lines[lines.len().saturating_sub(SHOWN)..] {
                eprintln!("{}: {line}", self.name);
            }
        }
    }
}
