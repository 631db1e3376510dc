//! Fuzzes four reducers in two regions with all faults combined, checked by the oracle.

mod harness;

use harness::oracle::{Net, Step};

#[test]
fn all_faults() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut net = Net::new();
        for step in steps {
            net.step(*step);
        }
        net.finish();
    });
}
