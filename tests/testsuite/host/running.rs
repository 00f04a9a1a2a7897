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
    let Standing::First(run) = running.begin(at(0), "a", 1) else {
        panic!("it is the first");
    };
    assert!(matches!(running.begin(at(5), "a", 1), Standing::Joined(_)));
    running.end(at(10), "a", 1, &run, &PeerReply::Taken);
    let Standing::Joined(copy) = running.begin(at(20), "a", 1) else {
        panic!("its outcome is known");
    };
    assert_eq!(copy.wait(Duration::ZERO), Some(PeerReply::Taken));
    assert!(matches!(
        running.begin(at(5000), "a", 1),
        Standing::Forgotten
    ));
    assert!(matches!(
        running.begin(at(5000), "b", 1),
        Standing::First(_)
    ));
}

#[test]
fn a_later_try_is_no_copy_of_an_earlier_one() {
    // Found by reading: a try after "not owner" was answered with that for three seconds.
    let running = Running::default();
    let Standing::First(run) = running.begin(at(0), "a", 1) else {
        panic!("it is the first");
    };
    running.end(at(1), "a", 1, &run, &PeerReply::Taken);
    assert!(matches!(running.begin(at(20), "a", 2), Standing::First(_)));
}
