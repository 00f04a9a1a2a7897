//! A daemon's settings: defaults and error messages.

use foxtaildrift::Settings;
use insta::assert_snapshot;

fn parse_error(text: &str) -> String {
    Settings::parse(text).unwrap_err().to_string()
}

#[test]
fn an_empty_file_gives_the_defaults() {
    assert_eq!(Settings::parse("").unwrap(), Settings::default());
    assert_eq!(Settings::parse("# nothing\n").unwrap(), Settings::default());
}

#[test]
fn errors_name_the_field_and_the_line() {
    let texts = [
        "domain: zarzis\nentri: 127.0.0.1:80\n",
        "domain: Zarzis\n",
        "entry: nowhere\n",
        "workers: 0\n",
        "lease_ms: 900\nrenewal_ms: 500\n",
        "log_level: loud\n",
        "platform: platform.local\n",
        "workers: [\n",
    ];
    assert_snapshot!(texts.map(parse_error).join("\n"));
}
