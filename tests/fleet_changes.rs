//! Backend servers that register themselves: who may be used while the store fails, who is cold.

use petreldrum::{
    config::{Backend, Labels},
    fleet::{Change, Fleet, OUTAGE_GRACE},
    id::Domain,
    unit::{Millis, Time},
    wire::NameHash,
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
        time_left: None,
        headers: Default::default(),
        release: None,
        cold: Millis(cold),
        incarnation: None,
    }
}

fn list(names: &[&str], doubt: Millis) -> Change {
    Change::List {
        backends: names.iter().map(|name| backend(name, 0)).collect(),
        grace: doubt,
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
    let gone = Change::Removed {
        name: "a".parse().expect("a name"),
        grace: NO_DOUBT,
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
    fleet.apply(list(&[], OUTAGE_GRACE), Time(1000));
    assert_eq!(serving(&fleet), ["a", "b"], "an outage takes nobody out");
    fleet.apply(Change::Put(backend("a", 0)), Time(2000));
    let end = Time(1000) + OUTAGE_GRACE;
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
    fleet.mark_cold(&domain, |_| Millis(3000), Time(5000));
    let name = "a".parse().expect("a name");
    assert!(fleet.is_cold(&name, Time(7999)));
    assert!(!fleet.is_cold(&name, Time(8000)));
}

/// What a fleet is told in a run of any changes.
#[derive(Clone, Debug, bolero::TypeGenerator)]
enum Told {
    Put {
        name: u8,
        service: u8,
        leaving: bool,
    },
    Gone {
        name: u8,
        doubt: bool,
    },
    List {
        names: [u8; 3],
        doubt: bool,
    },
    Sweep,
}

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const SERVICES: [&str; 2] = ["model", "other"];

fn any_backend(name: u8, service: u8) -> Backend {
    Backend {
        serves: vec![SERVICES[usize::from(service) % 2].parse().expect("a name")],
        ..backend(NAMES[usize::from(name) % NAMES.len()], 0)
    }
}

/// Whatever order servers come and go in, they are found by service as a plain list would tell.
#[test]
fn index_matches_the_members() {
    bolero::check!()
        .with_type::<Vec<Told>>()
        .for_each(|all: &Vec<Told>| {
            let mut fleet = Fleet::default();
            let doubt = |on: &bool| if *on { OUTAGE_GRACE } else { NO_DOUBT };
            for (second, told) in all.iter().enumerate() {
                let now = Time(1000 * second as u64);
                let change = match told {
                    Told::Put {
                        name,
                        service,
                        leaving,
                    } => Change::Put(Backend {
                        leaving: *leaving,
                        ..any_backend(*name, *service)
                    }),
                    Told::Gone { name, doubt: on } => Change::Removed {
                        name: any_backend(*name, 0).name,
                        grace: doubt(on),
                    },
                    Told::List { names, doubt: on } => Change::List {
                        backends: names.iter().map(|n| any_backend(*n, *n / 7)).collect(),
                        grace: doubt(on),
                    },
                    Told::Sweep => {
                        fleet.sweep(now);
                        continue;
                    }
                };
                fleet.apply(change, now);
                check_index(&fleet);
            }
        });
}

fn check_index(fleet: &Fleet) {
    let region = "atl".parse().expect("a name");
    for service in SERVICES {
        let service = service.parse().expect("a name");
        let mut expected: Vec<String> = fleet
            .iter()
            .filter(|b| b.serves.contains(&service))
            .map(|b| b.name.to_string())
            .collect();
        expected.sort();
        let found = fleet.serving(&service, &region);
        let found: Vec<String> = found.map(|b| b.name.to_string()).collect();
        assert_eq!(found, expected);
        let told = fleet.services().any(|s| *s == service);
        assert_eq!(told, !expected.is_empty(), "services without servers go");
    }
    for backend in fleet.iter() {
        let short = NameHash::of(backend.name.as_str());
        assert_eq!(fleet.long(short), Some(&backend.name));
    }
}
