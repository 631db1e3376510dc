//! Parses and validates the text of a configuration, and reports all faults at once, each with its
//! section and key.

use std::{collections::HashSet, sync::Arc};

use crate::{
    allotment::{Allotment, Unit},
    config::{
        Backend, Builder, Config, Customer, Envelope, Headers, Kind, LOWEST_PRIORITY, Model,
        RegionEntry, Route, Selector, Share, Stream, Weights,
    },
    id::{self, Region, Service},
    ini::{Faults, Reader, Section},
    unit::{Millis, Rate},
};

/// The value of `regions` in a selector that restricts requests to the customer's home region.
const HOME_REGION_KEYWORD: &str = "home";
const DEFAULT_HOP: Millis = Millis(40);
const DEFAULT_DEADLINE: Millis = Millis(30_000);
const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_RATE: Rate = Rate(100.0);
/// Default burst of a customer, in seconds of its rate.
const DEFAULT_BURST_SECONDS: f64 = 2.0;
/// Default number of tokens charged for a request without a prompt.
const DEFAULT_PLAIN_TOKENS: u32 = 200;
/// The former kind of a customer's section, still accepted.
const LEGACY_CUSTOMER_KIND: &str = "caller";
/// Default limit on attempts of one request, the first included.
const DEFAULT_ATTEMPTS: u32 = 3;
const DEFAULT_PRIORITY: u8 = 5;

impl Config {
    /// Parses and validates the text of `envelope`; `file` is the file name in reported faults.
    pub fn parse(file: &str, envelope: &Envelope) -> Result<Self, Faults> {
        let mut reader = Reader::new(file, &envelope.text)?;
        let config = read(&mut reader, envelope);
        reader.finish(config)
    }
}

fn read(reader: &mut Reader, envelope: &Envelope) -> Option<Config> {
    let mut draft = Builder::default();
    for name in reader.sections() {
        read_section(reader, &name, &mut draft);
    }
    if draft.regions.is_empty() {
        reader.fault("", "", "no [region NAME] section");
    }
    check_references(reader, &draft);
    if draft.routes.iter().any(|route| route.open) {
        add_anonymous_customer(reader, &mut draft);
    }
    draft.version = envelope.version;
    draft.write = envelope.write.clone();
    Some(draft.build())
}

/// Adds the customer that requests without an API key on open routes are attributed to.
fn add_anonymous_customer(reader: &mut Reader, draft: &mut Builder) {
    let anonymous = Customer::anonymous();
    let name = anonymous.name.clone();
    if draft.customers.contains_key(&name) {
        let section = customer_section_title(reader, &name);
        reader.fault(&section, "", "is reserved for requests without an API key");
    }
    draft.customers.insert(name.clone(), anonymous);
    draft.anonymous = Some(name);
}

