//! Stand-ins for the platform, the workers and the callers.

mod measure_place;

use {lexopt::prelude::Value, std::process::ExitCode};

fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    let done = match parser.next() {
        Ok(Some(Value(name))) if name == "measure-place" => measure_place::run(parser),
        Ok(Some(arg)) => Err(arg.unexpected()),
        Ok(None) => Err("name a subcommand: measure-place".into()),
        Err(e) => Err(e),
    };
    let Err(e) = done else { return ExitCode::SUCCESS };
    eprintln!("standin: {e}");
    ExitCode::FAILURE
}
