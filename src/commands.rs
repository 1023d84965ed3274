//! The commands that run a member or call one, and the output of each.

use {
    crate::{
        cli::{Command, Exit, HELP, Target, check, fail, print_line, read_limited, write_json},
        error::{Error, Kind},
        ids::{SubmissionId, Version},
        member,
        messages::{Show, Submit},
        operators, settings, show_shards,
        text::{Plan, diff},
        trace,
    },
    std::{
        fs,
        io::{self, Read},
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    tokio::runtime::Builder,
};

/// Runs a command and returns its exit code.
pub fn run(command: Command) -> Exit {
    match command {
        Command::Help => print_line(format_args!("{}", HELP.trim_end())),
        Command::Version => print_line(format_args!("dogwoodreach {}", env!("CARGO_PKG_VERSION"))),
        Command::Check { text, json } => return check(&text, json),
        Command::Serve { settings } => return serve(&settings),
        Command::Submit { text, base, by, target } => return submit(&text, base, by, &target),
        Command::Show(target) => return show(&target),
        Command::ShowShards { addrs, json } => return show_shards(&addrs, json),
        Command::Drain(target) => return drain(&target),
        Command::Away { files, json } => return away(&files, json),
        Command::Trace { id, files, json } => return trace(&id, &files, json),
    }
    Exit::Done
}

fn serve(path: &Path) -> Exit {
    let bytes = match read_limited(path) {
        Ok(bytes) => bytes,
        Err(e) => return fail(Exit::Usage, &format!("cannot read {}: {e}", path.display()), false),
    };
    let settings = match settings::read_bytes(&bytes) {
        Ok(settings) => settings,
        Err(e) => return fail(Exit::Invalid, &format!("{}: {e}", path.display()), false),
    };
    env_logger::Builder::new()
        .parse_filters(&format!("{},hyper=warn,jsonrpsee=warn,soketto=warn", settings.log.level))
        .init();
    match member::run(&settings) {
        Ok(()) => Exit::Done,
        Err(e) => fail(e.kind().into(), &e.to_string(), false),
    }
}

/// Parses the log lines of all files.
fn read_logs(files: &[PathBuf]) -> Result<Vec<trace::Line>, Box<str>> {
    let mut lines = vec![];
    for path in files {
        let bytes = fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        lines.extend(trace::read(&path.to_string_lossy(), &bytes));
    }
    Ok(lines)
}

fn away(files: &[PathBuf], json: bool) -> Exit {
    let lines = match files {
        [] => read_standard_input(),
        files => read_logs(files),
    };
    let absences = match lines.map(trace::absences) {
        Ok(absences) if absences.ok => absences,
        Ok(_) => return fail(Exit::Usage, "the input has no log lines", json),
        Err(cause) => return fail(Exit::Usage, &cause, json),
    };
    match json {
        true => write_json(&absences),
        false => print_line(format_args!("{absences}")),
    }
    Exit::Done
}

fn read_standard_input() -> Result<Vec<trace::Line>, Box<str>> {
    let mut bytes = vec![];
    let read = io::stdin().read_to_end(&mut bytes);
    read.map_err(|e| format!("cannot read the standard input: {e}"))?;
    Ok(trace::read("-", &bytes))
}

fn trace(id: &trace::Id, files: &[PathBuf], json: bool) -> Exit {
    let lines = match read_logs(files) {
        Ok(lines) => lines,
        Err(cause) => return fail(Exit::Usage, &cause, json),
    };
    let trace = trace::trace(id, lines);
    match (json, trace.ok) {
        (true, _) => write_json(&trace),
        (false, true) => print_line(format_args!("{trace}")),
        (false, false) => return fail(Exit::Refused, &trace.sentence, false),
    }
    if trace.ok { Exit::Done } else { Exit::Refused }
}

fn submit(path: &Path, base: Option<Version>, by: Option<Box<str>>, target: &Target) -> Exit {
    let bytes = match read_limited(path) {
        Ok(bytes) => bytes,
        Err(e) => {
            return fail(Exit::Usage, &format!("cannot read {}: {e}", path.display()), target.json);
        }
    };
    // A text with errors is reported as `check` reports it, without a call to the member.
    if Plan::read_bytes(&bytes).is_err() {
        return check(path, target.json);
    }
    let text: Box<str> = String::from_utf8_lossy(&bytes).into();
    with_secret(target, async |secret: &str| {
        let base = match base {
            Some(base) => base,
            None => operators::show(target.to, secret).await?.version,
        };
        let by = by.clone().unwrap_or_else(|| "operator".into());
        let submission = SubmissionId(fastrand::u64(1..));
        let ask = Submit { submission, base, by, text: text.clone() };
        let reply = operators::submit(target.to, secret, &ask).await?;
        if reply.errors.iter().any(|e| **e == *Kind::OutcomeUnknown.answer().label) {
            return Err(Kind::OutcomeUnknown.into());
        }
        if target.json {
            write_json(&reply);
        }
        if reply.accepted {
            if !target.json {
                print_line(format_args!("accepted: version {} is in force", reply.version));
            }
            return Ok(Exit::Done);
        }
        if target.json {
            return Ok(if reply.errors.is_empty() { Exit::Conflict } else { Exit::Invalid });
        }
        if !reply.errors.is_empty() {
            reply.errors.iter().for_each(|e| print_line(format_args!("{e}")));
            return Ok(Exit::Invalid);
        }
        let other = reply.text.unwrap_or_default();
        print_line(format_args!("version {} was first; it differs from yours by:", reply.version));
        print_line(format_args!("{}", diff(&text, &other).trim_end()));
        Ok(Exit::Conflict)
    })
}

fn show(target: &Target) -> Exit {
    with_secret(target, async |secret: &str| {
        let show = operators::show(target.to, secret).await?;
        if target.json {
            write_json(&show)
        } else {
            print_show(&show)
        }
        Ok(Exit::Done)
    })
}

fn show_shards(addrs: &[SocketAddr], json: bool) -> Exit {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(Exit::Refused, &e.to_string(), json),
    };
    let report = runtime.block_on(show_shards::ask(addrs));
    let exit = match &*report.errors {
        [] => Exit::Done,
        errors if errors.iter().any(|e| e.unreachable) => Exit::Unreachable,
        _ => Exit::Refused,
    };
    if json {
        write_json(&report);
        return exit;
    }
    if !report.members.is_empty() {
        print_line(format_args!("{report}"));
    }
    for error in &report.errors {
        fail(exit, &format!("{}: {}", error.addr, error.cause), false);
    }
    exit
}

