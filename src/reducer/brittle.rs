//! Backend servers that fall over if they have to reject more than a few requests per second.

use crate::{
    id,
    limit::Announcement,
    policy::Policy,
    reducer::{
        State,
        effect::{Effect, Note},
    },
    unit::Time,
};

impl<P: Policy> State<P> {
    /// Records in an answer to a request that was sent at `sent` whether a backend server is
    /// brittle.
    pub(super) fn record_brittleness(
        &mut self,
        now: Time,
        name: &id::Backend,
        word: Announcement,
        sent: Time,
        out: &mut Vec<Effect>,
    ) {
        if !self.fleet.contains(name) {
            return;
        }
        let server = self.servers.entry(name.clone()).or_default();
        if server.rejections.apply_announcement(word, sent, now) {
            let tolerance = server.rejections.rate();
            out.push(Effect::Noted(Note::Brittle {
                backend: name.clone(),
                tolerance,
                teller: None,
            }));
        }
    }

    /// Returns the number of backend servers known to be brittle.
    pub fn brittle(&self) -> usize {
        let servers = self.servers.values();
        let brittle = servers.filter(|server| server.rejections.rate().is_some());
        brittle.count()
    }
}
