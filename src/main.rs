//! The `dogwoodreach` binary: parses the command line and runs the command.

use {
    dogwoodreach::{
        cli::{self, Exit},
        commands,
    },
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    let exit = match cli::parse(env::args_os().skip(1).collect()) {
        Ok(command) => commands::run(command),
        Err(usage) => cli::fail(Exit::Usage, &usage.cause, usage.json),
    };
    exit.into()
}
