//! Checks that the documentation lists the log events of the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Collects the names of the events in the sources below `directory`.
fn collect_events(directory: &Path, events: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_events(&path, events);
        } else if path.extension().is_some_and(|e| e == "rs") {
            let text = fs::read_to_string(&path).unwrap();
            let found = text.split("event = \"").skip(1);
            events.extend(
                found
                    .filter_map(|rest| rest.split('"').next())
                    .map(str::to_owned),
            );
        }
    }
}

#[test]
fn the_page_lists_exactly_the_events_of_the_code() {
    let mut events = BTreeSet::from(["log-lines-dropped".to_owned()]);
    collect_events(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut events,
    );
    let page = include_str!("../../docs/LOGS.md");
    let rows = page.lines().filter(|l| l.starts_with("| `"));
    let names = rows.flat_map(|l| {
        let cell = l.split('|').nth(1).unwrap_or_default();
        cell.split(',')
            .map(|n| n.trim().trim_matches('`').to_owned())
            .collect::<Vec<_>>()
    });
    assert_eq!(names.collect::<BTreeSet<_>>(), events);
}
