//! Checks a configuration's text whole: every fault names its section and key.

use std::{collections::HashSet, sync::Arc};

use crate::{
    allotment::{Allotment, Unit},
    config::{
        Backend, Config, Customer, Draft, Envelope, Headers, Kind, LOWEST_PRIORITY, Model,
        RegionEntry, Route, Selector, Share, Stream, Weights,
    },
    id::{self, Region, Service},
    ini::{Faults, Reader, Section},
    unit::{Millis, Rate},
};

/// The value of `regions` in a selector that keeps requests in the customer's home region.
const HOME: &str = "home";
const DEFAULT_HOP: Millis = Millis(40);
const DEFAULT_DEADLINE: Millis = Millis(30_000);
const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_RATE: Rate = Rate(100.0);
/// Seconds of its rate that a customer may use at once, where it does not say.
const DEFAULT_BURST: f64 = 2.0;
/// Tokens that a request without a prompt counts for.
const DEFAULT_PLAIN: u32 = 200;
/// How configurations named a customer's section before.
const OLD_CUSTOMER: &str = "caller";
/// Attempts of one request in all, where the route does not say.
const DEFAULT_ATTEMPTS: u32 = 3;
const DEFAULT_PRIORITY: u8 = 5;

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
    if draft.routes.iter().any(|route| route.open) {
        admit_anybody(reader, &mut draft);
    }
    draft.version = envelope.version;
    draft.write = envelope.write.clone();
    Some(draft.finish())
}

/// Lets requests of open routes count as somebody's.
fn admit_anybody(reader: &mut Reader, draft: &mut Draft) {
    let anybody = Customer::anybody();
    let name = anybody.name.clone();
    if draft.customers.contains_key(&name) {
        let section = customer_section(reader, &name);
        reader.fault(&section, "", "is the name of who comes without a key");
    }
    draft.customers.insert(name.clone(), anybody);
    draft.anonymous = Some(name);
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
        "customer" | OLD_CUSTOMER => {
            if let Some(customer) = read_customer(&mut section, name) {
                draft.customers.insert(customer.name.clone(), customer);
            }
        }
        "route" => draft.routes.extend(read_route(&mut section, name)),
        "model" => {
            if let Some(model) = read_model(&mut section, name) {
                draft.models.insert(model.name.clone(), model);
            }
        }
        "backend" => {
            let awaits = section.or("await_order", false);
            if let Some(backend) = read_backend(&mut section, name) {
                if awaits && backend.release.is_none() {
                    section.fault("await_order", "needs a release that an order can name");
                }
                draft.awaiting.extend(awaits.then(|| backend.name.clone()));
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

fn read_customer(section: &mut Section<'_>, name: &str) -> Option<Customer> {
    let name = read_name(section, name);
    let keys = section.list("key_sha256");
    if keys.is_empty() {
        section.fault("key_sha256", "names no key");
    }
    let labels = section.or("labels", Default::default());
    let home = section.optional("home");
    let regions = section.list("regions");
    let priority = section.optional("priority");
    if priority.is_some_and(|priority: u8| priority > LOWEST_PRIORITY) {
        section.fault("priority", "is not between 0 and 9");
    }
    let allotment = read_allotment(section);
    Some(Customer {
        name: name?,
        keys,
        labels,
        home,
        regions,
        priority,
        allotment: Some(allotment),
    })
}

fn read_allotment(section: &mut Section<'_>) -> Allotment {
    let rate = section.or("rate", DEFAULT_RATE);
    let burst = section.or("burst", DEFAULT_BURST * rate.0);
    if !(burst.is_finite() && burst > 0.0) {
        section.fault("burst", "is not a positive number");
    }
    Allotment {
        unit: section.or("unit", Unit::default()),
        rate,
        burst,
        plain: section.or("plain_tokens", DEFAULT_PLAIN),
    }
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
    let open = section.or("open", false);
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
        open,
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
    let headers = Headers {
        refusal: section.optional("refusal_header"),
        limit: section.optional("limit_header"),
        leaving: section.optional("leaving_header"),
    };
    let release = section.optional("release");
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
        time_left: None,
        headers: Arc::new(headers),
        release,
        cold: Millis(0),
        incarnation: None,
    })
}

fn read_selector(section: &mut Section<'_>, name: &str) -> Option<Selector> {
    let name = read_name(section, name);
    let old = section.or("callers", Default::default());
    let customers = section.or("customers", old);
    let routes = section.or("routes", Default::default());
    let models = section.or("models", Default::default());
    let backends = section.or("backends", Default::default());
    let mut regions: Vec<Region> = section.list("regions");
    let home_only = regions.iter().any(|r| r.as_str() == HOME);
    regions.retain(|r| r.as_str() != HOME);
    Some(Selector {
        name: name?,
        customers,
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
    for customer in draft.customers.values() {
        let section = customer_section(reader, &customer.name);
        regions(section.clone(), "home", customer.home.as_slice());
        regions(section, "regions", &customer.regions);
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
    odd.extend(repeated_keys(reader, draft));
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

/// The title of a customer's section, as it stands in the text.
fn customer_section(reader: &Reader, name: &id::Customer) -> String {
    let old = format!("{OLD_CUSTOMER} {name}");
    match reader.sections().contains(&old) {
        true => old,
        false => format!("customer {name}"),
    }
}

fn repeated_keys(reader: &Reader, draft: &Draft) -> Vec<(String, &'static str, String)> {
    let mut seen = HashSet::new();
    let mut customers: Vec<&Customer> = draft.customers.values().collect();
    customers.sort_by(|a, b| a.name.cmp(&b.name));
    customers
        .into_iter()
        .filter(|customer| !customer.keys.iter().all(|key| seen.insert(*key)))
        .map(|customer| {
            let section = customer_section(reader, &customer.name);
            (
                section,
                "key_sha256",
                "stands twice among the customers".to_owned(),
            )
        })
        .collect()
}
