//! The daemon that runs on the host of each upstream.

use std::process::ExitCode;

use foxtaildrift::cmd::daemon;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    daemon::execute(&args)
}
