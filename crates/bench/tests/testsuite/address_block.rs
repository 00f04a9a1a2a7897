//! The loopback addresses of environments that run at the same time.

use std::env;
use std::net::IpAddr;
use std::process::{Child, Command};
use std::thread;

use foxtaildrift_bench::address_block::AddressBlock;

/// More blocks than there are, so that a process that ignores the blocks of others reaches each.
const CLAIMS: usize = 300;
/// Names the variable that holds an address of a block that another process has claimed.
const HELD_ADDRESS: &str = "FOXTAILDRIFT_TEST_HELD_ADDRESS";
/// How long the process that inherits a claim runs if it is not killed, in seconds.
const SLEEP_S: &str = "60";

fn claim() -> AddressBlock {
    AddressBlock::claim().expect("a block is free")
}

/// Returns the first address of a block, which identifies it.
fn first_address(block: &AddressBlock) -> IpAddr {
    block.address(0, 0, 0).ip()
}

/// Claims and releases blocks in turn, and asserts that none is the one of `held`.
fn assert_not_claimed_again(held: IpAddr) {
    for number in 0..CLAIMS {
        let address = first_address(&claim());
        assert_ne!(address, held, "claim {number} returned a block in use");
    }
}

/// Ends a process when it is dropped.
struct RunningProcess(Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        // It fails if the process has ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn threads_claim_different_blocks() {
    let held = claim();
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| assert_not_claimed_again(first_address(&held)));
        }
    });
}

/// Started by `processes_claim_different_blocks` as another process. In the process of the other
/// tests it claims a block itself.
#[test]
fn a_block_of_another_process_is_not_claimed() {
    let own = claim();
    let held = env::var(HELD_ADDRESS).map_or(first_address(&own), |text| {
        text.parse().expect("the variable holds an address")
    });
    assert_not_claimed_again(held);
}

#[test]
fn processes_claim_different_blocks() {
    let held = claim();
    let test_program = env::current_exe().expect("the path of the test program is known");
    let output = Command::new(test_program)
        .args([
            "--exact",
            "address_block::a_block_of_another_process_is_not_claimed",
        ])
        .env(HELD_ADDRESS, first_address(&held).to_string())
        .output();
    let output = output.expect("the test program starts");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    assert!(text.contains("1 passed"), "{text}");
}

/// A run that is killed leaves its daemons and upstreams running, on addresses of its block.
#[test]
fn a_block_is_held_while_a_process_of_its_environment_runs() {
    let block = claim();
    let held = first_address(&block);
    let process = Command::new("sleep").arg(SLEEP_S).spawn();
    let _process = RunningProcess(process.expect("the process starts"));
    drop(block);
    assert_not_claimed_again(held);
}
