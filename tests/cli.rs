//! The command line: parsing, output on each stream, and exit codes.

use {
    dogwoodreach::{
        Kind,
        cli::{Command, Exit, Target, parse},
        ids::Version,
    },
    std::{
        ffi::OsString,
        path::{Path, PathBuf},
        process::Output,
    },
};

fn args(line: &str) -> Vec<OsString> {
    line.split_whitespace().map(OsString::from).collect()
}

/// Runs the binary and returns its exit code, standard output and standard error.
fn run(line: &str) -> (i32, String, String) {
    let binary = env!("CARGO_BIN_EXE_dogwoodreach");
    let output = std::process::Command::new(binary).args(args(line)).output();
    let Output { status, stdout, stderr } = output.expect("the binary runs");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (status.code().expect("an exit code"), text(stdout), text(stderr))
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file in the tests' directory");
    path
}

#[test]
fn reads_each_command() {
    let target = Target { to: "10.0.0.1:8081".parse().unwrap(), secret: "s".into(), json: false };
    let cases = [
        ("serve --settings m.ini", Command::Serve { settings: "m.ini".into() }),
        ("check t.ini --json", Command::Check { text: "t.ini".into(), json: true }),
        (
            "submit t.ini --to 10.0.0.1:8081 --secret-file s --base 7 --by=ann",
            Command::Submit {
                text: "t.ini".into(),
                base: Some(Version(7)),
                by: Some("ann".into()),
                target: target.clone(),
            },
        ),
        (
            "--json --to 10.0.0.1:8081 show --secret-file s",
            Command::Show(Target { json: true, ..target.clone() }),
        ),
        ("drain --to=10.0.0.1:8081 --secret-file=s", Command::Drain(target)),
        ("check --help", Command::Help),
        ("-V", Command::Version),
    ];
    for (line, want) in cases {
        assert_eq!(parse(args(line)), Ok(want), "{line}");
    }
}

#[test]
fn a_wrong_command_line_is_told_and_exits_with_2() {
    let cases = [
        ("", "no command; try --help"),
        ("chek t.ini", "no command is called \"chek\"; try --help"),
        ("check", "check needs the file of a text; try --help"),
        ("check a b", "check takes no \"b\"; try --help"),
        ("check a --to 10.0.0.1:1", "check takes no --to; try --help"),
        ("serve --settings a b", "serve takes no \"b\"; try --help"),
        ("serve --settings a --settings b", "--settings stands twice"),
        ("show --to 10.0.0.1:1", "show needs --secret-file FILE; try --help"),
        (
            "show --to localhost --secret-file s",
            "--to cannot be \"localhost\"; an IP number and a port, like 10.0.0.1:8081",
        ),
        (
            "submit t --to 10.0.0.1:1 --secret-file s --base x",
            "--base cannot be \"x\"; a version, as show gives it",
        ),
        ("check a --loud", "invalid option '--loud'"),
    ];
    for (line, want) in cases {
        let (code, out, err) = run(line);
        assert_eq!((code, &*out), (2, ""), "{line}");
        assert!(err.starts_with("dogwoodreach: ") && err.contains(want), "{line}: {err}");
    }
    let json = [
        ("check --loud --json", "invalid option '--loud'"),
        ("serve --settings a --json", "serve takes no --json; try --help"),
    ];
    for (line, cause) in json {
        let want = format!("{{\"ok\":false,\"cause\":\"{cause}\"}}\n");
        assert_eq!(run(line), (2, want, "".into()), "{line}");
    }
}

#[test]
fn help_and_version_go_to_the_standard_output() {
    let (code, out, err) = run("--help");
    assert_eq!((code, &*err), (0, ""));
    assert!(out.contains("5  the outcome is unknown") && out.ends_with("nothing was changed\n"));
    assert_eq!(run("--version"), (0, "dogwoodreach 0.1.0\n".into(), "".into()));
}

#[test]
fn check_tells_people_and_programs() {
    let good = file("good.ini", "[pool quoting]\ncores = 16\nmemory = 64GB\nworkers = 35\n");
    let bad = file("bad.ini", "[pool quoting]\ncores = 16\nmemory = 64\nworkers = 35\n");
    let (good, bad) = (good.display(), bad.display());
    let want = format!("{good}: good (pools 1, teams 0, services 0, jobs 0)\n");
    assert_eq!(run(&format!("check {good}")), (0, want, "".into()));
    let want = "{\"ok\":true,\"errors\":[]}\n";
    assert_eq!(run(&format!("check {good} --json")), (0, want.into(), "".into()));
    let cause = "\"memory\" cannot be \"64\"";
    let remedy = "memory is a whole number with MB or GB, like 512MB or 64GB";
    let want = format!("{bad}: line 3: {cause}; {remedy}\n");
    assert_eq!(run(&format!("check {bad}")), (3, "".into(), want));
    let (code, out, err) = run(&format!("check {bad} --json"));
    let json = serde_json::json!({
        "ok": false, "errors": [{ "line": 3, "cause": cause, "remedy": remedy }],
    });
    assert_eq!((code, &*err), (3, ""));
    assert_eq!(serde_json::from_str::<serde_json::Value>(&out).expect("JSON"), json);
}

#[test]
fn check_says_what_it_cannot_read() {
    let (code, out, err) = run("check /nowhere/t.ini");
    assert_eq!((code, &*out), (2, ""));
    assert!(err.starts_with("dogwoodreach: cannot read /nowhere/t.ini: No such file"), "{err}");
    // An endless file is refused at the size limit; the command must not read on.
    let (code, _, err) = run("check /dev/zero");
    assert_eq!(code, 3);
    assert!(err.contains("the text has 1000001 bytes"), "{err}");
}

#[test]
fn each_kind_of_error_has_its_exit_code() {
    let special = [
        (Kind::BadText, Exit::Invalid),
        (Kind::BadSettings, Exit::Invalid),
        (Kind::Conflict, Exit::Conflict),
        (Kind::OutcomeUnknown, Exit::Unknown),
        (Kind::Timeout, Exit::Unknown),
        (Kind::Broken, Exit::Unknown),
    ];
    for kind in Kind::ALL {
        let want = special.iter().find(|(k, _)| *k == kind).map_or(Exit::Refused, |(_, e)| *e);
        assert_eq!(Exit::from(kind), want, "{kind}");
    }
}
