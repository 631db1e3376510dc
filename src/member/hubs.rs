//! The hubs of a large region: who they are, and what goes through them.
//!
//! Each failure domain has two, chosen by rank without a word between the boxes. Where boxes disagree
//! for a moment, a report goes to a box that does not pass it on, and the next one comes right.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    id::{BoxName, Domain},
    member::{
        HEARTBEAT, Table,
        rank::{Rank, Scale},
    },
    size::Room,
    unit::Time,
    wire::{Contact, Report, Share, Short},
};

/// Boxes of a failure domain that gather what its boxes see of backend servers: two, so that one is
/// left while the end of the other is not noticed yet.
const HUBS: usize = 2;
/// The duty of a hub, for its rank.
const HUB_DUTY: &str = "hub";

/// The hubs of this box's failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hubs {
    /// Whether this box is one.
    pub mine: bool,
    /// The listeners of the others.
    pub others: Vec<SocketAddr>,
}

impl Table {
    /// Whether the hubs tell how the region uses its backend servers.
    pub fn knows_usages(&self, now: Time) -> bool {
        self.tally.is_fresh(now)
    }

    /// Whether other boxes of this region found that a backend server is gone.
    pub fn is_down(&self, backend: Short, now: Time) -> bool {
        self.knows_usages(now) && self.tally.is_down(backend)
    }

    /// Whether this region is so large that hubs gather what its boxes see of backend servers.
    pub fn has_hubs(&self) -> bool {
        self.heartbeat_period() > HEARTBEAT
    }

    /// The hubs of this box's failure domain.
    ///
    /// This box may be one where it is `ready`.
    pub fn hubs(&self, ready: bool, now: Time) -> Hubs {
        let mine = Some((&self.me, self.room)).filter(|_| ready);
        let here = self.ready(now).map(|p| (&p.last.contact, p.last.room));
        let here = here.filter(|(c, _)| c.domain == self.me.domain);
        let hubs = top_hubs(here.chain(mine), self.scale(now));
        let (own, others): (Vec<_>, Vec<_>) =
            hubs.into_iter().partition(|c| c.name == self.me.name);
        Hubs {
            mine: !own.is_empty(),
            others: others.into_iter().map(|c| c.gossip).collect(),
        }
    }

    /// The listeners of the hubs of the other failure domains of this region.
    pub fn other_hubs(&self, now: Time) -> Vec<SocketAddr> {
        let mut domains: BTreeMap<&Domain, Vec<(&Contact, Room)>> = BTreeMap::new();
        for peer in self.ready(now) {
            let contact = &peer.last.contact;
            if contact.domain != self.me.domain {
                let boxes = domains.entry(&contact.domain).or_default();
                boxes.push((contact, peer.last.room));
            }
        }
        let scale = self.scale(now);
        let hubs = domains
            .into_values()
            .flat_map(|boxes| top_hubs(boxes, scale));
        hubs.map(|contact| contact.gossip).collect()
    }

    /// The listeners of the other live boxes of this failure domain.
    pub fn neighbours(&self, now: Time) -> Vec<SocketAddr> {
        let here = self.live(now).map(|p| &p.last.contact);
        let here = here.filter(|c| c.domain == self.me.domain);
        here.map(|contact| contact.gossip).collect()
    }

    /// Notes what this box tells of its own use of backend servers.
    pub fn tell_report(&mut self, report: &Report) {
        self.tally.tell(report);
    }

    /// As a hub, takes what a box tells of its use of backend servers.
    pub fn hear_report(&mut self, from: &BoxName, report: Report, now: Time) {
        self.tally.report(from.clone(), report, now);
    }

    /// As a hub, adds up what is known, with this box's own `report`; its failure domain stands first.
    pub fn sum_up(&mut self, report: Report, now: Time) -> Vec<Share> {
        self.tally.report(self.me.name.clone(), report, now);
        let shares = self.tally.sum_up(&self.me.domain, now);
        self.tally.take(&shares, now);
        shares
    }

    /// Takes sums from a hub of this failure domain, or from one of another; true for the first.
    pub fn hear_tally(&mut self, from: &BoxName, shares: &[Share], now: Time) -> bool {
        let domain = self.peer(from).map(|p| p.last.contact.domain.clone());
        if domain.as_ref() == Some(&self.me.domain) {
            self.tally.take(shares, now);
            return true;
        }
        for share in shares.iter().filter(|s| Some(&s.domain) == domain.as_ref()) {
            self.tally.share(share.clone(), now);
        }
        false
    }
}

/// Those of `boxes` that rank first as hubs.
fn top_hubs<'a>(
    boxes: impl IntoIterator<Item = (&'a Contact, Room)>,
    scale: Scale,
) -> Vec<&'a Contact> {
    let mut ranked: Vec<_> = boxes.into_iter().collect();
    ranked.sort_by_cached_key(|(contact, room)| {
        std::cmp::Reverse(Rank::of(&contact.name, *room, HUB_DUTY, scale))
    });
    ranked.truncate(HUBS);
    ranked.into_iter().map(|(contact, _)| contact).collect()
}
