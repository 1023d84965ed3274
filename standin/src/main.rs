//! Stand-ins for the platform, the workers and the callers.

mod measure_order;

use {
    lexopt::{Arg, Parser},
    std::error::Error,
};

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = Parser::from_env();
    match args.next()? {
        Some(Arg::Value(name)) if name == "measure-order" => measure_order::run(args),
        _ => {
            Err("usage: standin measure-order [--slots N] [--hours N] [--seeds N] [--load X]"
                .into())
        }
    }
}
