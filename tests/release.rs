//! A shard that is being released writes its remaining changes promptly, and nothing else.

use {
    dogwoodreach::{
        Time,
        ids::Incarnation,
        ports::StoreReply,
        shard::{
            Setup, Shard,
            event::{Event, Order, Snapshot},
            record::{CancelRecord, JobRecord, ShardNo},
        },
        work::{Job, JobNo, Step},
    },
    standin::site::setup::bounds,
};

/// The number of the write among these orders. Fails if there are other orders.
fn write(orders: &[Order]) -> Option<u64> {
    match orders {
        [] => None,
        [Order::Store(number, _)] => Some(*number),
        other => panic!("a write and nothing else, not {other:?}"),
    }
}

#[test]
fn what_is_left_is_written_within_its_pauses() {
    // 60 jobs are cancelled as the member is told to stop, and the store answers within 5 ms. One
    // write holds about 10 jobs. Guards against waiting with the second write until the time for
    // settling is over.
    let (me, unix) = (Incarnation(1), 1_700_000_000_000);
    let setup = Setup { shard: ShardNo(0), member: me, token: 1, bounds: bounds(), unix_ms: unix };
    let step = Step { count: 1, ..Step::default() };
    let job = Job { steps: [step].into(), ..Job::default() };
    let record = || JobRecord {
        queue: "/a/".into(),
        submitted_ms: unix,
        job: job.clone(),
        queue_settings: None,
        customer: None,
    };
    let jobs = (1..=60).map(|no| (JobNo(no), record())).collect();
    let cancels = (1..=60).map(|no| (JobNo(no), CancelRecord::default())).collect();
    let mut shard =
        Shard::new(setup, Snapshot { jobs, cancels, ..Snapshot::default() }, Time::ZERO);
    let (mut ms, mut rev, mut writes) = (0, 0, 0);
    while !shard.is_flushed() {
        assert!(ms <= 400, "{writes} writes in {ms} ms, and not done");
        if let Some(number) = write(&shard.flush_rest(Time::from_millis(ms))) {
            (rev, writes) = (rev + 1, writes + 1);
            let done = Event::Stored(number, Ok(StoreReply::Done(rev)));
            let orders = shard.handle(done, Time::from_millis(ms + 5));
            assert_eq!(write(&orders), None, "within the pause");
        }
        ms += 20;
    }
    assert!(writes > 1, "{writes}");
}
