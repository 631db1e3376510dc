//! Which boxes a caller should use.

use crate::{
    config::Refusal,
    id,
    policy::Policy,
    reducer::{
        State,
        admit::refusal,
        effect::{Effect, Entry, Reply},
        event::Credential,
        job::SOON,
    },
    unit::Time,
    verdict::Verdict,
    wire::Phase,
};

impl<P: Policy> State<P> {
    pub(super) fn boxes(
        &mut self,
        now: Time,
        request: id::Request,
        credential: &Credential,
        out: &mut Vec<Effect>,
    ) {
        let name = self.caller(credential);
        let caller = self
            .config
            .as_ref()
            .zip(name)
            .and_then(|(config, name)| config.callers.get(&name));
        let Some(caller) = caller else {
            let reply = match self.config {
                Some(_) => refusal(Refusal::UnknownCaller),
                None => Reply::new(503, Verdict::NotRun, "this box is not ready").after(SOON),
            };
            out.push(Effect::Reply { request, reply });
            return;
        };
        let home = caller.home.clone();
        let boxes = self.entries(now, home.as_ref());
        out.push(Effect::Boxes { request, boxes });
    }

    /// Names the ready boxes of the caller's region. Where it has none, those of regions that every
    /// route of the host permits go first: a body must not go to a region where it may not run.
    pub(super) fn resolve(
        &mut self,
        now: Time,
        request: id::Request,
        region: &id::Region,
        host: Option<&str>,
        out: &mut Vec<Effect>,
    ) {
        let mut boxes = self.entries(now, Some(region));
        let config = self.config.as_deref();
        let permitted = |r: &id::Region| config.is_none_or(|c| c.permits_host(host, r));
        let near = |e: &Entry| e.contact.region == *region;
        let proper = |e: &Entry| permitted(&e.contact.region);
        if boxes.iter().any(near) {
            boxes.retain(near);
        } else if boxes.iter().any(proper) {
            boxes.retain(proper);
        }
        out.push(Effect::Boxes { request, boxes });
    }

    pub(super) fn entries(&self, now: Time, home: Option<&id::Region>) -> Vec<Entry> {
        let me = (self.phase(now) == Phase::Ready).then(|| Entry {
            contact: self.table.me.clone(),
            incarnation: self.table.incarnation,
            uptime: now,
            busy: Some(self.jobs.len() as u32),
        });
        let near = self.table.ready(now).map(|peer| Entry {
            contact: peer.last.contact.clone(),
            incarnation: peer.incarnation,
            uptime: peer.uptime(now),
            busy: Some(peer.last.busy),
        });
        let far = self.table.reachable(now).flat_map(|(_, remote)| {
            let age = now.since(remote.heard);
            remote.digest.doors.iter().map(move |door| Entry {
                contact: door.contact.clone(),
                incarnation: door.incarnation,
                uptime: door.uptime + age,
                busy: None,
            })
        });
        let mut boxes: Vec<Entry> = me.into_iter().chain(near).chain(far).collect();
        let mine = &self.table.me.region;
        boxes.sort_by_key(|e| {
            let region = &e.contact.region;
            (Some(region) != home, region != mine, e.busy)
        });
        boxes
    }
}
