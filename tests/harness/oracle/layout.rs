//! Where the oracle's boxes and backend servers stand, and the configurations that it plays.

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

/// The n-th configuration: which places are open is read off the bits of `shape`.
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
    Arc::new(Config::parse("fuzz", &envelope).expect("the configuration checks"))
}

/// Whether `caller` may run in `region`, read off the shape's text anew.
pub(super) fn permitted(config: &Config, caller: usize, region: &str) -> bool {
    let selector = &config.selectors[usize::from(caller != 0)];
    let open = selector.regions.is_empty() || selector.regions.iter().any(|r| r.as_str() == region);
    open && (!selector.home_only || region == "perth")
}
