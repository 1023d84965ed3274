//! A short soak with members as real processes and some faults. It ends when every job is over. The
//! rules with a time bound aren't checked, since the machine may be busy.

use {
    serde_json::Value,
    std::{path::Path, process::Command},
};

#[test]
fn no_promise_is_broken() {
    let standin = Path::new(env!("CARGO_BIN_EXE_standin"));
    let args = ["soak", "--seed", "68110", "--minutes", "0.2", "--members", "3", "--workers", "6"];
    let output = Command::new(standin).args(args).args(["--untimed", "--json"]).output();
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
