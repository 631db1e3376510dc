//! A configuration is checked whole, and every error names its section and key.

use bolero::check;
use petreldrum::{
    config::{Config, Envelope, KeyHash, Matcher, Query, Version},
    ini::Faults,
    settings::Settings,
};

fn parse(text: &str) -> Result<Config, Faults> {
    let envelope = Envelope {
        version: Version(1),
        write: String::new(),
        author: String::new(),
        text: text.to_owned(),
    };
    Config::parse("file", &envelope)
}

#[test]
fn every_error_is_reported() {
    let text = "[region perth]\nhop = soon\n[region perth]\n\
        [caller a]\nkey_sha256 = 12\nhome = nowhere\nrate = fast\n\
        [route r]\nprefix = x\nkind = other\nrepeatable = maybe\n\
        [backend b]\naddress = here\nregion = perth\nserves = q\nslots = 0\nextra = 1\n\
        [selector s]\ncallers = a\nregions = home, mars\n[what]\n";
    let errors = parse(text)
        .expect_err("configuration is invalid")
        .to_string();
    for part in [
        "[region perth] hop",
        "[region perth]: stands twice",
        "[caller a] key_sha256",
        "[caller a] rate",
        "[route r] prefix",
        "[route r] kind",
        "[route r] repeatable",
        "[backend b] address",
        "[backend b] failure_domain: is missing",
        "[backend b] slots",
        "[backend b] extra: is not a key",
        "[selector s] callers",
        "[selector s] regions: no region mars",
        "[what]: is not a section",
    ] {
        assert!(errors.contains(part), "{part} in:\n{errors}");
    }
    assert!(errors.lines().all(|line| line.starts_with("file: [")));
}

#[test]
fn misspelt_key_suggests_the_closest() {
    let text = "[region perth]\n[backend b]\naddress=127.0.0.1:1\nregion=perth\nfailure_domain=a\n\
        serves=q\nrefusal_headr=x\nlimit_haeder=x\nslot=3\ncolour=red\n";
    let errors = parse(text)
        .expect_err("configuration is invalid")
        .to_string();
    for (key, meant) in [
        ("refusal_headr", "refusal_header"),
        ("limit_haeder", "limit_header"),
        ("slot", "slots"),
    ] {
        let line = format!("{key}: is not a key of this section; did you mean {meant:?}?");
        assert!(errors.contains(&line), "{line} in:\n{errors}");
    }
    assert!(errors.contains("colour: is not a key of this section"));
    assert!(
        !errors.contains("colour: is not a key of this section;"),
        "no key is similar"
    );
    let settings = "[box]\nnam = x\nregion = perth\n[listn]\n";
    let errors = Settings::parse("file", settings)
        .expect_err("configuration is invalid")
        .to_string();
    assert!(errors.contains("did you mean \"name\"?"), "{errors}");
}

#[test]
fn parsers_do_not_panic_on_any_text() {
    check!().with_type::<String>().for_each(|text| {
        let _ = parse(text);
        let _ = Settings::parse("file", text);
        let _ = text.parse::<Matcher>();
    });
}

#[test]
fn examples_are_valid() {
    for name in ["kestrel-reach", "river-gauge"] {
        let path = format!("{}/examples/{name}.ini", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).expect("example exists");
        let config = parse(&text).expect("example is valid");
        assert_eq!(config.regions.len(), 3);
        assert!(config.selectors.len() > 1);
    }
}

#[test]
fn permitted_regions_intersect() {
    let regions = ["perth", "bunbury", "geraldton"];
    let list = |bits: u8| {
        let names: Vec<&str> = (0..3)
            .filter(|i| bits & (1 << i) != 0)
            .map(|i| regions[i])
            .collect();
        names.join(", ")
    };
    check!()
        .with_type::<(u8, u8, u8, bool)>()
        .for_each(|(caller, route, selector, home)| {
            let sections: String = regions.iter().map(|r| format!("[region {r}]\n")).collect();
            let home_suffix = if *home { ", home" } else { "" };
            let text = format!(
                "{sections}[caller a]\nkey_sha256={}\nhome=perth\nregions={}\n\
             [route r]\nprefix=/r\nkind=application\nrepeatable=true\nregions={}\n\
             [selector s]\nregions={}{home_suffix}\n",
                KeyHash::of(b"a"),
                list(*caller),
                list(*route),
                list(*selector),
            );
            let config = parse(&text).expect("configuration is valid");
            let ask = Query {
                host: None,
                random: 0,
                customer: "a".parse().expect("valid name"),
                path: "/r/x".to_owned(),
                model: None,
            };
            let allowed = |index: usize| {
                let open = |bits: u8| bits & 7 == 0 || bits & (1 << index) != 0;
                open(*caller) && open(*route) && open(*selector) && (!home || index == 0)
            };
            match config.plan(&ask) {
                Err(_) => assert!(!(0..3).any(allowed)),
                Ok(plan) => {
                    for (index, region) in regions.iter().enumerate() {
                        let region = region.parse().expect("valid name");
                        assert_eq!(plan.permits_region(&region), allowed(index));
                    }
                }
            }
        });
}
