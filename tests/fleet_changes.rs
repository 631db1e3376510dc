//! Backend servers that register themselves: who may be used while the store fails, who is cold.

use petreldrum::{
    config::{Backend, Labels},
    fleet::{Change, DOUBT, Fleet},
    id::Domain,
    unit::{Millis, Time},
};

const NO_DOUBT: Millis = Millis(0);

fn backend(name: &str, cold: u64) -> Backend {
    Backend {
        name: name.parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        region: "atl".parse().expect("a name"),
        domain: "atl-a".parse().expect("a name"),
        serves: vec!["model".parse().expect("a name")],
        labels: Labels::default(),
        slots: 4,
        price: 0.0,
        leaving: false,
        refusal_header: None,
        cold: Millis(cold),
    }
}

fn list(names: &[&str], doubt: Millis) -> Change {
    Change::List {
        backends: names.iter().map(|name| backend(name, 0)).collect(),
        doubt,
    }
}

fn serving(fleet: &Fleet) -> Vec<String> {
    let service = "model".parse().expect("a name");
    let region = "atl".parse().expect("a name");
    let names = fleet.serving(&service, &region);
    names.map(|b| b.name.to_string()).collect()
}

#[test]
fn vanished_leaves_at_once() {
    let mut fleet = Fleet::default();
    fleet.apply(list(&["a", "b"], NO_DOUBT), Time(0));
    let gone = Change::Gone {
        name: "a".parse().expect("a name"),
        doubt: NO_DOUBT,
    };
    fleet.apply(gone, Time(10));
    assert_eq!(serving(&fleet), ["b"]);
    fleet.apply(list(&[], NO_DOUBT), Time(20));
    assert!(serving(&fleet).is_empty());
}

#[test]
fn doubt_keeps_and_ends() {
    let mut fleet = Fleet::default();
    fleet.apply(list(&["a", "b"], NO_DOUBT), Time(0));
    // The store is back and has dropped both; one registers again.
    fleet.apply(list(&[], DOUBT), Time(1000));
    assert_eq!(serving(&fleet), ["a", "b"], "an outage takes nobody out");
    fleet.apply(Change::Put(backend("a", 0)), Time(2000));
    let end = Time(1000) + DOUBT;
    assert!(!fleet.sweep(Time(end.0 - 1)));
    assert!(fleet.sweep(end), "the other is gone in the end");
    assert_eq!(serving(&fleet), ["a"]);
}

#[test]
fn later_news_extend_no_doubt() {
    let mut fleet = Fleet::default();
    fleet.apply(list(&["a"], NO_DOUBT), Time(0));
    fleet.apply(list(&[], Millis(500)), Time(1000));
    fleet.apply(list(&[], Millis(400)), Time(1400));
    assert!(fleet.sweep(Time(1500)));
}

#[test]
fn cold_again() {
    let mut fleet = Fleet::default();
    let name = "a".parse().expect("a name");
    fleet.apply(Change::Put(backend("a", 3000)), Time(0));
    assert!(fleet.is_cold(&name, Time(2999)));
    assert!(!fleet.is_cold(&name, Time(3000)));
    // It was evacuated and says that it is cold once more.
    fleet.apply(Change::Put(backend("a", 3000)), Time(10_000));
    assert!(fleet.is_cold(&name, Time(12_999)));
    // What remains shrinks with each entry; an older word is not cut short.
    fleet.apply(Change::Put(backend("a", 0)), Time(11_000));
    assert!(fleet.is_cold(&name, Time(12_999)));
}

#[test]
fn returned_domain_is_cold() {
    let mut fleet = Fleet::default();
    fleet.apply(list(&["a"], NO_DOUBT), Time(0));
    let domain: Domain = "atl-a".parse().expect("a name");
    fleet.chill(&domain, |_| Millis(3000), Time(5000));
    let name = "a".parse().expect("a name");
    assert!(fleet.is_cold(&name, Time(7999)));
    assert!(!fleet.is_cold(&name, Time(8000)));
}
