//! The judgement on journals: each broken promise is noticed.

use std::collections::HashSet;

use foxtaildrift_bench::journal::{self, Run, Told, Verdict};

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

fn told(ran: &[&str], not_run: &[&str]) -> Told {
    let set = |ids: &[&str]| ids.iter().map(ToString::to_string).collect::<HashSet<_>>();
    Told {
        ran: set(ran),
        not_run: set(not_run),
    }
}

#[test]
fn kept_promises_are_no_fault() {
    let runs = [run(1, "a", "u1", "1.0.1"), run(2, "b", "u2", "1.1.1")];
    assert_eq!(
        journal::judge(&runs, &told(&["a", "b"], &["c"])),
        Verdict::default()
    );
}

#[test]
fn each_broken_promise_is_counted() {
    let runs = [
        run(1, "a", "u1", "2.0.1"),
        run(2, "a", "u1", "2.0.1"),
        run(3, "b", "u2", "1.0.1"),
        run(4, "c", "u3", "2.0.1"),
    ];
    let verdict = journal::judge(&runs, &told(&["a", "lost"], &["b"]));
    let expected = Verdict {
        ran_twice: 1,
        lost: 1,
        false_not_run: 1,
        two_owners: 2,
    };
    assert_eq!(verdict, expected);
    assert_eq!(journal::repeated(&runs).len(), 2);
}
