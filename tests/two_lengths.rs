//! Answers that state a length beside their chunks.

mod harness;

use harness::cloud::Cloud;

// Callers got a body cut to the length that a backend server stated beside its chunks, and could not
// see that it was cut.
#[tokio::test]
async fn answer_with_two_lengths_is_not_cut() {
    for cloud in [
        Cloud::serving(&["i-1"]).await,
        Cloud::across(&["i-1"]).await,
    ] {
        for number in 0..3 {
            let id = format!("two-{number}");
            let answer = cloud.boxes[0].send("/safe/x", &id, "two-lengths").await;
            assert_eq!(answer.status, 200);
            assert!(answer.whole);
            assert_eq!(answer.body, format!("i-1:{id}").as_bytes());
        }
        let connections = cloud.workers["i-1"].connections();
        assert!(connections >= 3, "{connections} connections");
    }
}
