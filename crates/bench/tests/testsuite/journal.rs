//! The check of the journals: each kind of broken guarantee must be counted.

use std::collections::HashSet;

use foxtaildrift_bench::journal::{self, ReportedOutcomes, Run, Violations};

fn run(at: u64, id: &str, upstream: &str, token: &str) -> Run {
    Run {
        at,
        upstream: upstream.to_owned(),
        service: "order-desk".to_owned(),
        id: id.to_owned(),
        key: "member".to_owned(),
        slice: "7".to_owned(),
        token: token.to_owned(),
        changes: true,
    }
}

fn reported(ran: &[&str], not_run: &[&str]) -> ReportedOutcomes {
    let set = |ids: &[&str]| ids.iter().map(ToString::to_string).collect::<HashSet<_>>();
    ReportedOutcomes {
        ran: set(ran),
        not_run: set(not_run),
    }
}

#[test]
fn no_violation_is_counted_for_correct_journals() {
    let runs = [run(1, "a", "u1", "1.0.1"), run(2, "b", "u2", "1.1.1")];
    assert_eq!(
        journal::count_violations(&runs, &reported(&["a", "b"], &["c"])),
        Violations::default()
    );
}

#[test]
fn each_kind_of_violation_is_counted() {
    let runs = [
        run(1, "a", "u1", "2.0.1"),
        run(2, "a", "u1", "2.0.1"),
        run(3, "b", "u2", "1.0.1"),
        run(4, "c", "u3", "2.0.1"),
    ];
    let violations = journal::count_violations(&runs, &reported(&["a", "lost"], &["b"]));
    let expected = Violations {
        ran_twice: 1,
        lost: 1,
        false_not_run: 1,
        two_owners: 2,
    };
    assert_eq!(violations, expected);
    assert_eq!(journal::repeated_runs(&runs).len(), 2);
}
