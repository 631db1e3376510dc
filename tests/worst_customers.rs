//! The table of customers that a box serves worst, whose size does not grow with the number of
//! customers.

mod harness;

use harness::{Standin, World, backend, eventually, preamble};
use petreldrum::{
    id::Customer,
    service::{Outcome, Service},
    unit::Time,
};
use serde_json::json;

fn customer(number: usize) -> Customer {
    format!("c{number:05}").parse().expect("valid name")
}

fn worst_names(service: &Service, now: Time) -> Vec<String> {
    let rows = service.worst(now);
    rows.iter().map(|row| row.customer.to_string()).collect()
}

#[test]
fn worst_tenth_is_told() {
    let (mut service, now) = (Service::default(), Time(30_000));
    for number in 0..40 {
        for request in 0..20 {
            let outcome = match number {
                7 if request < 15 => Outcome::Refused,
                8 if request < 10 => Outcome::Late,
                // Requests beyond the customer's allotment do not count as badly served.
                9 if request > 0 => Outcome::Over,
                10..13 if request == 0 => Outcome::Late,
                _ => Outcome::Served,
            };
            service.record(&customer(number), outcome, now);
        }
    }
    assert_eq!(
        worst_names(&service, now),
        ["c00007", "c00008", "c00010", "c00011"]
    );
    let worst = service.worst(now)[0].tally;
    assert_eq!((worst.ended, worst.refused, worst.late), (20, 15, 0));
    // The rows expire after a minute.
    assert!(worst_names(&service, Time(90_000)).is_empty());
}

#[test]
fn lone_refusal_is_not_the_worst() {
    let (mut service, now) = (Service::default(), Time(0));
    service.record(&customer(1), Outcome::Refused, now);
    for _ in 0..20 {
        service.record(&customer(2), Outcome::Refused, now);
    }
    assert_eq!(worst_names(&service, now), ["c00002"]);
}

/// A table full of customers that are served well must not hide one that is served badly.
#[test]
fn late_newcomers_find_room() {
    let (mut service, now) = (Service::default(), Time(0));
    for number in 0..20_000 {
        service.record(&customer(number), Outcome::Served, now);
    }
    for _ in 0..5 {
        service.record(&customer(30_000), Outcome::Late, now);
    }
    assert_eq!(worst_names(&service, now), ["c30000"]);
    for number in 0..20_000 {
        service.record(&customer(number), Outcome::Refused, now);
    }
    assert_eq!(service.worst(now).len(), 16);
    service.sweep(Time(70_000));
    assert!(service.worst(now).is_empty());
}

#[tokio::test]
async fn operators_see_refused_customers() {
    let world = World::start(&["perth"], 1).await;
    let app = Standin::start("app").await;
    let text = preamble(&["perth"], "perth")
        + &backend("app", app.address, "perth", "slots", "")
        + "[selector slots]\nroutes = kind=slots\n";
    world.configure("perth-1", 0, &text).await;
    world.places("/slots/x", None).await;
    let perth = world.get("perth-1");
    let send = async || {
        let body = json!({ "id": "x" });
        perth.call("/slots/x", &[], &body).await.status
    };
    for _ in 0..5 {
        assert!(send().await.is_success());
    }
    assert!(perth.status().await.worst.is_empty());
    app.kill().await;
    for _ in 0..5 {
        assert!(send().await.is_server_error());
    }
    let status = perth.status().await;
    let row = status.worst.first().expect("a row in the table");
    assert_eq!(row.customer.as_str(), "ward");
    assert_eq!(
        (row.tally.ended, row.tally.refused + row.tally.late),
        (10, 5)
    );
    let name = "worst_customer_requests{customer=\"ward\",what=\"ended\"}";
    eventually("the metric reports the customer", || async {
        perth.metric(name).await == 10.0
    })
    .await;
}
