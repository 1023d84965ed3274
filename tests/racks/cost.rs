//! Measures the processor time that one member spends on its workers.

use {
    super::{bench::Bench, fake::TICK},
    std::time::Instant,
};

/// Prints the time that one member spends on 800 workers while nothing changes.
///
/// Run `cargo test --test racks -- --ignored --nocapture cost`.
#[test]
#[ignore = "a measurement"]
fn cost() {
    let mut bench = Bench::new(800);
    bench.run(1000);
    let begun = Instant::now();
    let (orders, mut out) = (bench.orders, vec![]);
    for _ in 0..1000 {
        bench.now = bench.now + TICK / 1000;
        bench.members[0].tick(bench.now, true, &mut out);
    }
    println!("1000 ticks with nothing due: {:?}, {} orders", begun.elapsed(), out.len());
    let begun = Instant::now();
    bench.run(2000);
    println!("2 s with all reports: {:?}, {} orders", begun.elapsed(), bench.orders - orders);
}
