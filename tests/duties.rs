//! Panics in the tasks and threads that a member can't do without.

use {
    dogwoodreach::{Kind, duties::Duties},
    std::{future::pending, thread, time::Duration},
    tokio::{
        runtime::{Builder, Runtime},
        task::yield_now,
        time::timeout,
    },
};

/// Time-out of a failure to be noticed.
const TIMEOUT: Duration = Duration::from_secs(20);

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

async fn panic_later() {
    yield_now().await;
    panic!("on purpose");
}

#[test]
fn a_panic_in_a_task_is_noticed() {
    // Guards against a live lease with a dead owner.
    runtime().block_on(async {
        let duties = Duties::default();
        tokio::spawn(duties.clone().run("sound", pending::<()>()));
        tokio::spawn(duties.clone().run("shards", panic_later()));
        let error = timeout(TIMEOUT, duties.failure()).await.expect("noticed");
        assert_eq!(error.kind(), Kind::Panicked);
        assert_eq!(error.detail(), "shards");
    });
}

#[test]
fn a_panic_in_another_thread_is_noticed() {
    // Guards against a member that no longer answers the others and keeps its shards.
    let duties = Duties::default();
    let control = duties.clone();
    let ended = thread::spawn(move || runtime().block_on(control.run("control", panic_later())));
    assert!(ended.join().is_err());
    let error = runtime().block_on(async { timeout(TIMEOUT, duties.failure()).await });
    assert_eq!(error.expect("noticed").detail(), "control");
}

#[test]
fn a_duty_that_ends_or_is_dropped_is_no_failure() {
    // Guards against a member that ends because a task is done or is aborted.
    runtime().block_on(async {
        let duties = Duties::default();
        assert_eq!(duties.clone().run("done", async { 7 }).await, 7);
        let dropped = tokio::spawn(duties.clone().run("dropped", pending::<()>()));
        yield_now().await;
        dropped.abort();
        assert!(dropped.await.expect_err("aborted").is_cancelled());
        assert!(timeout(Duration::from_millis(50), duties.failure()).await.is_err());
    });
}
