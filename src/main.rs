//! The one binary.

use {
    dogwoodreach::cli::{self, Command, Exit},
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    let exit = match cli::parse(env::args_os().skip(1).collect()) {
        Ok(command) => run(command),
        Err(usage) => cli::fail(Exit::Usage, &usage.cause, usage.json),
    };
    exit.into()
}

fn run(command: Command) -> Exit {
    match command {
        Command::Help => cli::say(format_args!("{}", cli::HELP.trim_end())),
        Command::Version => cli::say(format_args!("dogwoodreach {}", env!("CARGO_PKG_VERSION"))),
        Command::Check { text, json } => return cli::check(&text, json),
        Command::Serve { .. } => return absent("serve", false),
        Command::Submit { target, .. } => return absent("submit", target.json),
        Command::Show(target) => return absent("show", target.json),
        Command::Drain(target) => return absent("drain", target.json),
    }
    Exit::Done
}

/// Refuses a command that comes with the daemon, which this build does not have yet.
fn absent(name: &str, json: bool) -> Exit {
    cli::fail(Exit::Refused, &format!("{name} comes with the daemon, not in this build"), json)
}
