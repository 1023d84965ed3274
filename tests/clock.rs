//! The clock by which a member counts leases.

use std::{fs, path::Path};

#[test]
fn leases_are_counted_by_a_clock_that_goes_on_while_the_machine_is_suspended() {
    // An owner whose machine was suspended for longer than its lease took the lease for valid when
    // it resumed: `Instant` stops during a suspension.
    for file in ["src/clock.rs", "src/shared_state.rs"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
        let text = fs::read_to_string(path).expect("a source");
        assert!(!text.contains("Instant::now"), "{file} reads a clock that stops");
    }
    let clock = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/clock.rs");
    assert!(fs::read_to_string(clock).expect("a source").contains("CLOCK_BOOTTIME"));
}
