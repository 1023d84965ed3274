//! Jobs whose queue the operators remove from the configuration, under a new owner.

mod yard;

use {
    dogwoodreach::work::{JobState, QueueConfig, Step},
    std::{sync::Arc, time::Duration},
    yard::{ShardSim, job, queues, step, workers},
};

#[test]
fn jobs_of_a_dropped_queue_go_on_at_a_new_owner() {
    // A job is accepted, and then the operators remove its queue, for seconds or for good. The
    // owner continues the job with the queue's last known settings. The member is shut down as
    // planned, and the next owner has a configuration without the queue. Guards against an owner
    // that never starts the job's next step, so that the job never ends ("job 0000000000000402 of
    // queue open is queued; its queue is not known").
    for seed in 1..4 {
        for queue in ["open", "advised"] {
            let mut yard = ShardSim::with(seed, queues(), workers(8), 2);
            let next = Step { after: [0].into(), ..step(2, 500) };
            yard.at(1_000, move |y| y.submit(1, queue, job([step(2, 3_000), next])));
            yard.at(1_500, |y| {
                let kept = y.world.queues.queues.iter().filter(|q| q.pool.as_str() != "open");
                let all = kept.cloned().collect();
                y.configure(Arc::new(QueueConfig {
                    version: 2,
                    queues: all,
                    ..(*y.world.queues).clone()
                }));
            });
            yard.at(2_500, |y| y.release_shard(Duration::from_millis(300)));
            yard.run_until(5_000);
            yard.run_until_settled(15_000);
            assert_eq!(yard.stored_state(1), Some(JobState::Done));
        }
    }
}
