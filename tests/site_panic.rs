//! Test of a member in which a task panics.

#[path = "site/mod.rs"]
mod common;

use {
    common::{TestMember, forms::FORMS, store::Store},
    dogwoodreach::{cli::Exit, ports::Codec},
};

static PANICS: Codec = Codec {
    decode_listed: |id, value| {
        assert!(value != b"panic", "on purpose");
        (FORMS.decode_listed)(id, value)
    },
    ..FORMS
};

#[test]
fn a_member_ends_if_a_task_panics() {
    // Guards against a live lease with a dead owner.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let store = Store::default();
        store.put(FORMS.config_key, r#"[1, ["/a/", "/b/"]]"#);
        store.put("workers/w1", "{}");
        let store_addr = store.serve();
        let member = TestMember::join_with(&PANICS, "panic", store, store_addr).await;
        member.store.put("workers/w2", "panic");
        member.wait_until("the end", async || member.thread.is_finished()).await;
        assert_ne!(member.thread.join().expect("no panic"), Exit::Done);
    });
}
