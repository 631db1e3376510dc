//! The addresses and regions of the oracle's boxes and backend servers, and its configurations.

use std::{net::SocketAddr, sync::Arc};

use petreldrum::{
    config::{Config, Envelope, KeyHash, Version},
    wire::Contact,
};

pub(super) const REGIONS: [&str; 2] = ["perth", "bunbury"];
pub(super) const PER_REGION: usize = 2;
pub(super) const BOXES: usize = REGIONS.len() * PER_REGION;
pub(super) const API_KEYS: [&str; 2] = ["a", "b"];

pub(super) fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}

pub(super) fn gossip(index: usize) -> SocketAddr {
    address(3000 + index)
}

pub(super) fn peer(index: usize) -> SocketAddr {
    address(2000 + index)
}

pub(super) fn region(index: usize) -> &'static str {
    REGIONS[index / PER_REGION]
}

pub(super) fn contact(index: usize) -> Contact {
    Contact {
        name: format!("box-{index}").parse().expect("a name"),
        region: region(index).parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        public: address(1000 + index),
        peer: peer(index),
        gossip: gossip(index),
    }
}

/// Returns a configuration. Bits 0 and 1 of `shape` say which region's backend server is leaving,
/// bits 2 and 3 which regions caller c0 may use.
pub(super) fn config(version: u64, shape: u8) -> Arc<Config> {
    let mut text: String = REGIONS
        .iter()
        .map(|r| format!("[region {r}]\nhop=5ms\n"))
        .collect();
    for (index, key) in API_KEYS.iter().enumerate() {
        let hash = KeyHash::of(key.as_bytes());
        text += &format!(
            "[caller c{index}]\nkey_sha256={hash}\nhome=perth\nrate=1000/s\nlabels=n=c{index}\n"
        );
    }
    text += "[route book]\nprefix=/book\nkind=application\nrepeatable=false\ndeadline=2s\n\
             [route read]\nprefix=/read\nkind=application\nrepeatable=true\ndeadline=2s\n";
    for (index, name) in REGIONS.iter().enumerate() {
        let leaving = shape & (1 << index) != 0;
        text += &format!(
            "[backend app-{index}]\naddress={}\nregion={name}\nfailure_domain=d\n\
             serves=book, read\nslots=2\nleaving={leaving}\n",
            address(4000 + index)
        );
    }
    let regions =
        ["", "regions=perth", "regions=bunbury", "regions=home"][usize::from(shape >> 2 & 3)];
    text += &format!("[selector one]\ncallers=n=c0\n{regions}\n[selector rest]\n");
    let envelope = Envelope {
        version: Version(version),
        write: format!("w{version}"),
        author: "fuzz".to_owned(),
        text,
    };
    Arc::new(Config::parse("fuzz", &envelope).expect("a valid configuration"))
}

/// Reports whether `caller` may run in `region`, computed from the selectors independently of the
/// reducer.
pub(super) fn permitted(config: &Config, caller: usize, region: &str) -> bool {
    let selector = &config.selectors[usize::from(caller != 0)];
    let open = selector.regions.is_empty() || selector.regions.iter().any(|r| r.as_str() == region);
    open && (!selector.home_only || region == "perth")
}
