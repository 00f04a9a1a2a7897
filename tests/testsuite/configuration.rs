//! The operators' document: defaults, routes and error messages.

use foxtaildrift::process::wall_time::WallTime;
use foxtaildrift::version::configuration::Configuration;
use foxtaildrift::version::document::Document;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::domain_name::DomainName;
use foxtaildrift::version::service::Service;
use insta::assert_snapshot;

const DOCUMENT: &str = "
services:
  order-desk:
    routes:
      - {method: GET, path: /stock, repeatable: true}
      - {path: /stock/orders, repeatable: false}
      - {method: POST, path: /search, repeatable: true}
domains:
  djerba: out
";

fn error(text: &str) -> String {
    Document::parse(text).unwrap_err().to_string()
}

#[test]
fn empty_document_is_valid() {
    assert_eq!(Document::parse("").unwrap(), Document::default());
    assert_eq!(
        Document::parse("# nothing yet\n").unwrap(),
        Document::default()
    );
    assert_eq!(
        Document::parse("services: {a: {}}").unwrap().services.len(),
        1
    );
}

#[test]
fn first_matching_route_applies() {
    let document = Document::parse(DOCUMENT).unwrap();
    let service: &Service = &document.services[&"order-desk".parse().unwrap()];
    assert!(service.is_repeatable("GET", "/stock/7?full=1"));
    assert!(service.is_repeatable("POST", "/search"));
    assert!(!service.is_repeatable("POST", "/stock/orders"));
    assert!(!service.is_repeatable("POST", "/searches"));
    assert!(service.is_repeatable("GET", "/other"));
    assert!(!service.is_repeatable("DELETE", "/other"));
}

#[test]
fn domains_are_in_by_default() {
    let document = Document::parse(DOCUMENT).unwrap();
    let name = |text: &str| text.parse::<DomainName>().unwrap();
    assert!(!document.accepts_work(&name("djerba")));
    assert!(document.accepts_work(&name("zarzis")));
}

#[test]
fn errors_name_the_field_and_the_location() {
    let texts = [
        "services:\n  order-desk:\n    sliced: 3\n",
        "services:\n  order-desk: {slices: 0}\n",
        "services:\n  order-desk: {deadline_ms: 0}\n",
        "services:\n  Order Desk: {}\n",
        "services:\n  a: {objective: {availability_percent: 100}}\n",
        "services:\n  a: {routes: [{path: stock, repeatable: true}]}\n",
        "domains:\n  djerba: away\n",
    ];
    assert_snapshot!(texts.map(error).join("\n"));
}

#[test]
fn drains_apply_on_top_of_the_document_and_versions_increase() {
    let first = Configuration::empty().with_change(WallTime(1), "trial", |c| {
        DOCUMENT.clone_into(&mut c.text);
    });
    let second = first.with_change(WallTime(2), "drain", |c| {
        c.drained_domains.insert("zarzis".parse().unwrap());
    });
    assert_eq!(second.version, DocumentVersion::from(2_u64));
    assert_eq!(second.digest, first.digest);
    assert!(
        !second
            .document()
            .unwrap()
            .accepts_work(&"zarzis".parse().unwrap())
    );
    assert!(second.history_contains(&first.digest));
    assert_eq!(second.history.len(), 2);
}
