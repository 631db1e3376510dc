//! Backend servers that register themselves: which may be used while the store fails, and which are
//! cold.

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
        name: name.parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        region: "atl".parse().expect("valid name"),
        domain: "atl-a".parse().expect("valid name"),
        serves: vec!["model".parse().expect("valid name")],
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
    let service = "model".parse().expect("valid name");
    let region = "atl".parse().expect("valid name");
    let names = fleet.serving(&service, &region);
    names.map(|b| b.name.to_string()).collect()
}

#[test]
fn removed_server_leaves_at_once() {
    let mut fleet = Fleet::default();
    fleet.apply(list(&["a", "b"], NO_DOUBT), Time(0));
    let gone = Change::Removed {
        name: "a".parse().expect("valid name"),
        grace: NO_DOUBT,
    };
    fleet.apply(gone, Time(10));
    assert_eq!(serving(&fleet), ["b"]);
    fleet.apply(list(&[], NO_DOUBT), Time(20));
    assert!(serving(&fleet).is_empty());
}

#[test]
fn doubted_servers_are_kept_until_the_doubt_ends() {
    let mut fleet = Fleet::default();
    fleet.apply(list(&["a", "b"], NO_DOUBT), Time(0));
    // The store has recovered without both entries; one server registers again.
    fleet.apply(list(&[], OUTAGE_GRACE), Time(1000));
    assert_eq!(serving(&fleet), ["a", "b"], "an outage removes no server");
    fleet.apply(Change::Put(backend("a", 0)), Time(2000));
    let end = Time(1000) + OUTAGE_GRACE;
    assert!(!fleet.sweep(Time(end.0 - 1)));
    assert!(fleet.sweep(end), "the other server is removed");
    assert_eq!(serving(&fleet), ["a"]);
}

#[test]
fn later_updates_do_not_extend_the_doubt() {
    let mut fleet = Fleet::default();
    fleet.apply(list(&["a"], NO_DOUBT), Time(0));
    fleet.apply(list(&[], Millis(500)), Time(1000));
    fleet.apply(list(&[], Millis(400)), Time(1400));
    assert!(fleet.sweep(Time(1500)));
}

#[test]
fn cold_again() {
    let mut fleet = Fleet::default();
    let name = "a".parse().expect("valid name");
    fleet.apply(Change::Put(backend("a", 3000)), Time(0));
    assert!(fleet.is_cold(&name, Time(2999)));
    assert!(!fleet.is_cold(&name, Time(3000)));
    // The server was evacuated and reports that it is cold once more.
    fleet.apply(Change::Put(backend("a", 3000)), Time(10_000));
    assert!(fleet.is_cold(&name, Time(12_999)));
    // The remaining time shrinks with each entry; a later entry does not cut an earlier period
    // short.
    fleet.apply(Change::Put(backend("a", 0)), Time(11_000));
    assert!(fleet.is_cold(&name, Time(12_999)));
}

#[test]
fn returned_domain_is_cold() {
    let mut fleet = Fleet::default();
    fleet.apply(list(&["a"], NO_DOUBT), Time(0));
    let domain: Domain = "atl-a".parse().expect("valid name");
    fleet.mark_cold(&domain, |_| Millis(3000), Time(5000));
    let name = "a".parse().expect("valid name");
    assert!(fleet.is_cold(&name, Time(7999)));
    assert!(!fleet.is_cold(&name, Time(8000)));
}

/// A random change that is applied to a fleet.
#[derive(Clone, Debug, bolero::TypeGenerator)]
enum FleetChange {
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
        serves: vec![
            SERVICES[usize::from(service) % 2]
                .parse()
                .expect("valid name"),
        ],
        ..backend(NAMES[usize::from(name) % NAMES.len()], 0)
    }
}

/// Whatever the order of changes, the index by service matches a linear search.
#[test]
fn index_matches_the_members() {
    bolero::check!()
        .with_type::<Vec<FleetChange>>()
        .for_each(|all: &Vec<FleetChange>| {
            let mut fleet = Fleet::default();
            let doubt = |on: &bool| if *on { OUTAGE_GRACE } else { NO_DOUBT };
            for (second, fleet_change) in all.iter().enumerate() {
                let now = Time(1000 * second as u64);
                let change = match fleet_change {
                    FleetChange::Put {
                        name,
                        service,
                        leaving,
                    } => Change::Put(Backend {
                        leaving: *leaving,
                        ..any_backend(*name, *service)
                    }),
                    FleetChange::Gone { name, doubt: on } => Change::Removed {
                        name: any_backend(*name, 0).name,
                        grace: doubt(on),
                    },
                    FleetChange::List { names, doubt: on } => Change::List {
                        backends: names.iter().map(|n| any_backend(*n, *n / 7)).collect(),
                        grace: doubt(on),
                    },
                    FleetChange::Sweep => {
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
    let region = "atl".parse().expect("valid name");
    for service in SERVICES {
        let service = service.parse().expect("valid name");
        let mut expected: Vec<String> = fleet
            .iter()
            .filter(|b| b.serves.contains(&service))
            .map(|b| b.name.to_string())
            .collect();
        expected.sort();
        let found = fleet.serving(&service, &region);
        let found: Vec<String> = found.map(|b| b.name.to_string()).collect();
        assert_eq!(found, expected);
        let fleet_change = fleet.services().any(|s| *s == service);
        assert_eq!(
            fleet_change,
            !expected.is_empty(),
            "services without servers go"
        );
    }
    for backend in fleet.iter() {
        let short = NameHash::of(backend.name.as_str());
        assert_eq!(fleet.long(short), Some(&backend.name));
    }
}
