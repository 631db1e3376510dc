//! Checks a configuration's text whole: every fault names its section and key.

use std::collections::HashSet;

use crate::{
    config::{
        Backend, Caller, Config, Draft, Envelope, Kind, Model, RegionEntry, Route, Selector, Share,
        Stream, Weights,
    },
    id::{Region, Service},
    ini::{Faults, Reader, Section},
    unit::{Millis, Rate},
};

/// The value of `regions` in a selector that keeps requests in the caller's home region.
const HOME: &str = "home";
const DEFAULT_HOP: Millis = Millis(40);
const DEFAULT_DEADLINE: Millis = Millis(30_000);
const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_RATE: Rate = Rate(100.0);
/// Attempts of one request in all, where the route does not say.
const DEFAULT_ATTEMPTS: u32 = 3;
const DEFAULT_PRIORITY: u8 = 5;
const LOWEST_PRIORITY: u8 = 9;

impl Config {
    /// Checks the text of `envelope`; `file` is the name that faults carry.
    pub fn parse(file: &str, envelope: &Envelope) -> Result<Self, Faults> {
        let mut reader = Reader::new(file, &envelope.text)?;
        let config = read(&mut reader, envelope);
        reader.finish(config)
    }
}

fn read(reader: &mut Reader, envelope: &Envelope) -> Option<Config> {
    let mut draft = Draft::default();
    for name in reader.sections() {
        read_section(reader, &name, &mut draft);
    }
    if draft.regions.is_empty() {
        reader.fault("", "", "no [region NAME] section");
    }
    check_references(reader, &draft);
    draft.version = envelope.version;
    draft.write = envelope.write.clone();
    Some(draft.finish())
}

fn read_section(reader: &mut Reader, title: &str, draft: &mut Draft) {
    let (kind, name) = title.split_once(' ').unwrap_or((title, ""));
    let mut section = reader.section(title);
    match kind {
        "weights" if name.is_empty() => draft.weights = Some(read_weights(&mut section)),
        "region" => {
            let entry = RegionEntry {
                hop: section.or("hop", DEFAULT_HOP),
            };
            if let Some(name) = read_name(&mut section, name) {
                draft.regions.insert(name, entry);
            }
        }
        "caller" => {
            if let Some(caller) = read_caller(&mut section, name) {
                draft.callers.insert(caller.name.clone(), caller);
            }
        }
        "route" => draft.routes.extend(read_route(&mut section, name)),
        "model" => {
            if let Some(model) = read_model(&mut section, name) {
                draft.models.insert(model.name.clone(), model);
            }
        }
        "backend" => {
            if let Some(backend) = read_backend(&mut section, name) {
                draft.backends.insert(backend.name.clone(), backend);
            }
        }
        "selector" => draft.selectors.extend(read_selector(&mut section, name)),
        _ => {
            section.fault("", "is not a section of the configuration");
            return;
        }
    }
    section.end();
}

