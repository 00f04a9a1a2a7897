//! Faults of a simulation.

use foxtaildrift::version::domain_state::DomainState;
use rand::RngExt;

use crate::explore::simulation::{MILLI, Simulation, Time};
use crate::explore::tamper::Tamper;

/// The longest time between two faults.
const FAULT_INTERVAL_MAX: Time = 1200 * MILLI;
/// The longest pause of a process.
const PAUSE_MAX: Time = 6000 * MILLI;

/// How long the witness schedule isolates an owner: longer than a lease.
const OWNER_CUT_TIME: Time = 3000 * MILLI;
/// How long the platform stays down after the owner is reconnected.
const OWNER_RETURN_TIME: Time = 2500 * MILLI;
/// How long the cell may recover before the next round of the witness schedule.
const CELL_RECOVERY_TIME: Time = 6000 * MILLI;

/// Injects randomly chosen faults.
pub struct FaultInjector;

impl FaultInjector {
    /// Injects one fault, or repairs some, and returns the time until the next fault.
    pub fn inject_fault(simulation: &mut Simulation) -> Time {
        let node = simulation.rng.random_range(0..simulation.nodes.len());
        if simulation.tamper == Tamper::ForgetfulWitness {
            return Self::step_witness_schedule(simulation, node);
        }
        match simulation.rng.random_range(0..20) {
            0..=2 => Self::isolate(simulation, node),
            3 => Self::cut_one_way(simulation, node),
            4 => Self::partition_domain(simulation),
            5..=7 => simulation.network.cut_links.clear(),
            8..=9 => {
                let pause = simulation.rng.random_range(100 * MILLI..PAUSE_MAX);
                simulation.nodes[node].paused_until = simulation.now + pause;
            }
            10 => simulation.stop_node(node),
            11 => simulation.restart_node(node),
            12 => Self::start_stopped_nodes(simulation),
            13 => simulation.platform.is_up = !simulation.platform.is_up,
            14 => {
                simulation.nodes[node].platform_link_up = !simulation.nodes[node].platform_link_up;
                simulation.platform.loses_replies = simulation.rng.random_ratio(1, 2);
            }
            15 => simulation.begin_resignation(node),
            16..=17 => Self::change_document(simulation),
            18 => Self::toggle_upstream(simulation, node),
            _ => {
                simulation.network.datagram_loss_one_in =
                    [0, 3, 10][simulation.rng.random_range(0..3)]
            }
        }
        simulation.rng.random_range(10 * MILLI..FAULT_INTERVAL_MAX)
    }

    /// Performs the next step of a schedule that provokes failures after witnesses lose their
    /// state, which random faults rarely do. While the platform is down, so that no newer table
    /// arrives, an owner is isolated for longer than a lease; then most other daemons restart, and
    /// the owner is reconnected.
    fn step_witness_schedule(simulation: &mut Simulation, node: usize) -> Time {
        simulation.witness_schedule_step = (simulation.witness_schedule_step + 1) % 3;
        match simulation.witness_schedule_step {
            1 => {
                simulation.platform.is_up = false;
                Self::isolate(simulation, node);
                simulation.isolated_owner = node;
                OWNER_CUT_TIME
            }
            2 => {
                let kept = (simulation.isolated_owner + 1) % simulation.nodes.len();
                let others = (0..simulation.nodes.len())
                    .filter(|&n| n != simulation.isolated_owner && n != kept);
                for witness in others.collect::<Vec<_>>() {
                    simulation.restart_node(witness);
                }
                simulation.network.cut_links.clear();
                OWNER_RETURN_TIME
            }
            _ => {
                simulation.platform.is_up = true;
                CELL_RECOVERY_TIME
            }
        }
    }

    /// Repairs all faults.
    pub fn repair_all(simulation: &mut Simulation) {
        simulation.network.cut_links.clear();
        simulation.network.datagram_loss_one_in = 0;
        simulation.platform.is_up = true;
        simulation.platform.loses_replies = false;
        for number in 0..simulation.nodes.len() {
            simulation.nodes[number].paused_until = simulation.now;
            simulation.nodes[number].platform_link_up = true;
        }
        Self::start_stopped_nodes(simulation);
        simulation.platform.document.domains.clear();
        simulation.platform.increment_document_version();
        for number in 0..simulation.nodes.len() {
            Self::set_upstream(simulation, number, true);
        }
    }

    fn isolate(simulation: &mut Simulation, node: usize) {
        for other in (0..simulation.nodes.len()).filter(|&o| o != node) {
            simulation.network.cut_links.insert((node, other));
            simulation.network.cut_links.insert((other, node));
        }
    }

    /// Blocks either all incoming or all outgoing datagrams of a daemon.
    fn cut_one_way(simulation: &mut Simulation, node: usize) {
        let outward = simulation.rng.random_ratio(1, 2);
        for other in (0..simulation.nodes.len()).filter(|&o| o != node) {
            simulation.network.cut_links.insert(if outward {
                (node, other)
            } else {
                (other, node)
            });
        }
    }

    /// Partitions one failure domain from the others.
    fn partition_domain(simulation: &mut Simulation) {
        let domain =
            simulation.nodes[simulation.rng.random_range(0..simulation.nodes.len())].domain;
        let is_inside = |s: &Simulation, n: usize| s.nodes[n].domain == domain;
        for a in 0..simulation.nodes.len() {
            for b in 0..simulation.nodes.len() {
                if is_inside(simulation, a) != is_inside(simulation, b) {
                    simulation.network.cut_links.insert((a, b));
                }
            }
        }
    }

    fn start_stopped_nodes(simulation: &mut Simulation) {
        for number in 0..simulation.nodes.len() {
            if simulation.nodes[number].ownership.is_none() {
                simulation.start_node(number);
            }
        }
    }

    /// Drains or undrains a failure domain in a new document version.
    fn change_document(simulation: &mut Simulation) {
        let domain =
            simulation.nodes[simulation.rng.random_range(0..simulation.nodes.len())].domain;
        let name = format!("domain-{domain}").parse().expect("valid name");
        let drain = simulation.rng.random_ratio(1, 2);
        let state = if drain {
            DomainState::Out
        } else {
            DomainState::In
        };
        simulation.platform.document.domains.insert(name, state);
        simulation.platform.increment_document_version();
    }

    fn toggle_upstream(simulation: &mut Simulation, node: usize) {
        let Some(ownership) = &simulation.nodes[node].ownership else {
            return;
        };
        let up = ownership.info().weight > 0;
        Self::set_upstream(simulation, node, !up);
    }

    /// Sets whether a daemon can take slices, through its member weight.
    fn set_upstream(simulation: &mut Simulation, node: usize, up: bool) {
        let weight = if up {
            foxtaildrift::version::member::WEIGHT_FULL
        } else {
            0
        };
        simulation.with_ownership(node, |o, now| {
            if o.info().weight != weight {
                o.update_info(now, |info| info.weight = weight);
            }
        });
    }
}
