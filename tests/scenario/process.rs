//! One process of a scenario: started, signalled, and ended with the test.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
};

/// A running process and the words of its ready line.
pub struct Process {
    child: Child,
    words: BTreeMap<String, String>,
    paused: bool,
    _out: BufReader<ChildStdout>,
}

impl Process {
    /// Starts a program and waits for its line `ready NAME=VALUE ...`; its log goes to `log`.
    pub fn start(program: &Path, args: &[&str], log: &Path) -> Self {
        assert!(program.exists(), "{program:?} is missing: cargo build --workspace makes it");
        let log_file = File::create(log).expect("a log file");
        let child =
            Command::new(program).args(args).stdout(Stdio::piped()).stderr(log_file).spawn();
        let mut child = child.expect("the program starts");
        let mut out = BufReader::new(child.stdout.take().expect("a pipe"));
        let mut line = String::new();
        let _ = out.read_line(&mut line);
        let Some(words) = line.strip_prefix("ready ") else {
            let (_, _) = (child.kill(), child.wait());
            panic!("{program:?} {args:?} did not get ready; its log is {log:?}");
        };
        let pairs = words.split_whitespace().filter_map(|w| w.split_once('='));
        let words = pairs.map(|(k, v)| (k.into(), v.into())).collect();
        Process { child, words, paused: false, _out: out }
    }

    /// A word of the ready line.
    pub fn word(&self, name: &str) -> &str {
        &self.words[name]
    }

    /// Whether the ready line has a word.
    pub fn has(&self, name: &str) -> bool {
        self.words.contains_key(name)
    }

    /// Sends a signal, like `STOP`.
    pub fn signal(&mut self, name: &str) {
        self.paused = name == "STOP";
        let line = format!("kill -{name} {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &line]).status();
        assert!(sent.is_ok_and(|s| s.success()), "no signal {name}");
    }

    /// Ends it as a crash would.
    pub fn kill(&mut self) {
        self.child.kill().expect("a child of ours");
        self.child.wait().expect("a child of ours");
    }

    /// Whether it runs and is not paused.
    pub fn awake(&mut self) -> bool {
        !self.paused && self.ended().is_none()
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child of ours")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let (_, _) = (self.child.kill(), self.child.wait());
    }
}
