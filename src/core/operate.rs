//! Operators' calls, and the orderly stop of a member.

use {
    super::{Core, STOP_DELAY},
    crate::{
        config,
        error::Kind,
        event::{OperatorCall, OperatorReply, Order, Purpose, Ticket},
        ids::{Incarnation, Version},
        messages::{KvPut, MemberShow, Show, SubmitReply},
        text::Plan,
        time::Time,
    },
    std::rc::Rc,
};

impl Core {
    pub(super) fn take_config(
        &mut self,
        revision: crate::ids::Revision,
        record: crate::messages::ConfigRecord,
    ) {
        if self.config.take(revision, record) {
            self.planned();
        }
    }

    pub(super) fn planned(&mut self) {
        log::info!(target: "config", "Version {} is in force.", self.config.version());
        let plan: Rc<Plan> = self.config.plan().clone();
        self.jobs.set_plan(&plan);
    }

    pub(super) fn config_step(&mut self, step: config::Step) {
        match step {
            config::Step::Write(expect, record) => {
                let value = serde_json::to_string(&record).ok().map(Into::into);
                let put = KvPut { expect, value, lease: None };
                self.out.push(Order::Put(Purpose::Config, config::KEY.into(), put));
            }
            config::Step::Read => self.out.push(Order::Get(Purpose::Config, config::KEY.into())),
            config::Step::Answer(ticket, reply) => {
                let reply = reply.unwrap_or_else(|| SubmitReply {
                    accepted: false,
                    version: self.config.version(),
                    errors: vec![Kind::OutcomeUnknown.answer().label.into()],
                    text: None,
                });
                self.out.push(Order::ReplyOperator(ticket, OperatorReply::Submit(reply)));
            }
        }
    }

    pub(super) fn operate(&mut self, ticket: Ticket, ask: OperatorCall, now: Time) {
        match ask {
            OperatorCall::Submit(ask) => {
                let read = Plan::read(&ask.text);
                let faults = match &read {
                    Ok(plan) => plan.team_changes(self.config.plan(), &ask.text),
                    Err(faults) => faults.clone(),
                };
                if faults.is_empty() {
                    let step = self.config.submit(ticket, ask, now);
                    return self.config_step(step);
                }
                let errors = faults.iter().map(|f| f.to_string().into()).collect();
                let version = self.config.version();
                let reply = SubmitReply { accepted: false, version, errors, text: None };
                self.out.push(Order::ReplyOperator(ticket, OperatorReply::Submit(reply)));
            }
            OperatorCall::Show => {
                let show = self.show();
                self.out.push(Order::ReplyOperator(ticket, OperatorReply::Show(Box::new(show))));
            }
            OperatorCall::Drain => {
                self.out.push(Order::ReplyOperator(ticket, OperatorReply::Drain));
                self.start_drain(now);
            }
        }
    }

    pub(super) fn show(&self) -> Show {
        let version = |id: &Incarnation| {
            let beat = self.peers.get(id).and_then(|p| p.beat.as_ref());
            let heard = beat.map_or(Version(0), |b| b.version);
            if *id == self.me() { self.config.version() } else { heard }
        };
        let members = self.ownership.members().values().map(|m| MemberShow {
            incarnation: m.incarnation,
            zone: m.zone.clone(),
            version: version(&m.incarnation),
            draining: m.draining,
            rows: self.ownership.rows(m.incarnation),
        });
        Show {
            member: self.me(),
            version: self.config.version(),
            text: self.config.record().map_or("".into(), |(_, r)| r.text.clone()),
            members: members.collect(),
            workers: self.racks.show(),
            tasks: self.jobs.show(),
            waiting: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
        }
    }

    pub(super) fn start_drain(&mut self, now: Time) {
        if self.drain_since.is_none() {
            log::info!(target: "member", "Stopping: racks and buckets are handed over.");
            self.drain_since = Some(now);
            self.me.draining = true;
            self.out.push(Order::Register(self.me.clone()));
        }
    }

    /// Ends the process once the member owns nothing, no request waits, and a load balancer has had
    /// time to see the member leave.
    pub(super) fn stop_when_idle(&mut self, now: Time) {
        let Some(since) = self.drain_since else { return };
        let alone = self.ownership.members().values().all(|m| m.draining);
        let busy = !self.requests.is_empty()
            || !self.handovers.is_empty()
            || (self.ownership.count() > 0 && !alone && self.ownership.leased(now));
        if busy {
            self.idle_since = None;
            return;
        }
        let idle = *self.idle_since.get_or_insert(now);
        if now - idle >= STOP_DELAY && now - since >= STOP_DELAY {
            self.out.push(Order::Stop);
        }
    }
}