fn read_section(reader: &mut Reader, title: &str, draft: &mut Builder) {
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
        "customer" | LEGACY_CUSTOMER_KIND => {
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
            let awaits_order = section.or("await_order", false);
            if let Some(backend) = read_backend(&mut section, name) {
                if awaits_order && backend.release.is_none() {
                    section.fault(
                        "await_order",
                        "needs a release key, so that a roll-out order can name it",
                    );
                }
                draft
                    .awaiting
                    .extend(awaits_order.then(|| backend.name.clone()));
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
            section.fault(key, "must be between 0 and 1e9");
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
        section.fault("key_sha256", "must list at least one key hash");
    }
    let labels = section.or("labels", Default::default());
    let home = section.optional("home");
    let regions = section.list("regions");
    let priority = section.optional("priority");
    if priority.is_some_and(|priority: u8| priority > LOWEST_PRIORITY) {
        section.fault("priority", "must be between 0 and 9");
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
    let burst = section.or("burst", DEFAULT_BURST_SECONDS * rate.0);
    if !(burst.is_finite() && burst > 0.0) {
        section.fault("burst", "must be a positive number");
    }
    Allotment {
        unit: section.or("unit", Unit::default()),
        rate,
        burst,
        plain: section.or("plain_tokens", DEFAULT_PLAIN_TOKENS),
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
        section.fault("prefix", "must begin with / and not with /petreldrum");
    }
    let labels = section.or("labels", Default::default());
    let regions = section.list("regions");
    let deadline = section.or("deadline", DEFAULT_DEADLINE);
    let host = section.optional("host");
    let shares: Vec<Share> = section.list("services");
    if shares.iter().any(|s| s.weight == 0) {
        section.fault("services", "a weight must be at least 1");
    }
    let keyed = section.or("keyed", true);
    let attempts = section.or("attempts", DEFAULT_ATTEMPTS);
    if attempts == 0 {
        section.fault("attempts", "must be at least 1");
    }
    let hold = section.optional("hold");
    let target = section.optional("target");
    let priority = section.or("priority", DEFAULT_PRIORITY);
    if priority > LOWEST_PRIORITY {
        section.fault("priority", "must be between 0 and 9");
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
        requires_key: keyed,
        attempts,
        max_duration: hold,
        target_latency: target,
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
        section.fault("serves", "must list at least one model or route");
    }
    let labels = section.or("labels", Default::default());
    let slots = section.or("slots", DEFAULT_SLOTS);
    if slots == 0 {
        section.fault("slots", "must be at least 1");
    }
    let price = section.or("price", 1.0);
    let leaving = section.or("leaving", false);
    let headers = Headers {
        refusal: section.optional("refusal_header"),
        limit: section.optional("limit_header"),
        brittle: section.optional("brittle_header"),
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
    let legacy = section.or("callers", Default::default());
    let customers = section.or("customers", legacy);
    let routes = section.or("routes", Default::default());
    let models = section.or("models", Default::default());
    let backends = section.or("backends", Default::default());
    let mut regions: Vec<Region> = section.list("regions");
    let home_only = regions.iter().any(|r| r.as_str() == HOME_REGION_KEYWORD);
    regions.retain(|r| r.as_str() != HOME_REGION_KEYWORD);
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

fn check_references(reader: &mut Reader, draft: &Builder) {
    let known = |region: &Region| draft.regions.contains_key(region);
    let mut faults: Vec<(String, &str, String)> = Vec::new();
    let mut check_regions = |section: String, key: &'static str, list: &[Region]| {
        for region in list.iter().filter(|r| !known(r)) {
            faults.push((section.clone(), key, format!("no region {region}")));
        }
    };
    for customer in draft.customers.values() {
        let section = customer_section_title(reader, &customer.name);
        check_regions(section.clone(), "home", customer.home.as_slice());
        check_regions(section, "regions", &customer.regions);
    }
    for route in &draft.routes {
        check_regions(format!("route {}", route.name), "regions", &route.regions);
    }
    for model in draft.models.values() {
        check_regions(format!("model {}", model.name), "regions", &model.regions);
    }
    for s in &draft.selectors {
        check_regions(format!("selector {}", s.name), "regions", &s.regions);
    }
    let mut unknown_services: Vec<(String, &str, String)> = Vec::new();
    for backend in draft.backends.values() {
        let section = format!("backend {}", backend.name);
        check_regions(
            section.clone(),
            "region",
            std::slice::from_ref(&backend.region),
        );
        for service in &backend.serves {
            let shares_service = |r: &Route| r.shares.iter().any(|s| s.service == *service);
            let is_route = draft
                .routes
                .iter()
                .any(|r| r.name == *service || shares_service(r));
            if !is_route && !draft.models.contains_key(service) {
                unknown_services.push((
                    section.clone(),
                    "serves",
                    format!("no model or route {service}"),
                ));
            }
        }
    }
    faults.extend(unknown_services);
    faults.extend(duplicate_keys(reader, draft));
    faults.extend(duplicate_routes(draft));
    faults.sort();
    for (section, key, problem) in faults {
        reader.fault(&section, key, problem);
    }
}

/// Finds routes whose name is also a model's, and routes with the same host and prefix. Routes and
/// models share one namespace, since both name services.
fn duplicate_routes(draft: &Builder) -> Vec<(String, &'static str, String)> {
    let mut prefixes = HashSet::new();
    let mut faults = Vec::new();
    for route in &draft.routes {
        let section = format!("route {}", route.name);
        if draft.models.contains_key(&route.name) {
            faults.push((
                section.clone(),
                "",
                "has the same name as a model".to_owned(),
            ));
        }
        if !prefixes.insert((&route.host, &route.prefix)) {
            faults.push((
                section,
                "prefix",
                "is already used by another route".to_owned(),
            ));
        }
    }
    faults
}

/// Returns the section title of a customer as written in the text, which may be the legacy form.
fn customer_section_title(reader: &Reader, name: &id::Customer) -> String {
    let legacy = format!("{LEGACY_CUSTOMER_KIND} {name}");
    match reader.sections().contains(&legacy) {
        true => legacy,
        false => format!("customer {name}"),
    }
}

/// Finds customers that list an API key twice or share one with another customer.
fn duplicate_keys(reader: &Reader, draft: &Builder) -> Vec<(String, &'static str, String)> {
    let mut seen = HashSet::new();
    let mut customers: Vec<&Customer> = draft.customers.values().collect();
    customers.sort_by(|a, b| a.name.cmp(&b.name));
    customers
        .into_iter()
        .filter(|customer| !customer.keys.iter().all(|key| seen.insert(*key)))
        .map(|customer| {
            let section = customer_section_title(reader, &customer.name);
            (
                section,
                "key_sha256",
                "contains a key that is listed more than once".to_owned(),
            )
        })
        .collect()
}
