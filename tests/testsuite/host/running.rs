//! Copies of orders that came before.

use std::time::Duration;

use foxtaildrift::connection::peer_message::PeerReply;
use foxtaildrift::process::host::running::{Running, Standing};
use foxtaildrift::process::moment::Moment;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn a_copy_joins_the_first_and_a_late_one_never_runs() {
    let running = Running::default();
    let Standing::First(run) = running.begin(at(0), "a") else {
        panic!("it is the first");
    };
    assert!(matches!(running.begin(at(5), "a"), Standing::Joined(_)));
    running.end(at(10), "a", &run, &PeerReply::Taken);
    let Standing::Joined(copy) = running.begin(at(20), "a") else {
        panic!("its outcome is known");
    };
    assert_eq!(copy.wait(Duration::ZERO), Some(PeerReply::Taken));
    assert!(matches!(running.begin(at(5000), "a"), Standing::Forgotten));
    assert!(matches!(running.begin(at(5000), "b"), Standing::First(_)));
}
