//! The page of log events against the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Gathers the names of events in the sources below `folder`.
fn gather(folder: &Path, events: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            gather(&path, events);
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
fn the_page_lists_each_event() {
    let mut events = BTreeSet::from(["log-lines-dropped".to_owned()]);
    gather(
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
