//! The operators' command-line tool.

use std::process::ExitCode;

use foxtaildrift::cmd::command;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    command::run(&args)
}
