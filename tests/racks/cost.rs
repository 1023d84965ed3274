//! What the workers of one member cost it.

use {
    super::{bench::Bench, fake::TICK},
    std::time::Instant,
};

/// Prints what a quiet while with 800 workers costs one member.
///
/// Run `cargo test --test racks -- --ignored --nocapture cost`.
#[test]
#[ignore = "a measurement"]
fn cost() {
    let mut b = Bench::new(800);
    b.run(1000);
    let begun = Instant::now();
    let (orders, mut out) = (b.orders, vec![]);
    for _ in 0..1000 {
        b.now = b.now + TICK / 1000;
        b.members[0].tick(b.now, true, &mut out);
    }
    println!("1000 ticks with nothing due: {:?}, {} orders", begun.elapsed(), out.len());
    let begun = Instant::now();
    b.run(2000);
    println!("2 s with all reports: {:?}, {} orders", begun.elapsed(), b.orders - orders);
}
