//! Writes a shard's changes to the store, and updates the shard's state once they are stored.

use {
    crate::{
        ports::{Put, Txn},
        shard::{
            commit::{MAX_PAYLOAD_ROWS, row_count},
            event::Order,
            in_flight::InFlight,
            record::{CommitRow, Roster, encode},
            state_machine::Shard,
            workers::{Worker, WorkerNo, millis},
        },
        time::Time,
        work::{JobNo, JobState},
    },
    std::mem,
};

/// The maximum number of finished jobs that one write removes.
const MAX_PURGED_JOBS: usize = 12;

impl Shard {
    /// Begins a write if there is something to write and no write is in progress.
    ///
    /// Callers wait for the ends of jobs, and starts wait for the roster, so these are written
    /// soon. The ends of tasks are collected for longer, because each write has a cost and makes
    /// the shard call the workers again.
    pub(super) fn flush(&mut self, now: Time) {
        // A worker lists its next ends only once the first are stored.
        let waits = |w: &Worker| w.cut_off && !w.gone && w.unanswered_calls == 0;
        let cut_off = self.workers.iter().any(waits);
        let urgent = cut_off || self.is_roster_due() || self.unwritten.has_ended();
        self.begin_write(urgent, now);
    }

    /// Begins a write like [`Shard::flush`]; `urgent` says whether a caller or a start waits for
    /// it.
    pub(super) fn begin_write(&mut self, urgent: bool, now: Time) {
        let unix = self.unix_ms(now);
        let purge = self.purge_queue.front().is_some_and(|(at, _)| *at <= unix);
        if self.unwritten.is_empty() && !self.is_roster_due() && !purge {
            // The end of a run whose job is already stored triggers no write that would acknowledge
            // it.
            return self.acknowledge_ends(now);
        }
        if !self.commit.may_begin(urgent, now) {
            return;
        }
        let (number, rev) = self.commit.begin(now);
        self.stats.writes += 1;
        let shard = self.setup.shard;
        let row = CommitRow { token: self.setup.token, number };
        let mut txn = Txn::default();
        txn.expected_revs.push((shard.commit_key(), rev));
        txn.puts.push(Put { key: shard.commit_key(), value: encode(&row), lease: 0 });
        let mut flight = InFlight::default();
        if self.is_roster_due() {
            self.roster_dirty = false;
            flight.roster = Some(self.write_roster(&mut txn));
        }
        self.write_jobs(&mut txn, &mut flight, unix);
        while flight.purged.len() < MAX_PURGED_JOBS
            && row_count(&txn) + 2 <= MAX_PAYLOAD_ROWS + 2
            && let Some((at, no)) = self.purge_queue.front().copied()
            && at <= unix
        {
            self.purge_queue.pop_front();
            flight.purged.push((at, no));
            txn.removed_keys.push(shard.progress_key(no));
            // A cancel may have been stored after the job ended.
            txn.removed_keys.push(shard.cancel_key(no));
        }
        self.in_flight = flight;
        self.orders.push(Order::Store(number, txn));
    }

    /// Returns whether the roster has to be written now.
    ///
    /// The former owner's roster stays until most of its workers have answered. The next owner has
    /// to hear from most of the same workers, as the former owner may still act with most of them.
    fn is_roster_due(&self) -> bool {
        self.roster_dirty && (self.unsettled_workers.is_empty() || self.majority_at.is_some())
    }

    fn write_roster(&mut self, txn: &mut Txn) -> Box<[WorkerNo]> {
        let all: Box<[_]> = (0..self.workers.len())
            .map(WorkerNo)
            .filter(|n| self.workers[n.0].needs_roster())
            .collect();
        let place = |n: &WorkerNo| (self.workers[n.0].id.clone(), self.workers[n.0].addr);
        let roster = Roster { workers: all.iter().map(place).collect() };
        txn.puts.push(Put { key: self.setup.shard.roster_key(), value: encode(&roster), lease: 0 });
        // Workers that the new roster omits must not be used while it is being written.
        for (n, w) in self.workers.iter_mut().enumerate() {
            w.rostered &= all.binary_search(&WorkerNo(n)).is_ok();
        }
        if !self.rosters.contains(&all) {
            self.rosters.push(all.clone());
        }
        all
    }