fn drain(target: &Target) -> Exit {
    with_secret(target, async |secret: &str| {
        operators::drain(target.to, secret).await?;
        if target.json {
            write_json(&true);
        } else {
            print_line(format_args!("{} stops once its requests have ended", target.to));
        }
        Ok(Exit::Done)
    })
}

/// Runs `ask` with the secret from the target's file, and reports its error if it fails.
fn with_secret(target: &Target, ask: impl AsyncFnOnce(&str) -> Result<Exit, Error>) -> Exit {
    let secret = match read_limited(&target.secret) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).trim().to_owned(),
        Err(e) => {
            let cause = format!("cannot read {}: {e}", target.secret.display());
            return fail(Exit::Usage, &cause, target.json);
        }
    };
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(Exit::Refused, &e.to_string(), target.json),
    };
    match runtime.block_on(ask(&secret)) {
        Ok(exit) => exit,
        Err(e) if e.kind() == Kind::Peer => fail(Exit::Unreachable, &e.to_string(), target.json),
        Err(e) => fail(e.kind().into(), &e.to_string(), target.json),
    }
}

fn print_show(show: &Show) {
    print_line(format_args!("version {} in force; {} requests open", show.version, show.waiting));
    for m in &show.members {
        let state = if m.draining { ", stopping" } else { "" };
        let here = if m.incarnation == show.member { " (this one)" } else { "" };
        let version = match m.version.0 {
            0 => "no version".into(),
            n => format!("version {n}"),
        };
        print_line(format_args!(
            "member {}{here}: {}, {version}, owns {} rows{state}",
            m.incarnation, m.zone, m.rows
        ));
    }
    for w in &show.workers {
        print_line(format_args!(
            "worker {}: {}, {} of {} slots busy, free {}",
            w.worker, w.state, w.busy, w.slots, w.room
        ));
    }
    for t in &show.tasks {
        let at = t.worker.as_ref().map(|w| format!(" on {w}")).unwrap_or_default();
        let why = t.reason.as_ref().map(|r| format!(": {r}")).unwrap_or_default();
        print_line(format_args!("task {} attempt {}: {}{at}{why}", t.task, t.attempt, t.state));
    }
}
