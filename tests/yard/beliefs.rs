//! Compares what the newest owner believes to run with what the workers run.

use {super::*, assignments::Beliefs};

impl ShardSim {
    /// Checks the beliefs of the newest owner, unless it can't follow what happens.
    pub(super) fn check_beliefs(&mut self) {
        let Some(owner) = self.owners.last() else { return };
        if owner.ended || owner.paused || owner.stalled || owner.releasing || owner.store_cut {
            return;
        }
        let beliefs = Beliefs {
            owner: owner.me.0,
            counted: owner.shard.counted_runs(),
            long_running: owner.shard.long_running_tasks(),
            unreached: owner.unreached.clone(),
            late_orders: self.late_one_in > 0,
        };
        if !self.rules.time_rules {
            return;
        }
        let until = self.rules.suspended_until;
        if let Some(text) = self.differences.overdue(&self.world, &beliefs, until) {
            panic!("{}", Breach { seed: self.rules.seed, at: self.now, text: text.into() });
        }
    }
}