    fn write_jobs(&mut self, txn: &mut Txn, flight: &mut InFlight, unix: u64) {
        let shard = self.setup.shard;
        while row_count(txn) + 3 <= MAX_PAYLOAD_ROWS + 2 {
            let Some(no) = self.unwritten.pop() else { break };
            let Some(job) = self.jobs.get_mut(&no).filter(|j| j.is_unwritten()) else { continue };
            let over = job.state.is_final();
            let progress = job.progress(if over { unix } else { 0 }, self.setup.unix_ms);
            job.stored_seq = job.changed_seq;
            job.end_sent |= over;
            let value = encode(&progress);
            txn.puts.push(Put { key: shard.progress_key(no), value, lease: 0 });
            if over {
                txn.removed_keys.push(shard.job_key(no));
            }
            // The row of a cancel that came too late is removed with the job's progress.
            if job.state == JobState::Cancelled {
                txn.removed_keys.push(shard.cancel_key(no));
            }
            self.stats.written_changes += u64::from(!over);
            flight.jobs.push((no, job.changed_seq, over.then_some(progress)));
        }
    }

    /// Applies a completed write: its contents are now stored.
    pub(super) fn on_stored(&mut self, now: Time) {
        let flight = mem::take(&mut self.in_flight);
        for (no, _, over) in flight.jobs {
            let Some(progress) = over else { continue };
            let ended_at = self.jobs.remove(&no).and_then(|j| j.ended_at);
            self.stats.end_delays.extend(ended_at.map(|at| now - at));
            self.finished_jobs.insert(no, progress.state);
            self.purge_queue.push_back((progress.ended_ms + self.retention_ms(), no));
        }
        let jobs = &self.jobs;
        self.unwritten.skip_written(|no| jobs.get(no).is_none_or(|j| !j.is_unwritten()));
        for (_, no) in flight.purged {
            self.finished_jobs.remove(&no);
            self.early_cancels.remove(&no);
        }
        if let Some(roster) = flight.roster {
            roster.iter().for_each(|n| self.workers[n.0].rostered = true);
            self.rosters = vec![roster];
            self.round_due = true;
        }
        self.acknowledge_ends(now);
    }

    /// Returns the contents of a failed write to the queue, to be written again.
    pub(super) fn on_write_failed(&mut self) {
        let flight = mem::take(&mut self.in_flight);
        for (no, ..) in flight.jobs.into_iter().rev() {
            let Some(job) = self.jobs.get_mut(&no) else { continue };
            if !job.is_unwritten() {
                self.unwritten.push_front(no, job.state.is_final());
            }
            job.stored_seq = 0;
        }
        // A job of which only the cancel was known may have come meanwhile.
        for (at, no) in flight.purged.into_iter().rev().filter(|g| !self.jobs.contains_key(&g.1)) {
            self.purge_queue.push_front((at, no));
        }
        self.roster_dirty |= flight.roster.is_some();
    }

    /// Marks the ends of runs whose jobs are stored, so that the worker's next hold acknowledges
    /// them.
    ///
    /// This waits until all workers of the roster have answered. While one has not, a former owner
    /// without newer knowledge may start the task there again, once it has heard that the
    /// incarnation in which the task ended is over. It must not wait until the shard is settled: a
    /// worker with many ends lists the next ones only once the first are acknowledged.
    pub(super) fn acknowledge_ends(&mut self, now: Time) {
        if !self.excludes_former_owners() {
            return;
        }
        let busy: Vec<JobNo> = self.in_flight.jobs.iter().map(|f| f.0).collect();
        let (jobs, workers) = (&self.jobs, &mut self.workers);
        let acknowledged = &mut self.stats.acknowledged_ends;
        for w in workers.iter_mut().filter(|w| !w.unstored_ends.is_empty()) {
            while let Some((number, no, place)) = w.unstored_ends.front().copied() {
                let stored = jobs.get(&no).is_none_or(|j| j.stored_seq >= place);
                if !stored || busy.contains(&no) {
                    break;
                }
                w.stored_end_number = number;
                *acknowledged += 1;
                w.unstored_ends.pop_front();
                if w.can_list_more() {
                    w.next_hold = now;
                }
            }
        }
    }

    /// Warns if the clean-up of finished jobs is late; the rows themselves are removed with the
    /// next writes.
    pub(super) fn check_purge(&mut self, now: Time) {
        let unix = self.unix_ms(now);
        let old = millis(self.setup.bounds.state_retention) * 2;
        if self.purge_queue.front().is_some_and(|(at, _)| at + old < unix) {
            log::warn!(target: "shard", "Shard {} is late in removing finished jobs.", self.setup.shard);
        }
    }
}
