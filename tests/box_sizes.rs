//! A box's settings give its size, from which its weight is derived. The fault of an
//! invalid value names its key.

use petreldrum::{
    settings::Settings,
    size::{Core, Link, Size},
};

#[test]
fn scarcer_resource_sets_weight() {
    let weight = |core: f64, link: f64| {
        let size = Size::new(Some(Core(core)), None, Some(Link(link)));
        size.weight().expect("a weight").number()
    };
    assert_eq!(weight(0.25, 1000.0), 100, "limited by the processor");
    assert_eq!(weight(0.5, 10.0), 40, "limited by the link");
    assert!(weight(0.0001, 0.0001) >= 4);
    assert_eq!(Size::default().weight(), None);
    assert_eq!(Size::new(Some(Core(0.0)), None, None).weight(), None);
}

fn settings(limits: &str) -> Result<Settings, String> {
    let text = format!(
        "[box]\nname=a\nregion=perth\nfailure_domain=p\n[listen]\npublic=127.0.0.1:1\n\
         peer=127.0.0.1:2\ngossip=127.0.0.1:3\nadmin=127.0.0.1:4\nadmin_token=0123456789abcdef\n\
         [peers]\nsecret=0123456789abcdef\n[platform]\nstore=127.0.0.1:5\n[limits]\n{limits}"
    );
    Settings::parse("file", &text).map_err(|faults| faults.to_string())
}

#[test]
fn settings_give_sizes() {
    let parsed = settings("core_share=0.25\ncore_speed=2\nmemory=120MiB\nlink=10.0Mbps\n");
    let parsed = parsed.expect("valid settings");
    assert_eq!(
        parsed.size.to_string(),
        "core=0.5 memory=120MiB link=10Mbps weight=40"
    );
    assert_eq!(
        parsed.body_memory.0,
        30 << 20,
        "a quarter of the box's memory"
    );
    let defaults = settings("").expect("valid settings");
    assert_eq!(
        (defaults.size, defaults.body_memory.0),
        (Size::default(), 64 << 20)
    );
    for invalid in [
        "core_share=-1",
        "link=10",
        "memory=some",
        "core_speed=NaN",
        "link=infMbps",
    ] {
        let key = invalid.split('=').next().expect("a key");
        assert!(settings(invalid).expect_err("a fault").contains(key));
    }
}
