//! The operators' command line: help texts, and exit codes of errors.

use foxtaildrift::cmd::command::{self, CommandError};
use insta::assert_snapshot;

fn execute(command_line: &[&str]) -> Result<String, CommandError> {
    let args: Vec<String> = command_line[1..].iter().map(ToString::to_string).collect();
    let commands = command::commands();
    let command = commands.iter().find(|c| c.name == command_line[0]).unwrap();
    command::execute(command, &args)
}

#[test]
fn help_lists_all_commands() {
    assert_snapshot!(command::help());
}

#[test]
fn each_command_has_a_help_text() {
    for command in command::commands() {
        let text = execute(&[command.name, "--help"]).unwrap();
        assert!(text.contains(command.about), "{text}");
        assert!(text.contains("--help"), "{text}");
    }
}

#[test]
fn invalid_arguments_are_usage_errors() {
    let lines: [&[&str]; 8] = [
        &["check"],
        &["check", "a", "b"],
        &["show", "--colour"],
        &["drain"],
        &["drain", "--domain", "a", "--upstream", "127.0.0.1:1"],
        &["promote", "latest"],
        &["explain", "--host", "a.example", "--path", "/x/"],
        &[
            "explain",
            "--ready",
            "127.0.0.1:1",
            "--host",
            "a",
            "--path",
            "/",
            "--key",
            "70000",
        ],
    ];
    for line in lines {
        assert_eq!(execute(line).unwrap_err().exit_code(), 2, "{line:?}");
    }
}

#[test]
fn an_unreachable_platform_is_named_in_the_error() {
    let line = ["show", "--platform", "http://127.0.0.1:9"];
    let e = execute(&line).unwrap_err();
    assert_eq!(e.exit_code(), 1);
    assert!(e.to_string().contains("http://127.0.0.1:9"), "{e}");
}

#[test]
fn check_accepts_a_valid_document_and_rejects_an_invalid_one() {
    let directory = std::env::temp_dir();
    let path = directory.join(format!("foxtaildrift-check-{}.yaml", std::process::id()));
    let text = path.display().to_string();
    std::fs::write(&path, "services: {order-desk: {}}\n").unwrap();
    assert!(
        execute(&["check", &text])
            .unwrap()
            .contains("valid, 1 services")
    );
    std::fs::write(&path, "services: {order-desk: {slice: 1}}\n").unwrap();
    let e = execute(&["check", &text]).unwrap_err();
    assert!(e.to_string().contains("unknown field `slice`"), "{e}");
    std::fs::remove_file(&path).unwrap();
    assert_eq!(execute(&["check", &text]).unwrap_err().exit_code(), 1);
}
