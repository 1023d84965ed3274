//! Stand-ins for the platform, the workers and the callers.

fn main() {}
