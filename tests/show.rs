//! What a member shows to operators of the other members.

mod entries;

use {
    dogwoodreach::ids::Version,
    entries::{ENDPOINTS, Net},
};

// Operators were shown the asked member's own version for a member that it had never heard, as if the
// new configuration were in force there.
#[test]
fn a_version_is_shown_only_as_it_was_heard() {
    let show = Net::new(3).show(0);
    for m in &show.members {
        let heard = m.incarnation == show.member || m.incarnation == ENDPOINTS;
        assert_eq!(m.version, Version(u64::from(heard)), "{}", m.incarnation);
    }
    assert_eq!(show.members.len(), 4);
}
