//! Tests of the system under faults: randomised simulations, and real processes behind the fault
//! proxy.

mod daemon;
mod explore;
mod host;
mod journal;
mod ownership_check;
mod runs;
mod soak;
