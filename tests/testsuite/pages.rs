//! Checks that the configuration page matches the code.

use std::collections::BTreeMap;

use foxtaildrift::process::host::host_settings::HostSettings;
use foxtaildrift::version::service::Service;
use foxtaildrift::{Document, Settings};
use serde::Serialize;

/// Returns the table rows of a section of the page: the name in the first cell, and the default.
fn table_rows(section: &str) -> BTreeMap<String, String> {
    let page = include_str!("../../docs/CONFIGURATION.md");
    let start = page.find(section).expect("the section exists");
    let body = &page[start + section.len()..];
    let end = body.find("\n#").unwrap_or(body.len());
    let lines = body[..end].lines().filter(|l| l.starts_with("| `"));
    let cells = lines.map(|l| {
        l.split('|')
            .map(|c| c.trim().trim_matches('`'))
            .collect::<Vec<_>>()
    });
    cells.map(|c| (c[1].to_owned(), c[4].to_owned())).collect()
}

/// Returns the names of the fields of `value` with their values in YAML. The values of nested
/// fields are empty.
fn field_values(value: &impl Serialize) -> BTreeMap<String, String> {
    let value = serde_yaml_ng::to_value(value).expect("the value is serializable");
    let map = value.as_mapping().expect("the value is a mapping");
    let to_text = |v: &serde_yaml_ng::Value| match v {
        serde_yaml_ng::Value::Mapping(m) if !m.is_empty() => String::new(),
        v => serde_yaml_ng::to_string(v)
            .expect("the value is serializable")
            .trim()
            .to_owned(),
    };
    map.iter()
        .map(|(k, v)| (k.as_str().unwrap_or("").to_owned(), to_text(v)))
        .collect()
}

#[test]
fn the_page_lists_each_setting_with_its_default() {
    assert_eq!(
        table_rows("## Settings of a daemon\n"),
        field_values(&Settings::default())
    );
}

#[test]
fn the_page_lists_each_setting_of_the_host_with_its_default() {
    let documented = table_rows("## Settings of a daemon on the users' platform");
    assert_eq!(documented, field_values(&HostSettings::default()));
}

#[test]
fn the_page_lists_each_field_of_the_document_with_its_default() {
    assert_eq!(
        table_rows("## Document of an environment"),
        field_values(&Document::default())
    );
    assert_eq!(
        table_rows("### A service"),
        field_values(&Service::default())
    );
}

#[test]
fn the_example_document_on_the_page_is_valid() {
    let page = include_str!("../../docs/CONFIGURATION.md");
    let lines = page.lines().skip_while(|l| *l != "    services:");
    let block: Vec<&str> = lines
        .take_while(|l| l.starts_with("    "))
        .map(|l| &l[4..])
        .collect();
    let document = Document::parse(&block.join("\n")).expect("the example is valid");
    assert_eq!(document.services.len(), 2);
}
