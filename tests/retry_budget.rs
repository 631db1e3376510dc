//! Attempts beyond the first, over all boxes together.

use petreldrum::retry::{Budgets, Limits};

const LIMITS: Limits = Limits {
    ratio: 0.2,
    slack: Some(58.0),
};

/// What `boxes` boxes spend at once, each as eagerly as it may.
fn spent(boxes: usize, requests: usize) -> usize {
    let service = "app".parse().expect("a name");
    let spend = |_| {
        let mut budgets = Budgets::new(LIMITS);
        budgets.share(boxes);
        let mut spent = 0;
        for _ in 0..requests {
            budgets.earn(&service);
            while budgets.spend(&service) {
                spent += 1;
            }
        }
        spent
    };
    (0..boxes).map(spend).sum()
}

#[test]
fn all_boxes_together() {
    for boxes in [1, 3, 9, 30] {
        for requests in [0, 10, 200] {
            let allowed = 0.2 * (boxes * requests) as f64 + 58.0;
            let spent = spent(boxes, requests);
            assert!(
                spent as f64 <= allowed,
                "{boxes} boxes: {spent} > {allowed}"
            );
        }
    }
}

#[test]
fn a_lonely_box_is_careful() {
    let service = "app".parse().expect("a name");
    let mut budgets = Budgets::new(LIMITS);
    assert!(budgets.spend(&service));
    assert!(!budgets.spend(&service), "it may not be alone");
}

#[test]
fn services_have_their_own() {
    let (app, model) = (
        "app".parse().expect("a name"),
        "model".parse().expect("a name"),
    );
    let mut budgets = Budgets::new(LIMITS);
    while budgets.spend(&app) {}
    assert!(budgets.spend(&model));
}