fn read_name<T>(section: &mut Section<'_>, name: &str) -> Option<T>
where
    T: std::str::FromStr<Err = crate::id::Error>,
{
    match name.parse() {
        Ok(name) => Some(name),
        Err(error) => {
            section.fault("", error);
            None
        }
    }
}

fn read_weights(section: &mut Section<'_>) -> Weights {
    let mut weight = |key, default| {
        let value: f64 = section.or(key, default);
        if !(0.0..=1e9).contains(&value) {
            section.fault(key, "is not between 0 and 1e9");
        }
        value
    };
    Weights {
        cost: weight("cost", 1.0),
        away: weight("away", 100.0),
        tail: weight("tail", 1.0),
    }
}

fn read_caller(section: &mut Section<'_>, name: &str) -> Option<Caller> {
    let name = read_name(section, name);
    let key = section.required("key_sha256");
    let labels = section.or("labels", Default::default());
    let home = section.optional("home");
    let regions = section.list("regions");
    let rate = section.or("rate", DEFAULT_RATE);
    Some(Caller {
        name: name?,
        key: key?,
        labels,
        home,
        regions,
        rate,
    })
}

fn read_route(section: &mut Section<'_>, name: &str) -> Option<Route> {
    let name = read_name(section, name);
    let prefix: Option<String> = section.required("prefix");
    let kind: Option<Kind> = section.required("kind");
    let repeatable = section.required("repeatable");
    if let Some(prefix) = &prefix
        && (!prefix.starts_with('/') || prefix.starts_with("/petreldrum"))
    {
        section.fault("prefix", "must begin with / and lie outside /petreldrum");
    }
    let labels = section.or("labels", Default::default());
    let regions = section.list("regions");
    let deadline = section.or("deadline", DEFAULT_DEADLINE);
    let host = section.optional("host");
    let shares: Vec<Share> = section.list("services");
    if shares.iter().any(|s| s.weight == 0) {
        section.fault("services", "a weight is zero");
    }
    let keyed = section.or("keyed", true);
    let attempts = section.or("attempts", DEFAULT_ATTEMPTS);
    if attempts == 0 {
        section.fault("attempts", "is zero");
    }
    let hold = section.optional("hold");
    let target = section.optional("target");
    let priority = section.or("priority", DEFAULT_PRIORITY);
    if priority > LOWEST_PRIORITY {
        section.fault("priority", "is not between 0 and 9");
    }
    let gap: Option<Millis> = section.optional("stream_gap");
    let resumable = section.or("resumable", false);
    Some(Route {
        name: name?,
        prefix: prefix?,
        kind: kind?,
        repeatable: repeatable?,
        labels,
        regions,
        deadline,
        host,
        shares,
        keyed,
        attempts,
        hold,
        target,
        priority,
        stream: gap.map(|gap| Stream { resumable, gap }),
    })
}

fn read_model(section: &mut Section<'_>, name: &str) -> Option<Model> {
    let name = read_name(section, name);
    let labels = section.or("labels", Default::default());
    let regions = section.list("regions");
    Some(Model {
        name: name?,
        labels,
        regions,
    })
}

fn read_backend(section: &mut Section<'_>, name: &str) -> Option<Backend> {
    let name = read_name(section, name);
    let address = section.required("address");
    let region = section.required("region");
    let domain = section.required("failure_domain");
    let serves: Vec<Service> = section.list("serves");
    if serves.is_empty() {
        section.fault("serves", "names no model or route");
    }
    let labels = section.or("labels", Default::default());
    let slots = section.or("slots", DEFAULT_SLOTS);
    if slots == 0 {
        section.fault("slots", "is zero");
    }
    let price = section.or("price", 1.0);
    let leaving = section.or("leaving", false);
    let refusal_header = section.optional("refusal_header");
    Some(Backend {
        name: name?,
        address: address?,
        region: region?,
        domain: domain?,
        serves,
        labels,
        slots,
        price,
        leaving,
        refusal_header,
        cold: Millis(0),
    })
}

fn read_selector(section: &mut Section<'_>, name: &str) -> Option<Selector> {
    let name = read_name(section, name);
    let callers = section.or("callers", Default::default());
    let routes = section.or("routes", Default::default());
    let models = section.or("models", Default::default());
    let backends = section.or("backends", Default::default());
    let mut regions: Vec<Region> = section.list("regions");
    let home_only = regions.iter().any(|r| r.as_str() == HOME);
    regions.retain(|r| r.as_str() != HOME);
    Some(Selector {
        name: name?,
        callers,
        routes,
        models,
        backends,
        regions,
        home_only,
    })
}

fn check_references(reader: &mut Reader, draft: &Draft) {
    let known = |region: &Region| draft.regions.contains_key(region);
    let mut odd: Vec<(String, &str, String)> = Vec::new();
    let mut regions = |section: String, key: &'static str, list: &[Region]| {
        for region in list.iter().filter(|r| !known(r)) {
            odd.push((section.clone(), key, format!("no region {region}")));
        }
    };
    for caller in draft.callers.values() {
        let section = format!("caller {}", caller.name);
        regions(section.clone(), "home", caller.home.as_slice());
        regions(section, "regions", &caller.regions);
    }
    for route in &draft.routes {
        regions(format!("route {}", route.name), "regions", &route.regions);
    }
    for model in draft.models.values() {
        regions(format!("model {}", model.name), "regions", &model.regions);
    }
    for s in &draft.selectors {
        regions(format!("selector {}", s.name), "regions", &s.regions);
    }
    let mut serves: Vec<(String, &str, String)> = Vec::new();
    for backend in draft.backends.values() {
        let section = format!("backend {}", backend.name);
        regions(
            section.clone(),
            "region",
            std::slice::from_ref(&backend.region),
        );
        for service in &backend.serves {
            let shared = |r: &Route| r.shares.iter().any(|s| s.service == *service);
            let route = draft.routes.iter().any(|r| r.name == *service || shared(r));
            if !route && !draft.models.contains_key(service) {
                serves.push((
                    section.clone(),
                    "serves",
                    format!("no model or route {service}"),
                ));
            }
        }
    }
    odd.extend(serves);
    odd.extend(repeated_keys(draft));
    odd.extend(repeated_services(draft));
    odd.sort();
    for (section, key, problem) in odd {
        reader.fault(&section, key, problem);
    }
}

/// A route's name is a service as a model's is, so no two may share one; nor two routes a prefix.
fn repeated_services(draft: &Draft) -> Vec<(String, &'static str, String)> {
    let mut prefixes = HashSet::new();
    let mut found = Vec::new();
    for route in &draft.routes {
        let section = format!("route {}", route.name);
        if draft.models.contains_key(&route.name) {
            found.push((section.clone(), "", "is a model's name too".to_owned()));
        }
        if !prefixes.insert((&route.host, &route.prefix)) {
            found.push((section, "prefix", "is another route's too".to_owned()));
        }
    }
    found
}

fn repeated_keys(draft: &Draft) -> Vec<(String, &'static str, String)> {
    let mut seen = HashSet::new();
    let mut callers: Vec<&Caller> = draft.callers.values().collect();
    callers.sort_by(|a, b| a.name.cmp(&b.name));
    callers
        .into_iter()
        .filter(|caller| !seen.insert(caller.key))
        .map(|caller| {
            let section = format!("caller {}", caller.name);
            (section, "key_sha256", "is another caller's too".to_owned())
        })
        .collect()
}
