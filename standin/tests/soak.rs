//! A short soak with members as real processes and some faults. It ends when every job is over. The
//! rules with a time bound aren't checked, since the machine may be busy.

use {
    serde_json::Value,
    std::{path::Path, process::Command},
};

/// Runs a soak of some seconds with these arguments, and checks that it does something and that nothing
/// is broken.
fn run(args: &[&str]) {
    let standin = Path::new(env!("CARGO_BIN_EXE_standin"));
    let output =
        Command::new(standin).arg("soak").args(args).args(["--untimed", "--json"]).output();
    let output = output.expect("the soak starts");
    let stderr_text = String::from_utf8_lossy(&output.stderr);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap_or_else(|e| {
        panic!("no report ({e}): {stderr_text}");
    });
    assert_eq!(report["breach"], Value::Null, "{report:#}");
    assert!(output.status.success(), "{stderr_text}");
    let counts = &report["counts"];
    assert!(counts["accepted"].as_u64() > Some(0), "{report:#}");
    assert!(report["starts"].as_u64() > Some(0), "{report:#}");
    assert!(report["faults"].as_array().is_some_and(|f| !f.is_empty()), "{report:#}");
}

#[test]
fn no_promise_is_broken() {
    run(&["--seed", "68110", "--minutes", "0.2", "--members", "3", "--workers", "6"]);
}

#[test]
fn no_promise_is_broken_while_queues_move_between_pools_with_shards_of_their_own() {
    let size = ["--minutes", "0.2", "--members", "3", "--workers", "104"];
    run(&[&["--seed", "68111", "--moves", "--no-customers"], &size[..]].concat());
}
