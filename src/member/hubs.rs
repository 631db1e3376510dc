//! Hubs of a large region: their selection and the data that passes through them.
//!
//! Each failure domain has two, selected by rank without coordination between the boxes. While
//! boxes disagree, a report may go to a box that does not forward it; the next report reaches the
//! right one.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    id::{BoxName, Domain},
    member::{
        MIN_HEARTBEAT_PERIOD, Table,
        rank::{Rank, Scale},
    },
    size::Room,
    unit::Time,
    wire::{Contact, NameHash, Report, Share},
};

/// Number of boxes in a failure domain that aggregate what its boxes observe of backend servers:
/// two, so that one remains while the failure of the other has not been detected yet.
const HUBS_PER_DOMAIN: usize = 2;
/// Role name used to rank hubs.
const HUB_ROLE: &str = "hub";

/// Hubs of this box's failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hubs {
    /// Whether this box is a hub.
    pub mine: bool,
    /// Gossip addresses of the other hubs.
    pub others: Vec<SocketAddr>,
}

impl Table {
    /// Reports whether current usage sums from the hubs are available.
    pub fn has_fresh_usages(&self, now: Time) -> bool {
        self.tally.is_fresh(now)
    }

    /// Reports whether other boxes of this region found a backend server to be unreachable.
    pub fn is_down(&self, backend: NameHash, now: Time) -> bool {
        self.has_fresh_usages(now) && self.tally.is_down(backend)
    }

    /// Reports whether this region is large enough for hubs to aggregate what its boxes observe of
    /// backend servers.
    pub fn has_hubs(&self) -> bool {
        self.heartbeat_period() > MIN_HEARTBEAT_PERIOD
    }

    /// Returns the hubs of this box's failure domain.
    ///
    /// This box is a candidate only if it is `ready`.
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

    /// Returns the gossip addresses of the hubs of the other failure domains of this region.
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

    /// Returns the gossip addresses of the other live boxes of this failure domain.
    pub fn domain_peers(&self, now: Time) -> Vec<SocketAddr> {
        let here = self.live(now).map(|p| &p.last.contact);
        let here = here.filter(|c| c.domain == self.me.domain);
        here.map(|contact| contact.gossip).collect()
    }

    /// Records the report on its own use of backend servers that this box sends.
    pub fn record_sent_report(&mut self, report: &Report) {
        self.tally.record_sent(report);
    }

    /// Records a report received from a box (on hubs).
    pub fn record_report(&mut self, from: &BoxName, report: Report, now: Time) {
        self.tally.record_report(from.clone(), report, now);
    }

    /// Aggregates the known reports with this box's own `report` (on hubs); the share of its own
    /// failure domain comes first.
    pub fn aggregate(&mut self, report: Report, now: Time) -> Vec<Share> {
        self.tally.record_report(self.me.name.clone(), report, now);
        let shares = self.tally.aggregate(&self.me.domain, now);
        self.tally.replace_sums(&shares, now);
        shares
    }

    /// Applies sums received from a hub of this failure domain, or of another one; returns `true`
    /// for the former.
    pub fn apply_tally(&mut self, from: &BoxName, shares: &[Share], now: Time) -> bool {
        let domain = self.peer(from).map(|p| p.last.contact.domain.clone());
        if domain.as_ref() == Some(&self.me.domain) {
            self.tally.replace_sums(shares, now);
            return true;
        }
        for share in shares.iter().filter(|s| Some(&s.domain) == domain.as_ref()) {
            self.tally.record_share(share.clone(), now);
        }
        false
    }
}

/// Returns the highest-ranked `boxes`, which are the hubs.
fn top_hubs<'a>(
    boxes: impl IntoIterator<Item = (&'a Contact, Room)>,
    scale: Scale,
) -> Vec<&'a Contact> {
    let mut ranked: Vec<_> = boxes.into_iter().collect();
    ranked.sort_by_cached_key(|(contact, room)| {
        std::cmp::Reverse(Rank::of(&contact.name, *room, HUB_ROLE, scale))
    });
    ranked.truncate(HUBS_PER_DOMAIN);
    ranked.into_iter().map(|(contact, _)| contact).collect()
}
