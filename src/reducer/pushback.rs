//! Backend servers that refuse requests of this box and name a time to stay away.

use crate::{
    id::{self, Incarnation},
    policy::Policy,
    pushback::Pushback,
    reducer::{
        State,
        effect::{Effect, Note},
        job::Job,
        place::Exclusion,
    },
    server::Block,
    unit::{Millis, Time},
};

impl<P: Policy> State<P> {
    /// Records the pause that a backend server asked for when it refused a request.
    pub(super) fn record_pushback(
        &mut self,
        now: Time,
        name: &id::Backend,
        incarnation: Option<Incarnation>,
        word: Pushback,
        out: &mut Vec<Effect>,
    ) {
        let known = self.fleet.get(name);
        if known.is_none_or(|backend| backend.incarnation != incarnation) {
            return;
        }
        let server = self.servers.entry(name.clone()).or_default();
        let span = match word {
            Pushback::Absent => return,
            Pushback::Pause(span) if !server.push_back(span, now) => return,
            Pushback::Pause(span) => Some(span),
            Pushback::Unreadable if !server.record_unreadable_pushback() => return,
            Pushback::Unreadable => None,
        };
        let backend = name.clone();
        out.push(Effect::Noted(Note::PushedBack { backend, span }));
    }

    /// Returns the time until the first backend server of this region that may take `job` ends its
    /// pause, or `None` if one of them may take it sooner.
    pub(super) fn pushback_left(&self, now: Time, job: &Job) -> Option<Millis> {
        let plan = self.config.as_ref()?.plan(&job.ask).ok()?;
        let mine = &self.table.me.region;
        if !plan.permits_region(mine) {
            return None;
        }
        let mut soonest = None;
        let here = self.fleet.serving(&plan.service, mine);
        for backend in here.filter(|backend| plan.permits_backend(backend)) {
            match self.excluded(now, backend) {
                None | Some(Exclusion::Barred(Block::BreakerOpen | Block::Refusing)) => {
                    return None;
                }
                Some(Exclusion::Barred(Block::PushedBack)) => {
                    let left = self.servers.get(&backend.name)?.pushback_left(now);
                    soonest = Some(soonest.map_or(left, |soonest: Millis| soonest.min(left)));
                }
                Some(_) => {}
            }
        }
        soonest
    }

    /// Returns the number of backend servers whose requested pause has not ended at `now`.
    pub fn pushed_back(&self, now: Time) -> usize {
        let servers = self.servers.values();
        servers.filter(|server| server.is_pushed_back(now)).count()
    }
}
