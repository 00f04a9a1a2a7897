//! The faults of a randomised run.

use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::domain_state::DomainState;
use rand::RngExt;

use crate::explore::tamper::Tamper;
use crate::explore::world::{MILLI, Time, World};

/// The longest time between two faults.
const FAULT_INTERVAL: Time = 1200 * MILLI;
/// The longest pause of a process.
const PAUSE_MAX: Time = 6000 * MILLI;

/// How long the aimed schedule cuts a holder off.
const AIM_CUT: Time = 3000 * MILLI;
/// How long it then lets the platform stay down.
const AIM_RETURN: Time = 2500 * MILLI;
/// How long it lets the cell recover.
const AIM_RECOVERY: Time = 6000 * MILLI;

/// Draws faults.
pub struct Chaos;

impl Chaos {
    /// Brings one fault about, or heals some; returns the time until the next.
    pub fn strike(world: &mut World) -> Time {
        let node = world.rng.random_range(0..world.nodes.len());
        if world.tamper == Tamper::ForgetfulWitness {
            return Self::aim_at_witnesses(world, node);
        }
        match world.rng.random_range(0..20) {
            0..=2 => Self::isolate(world, node),
            3 => Self::cut_one_way(world, node),
            4 => Self::part(world),
            5..=7 => world.cuts.clear(),
            8..=9 => {
                let span = world.rng.random_range(100 * MILLI..PAUSE_MAX);
                world.nodes[node].paused_until = world.now + span;
            }
            10 => world.stop_node(node),
            11 => world.restart_node(node),
            12 => Self::revive(world),
            13 => world.platform_up = !world.platform_up,
            14 => {
                world.nodes[node].sees_platform = !world.nodes[node].sees_platform;
                world.lose_answers = world.rng.random_ratio(1, 2);
            }
            15 => world.with(node, |o, now| o.resign(now)),
            16..=17 => Self::change_document(world),
            18 => Self::toggle_upstream(world, node),
            _ => world.lose_one_in = [0, 3, 10][world.rng.random_range(0..3)],
        }
        world.rng.random_range(10 * MILLI..FAULT_INTERVAL)
    }

    /// Goes through a schedule aimed at what witnesses forget, which matters seldom: while the
    /// platform is down, so that no newer table comes, a holder is cut off for longer than a lease;
    /// then most others restart, and the holder comes back.
    fn aim_at_witnesses(world: &mut World, node: usize) -> Time {
        world.aim_step = (world.aim_step + 1) % 3;
        match world.aim_step {
            1 => {
                world.platform_up = false;
                Self::isolate(world, node);
                world.aim_node = node;
                AIM_CUT
            }
            2 => {
                let spared = (world.aim_node + 1) % world.nodes.len();
                let others = (0..world.nodes.len()).filter(|&n| n != world.aim_node && n != spared);
                for witness in others.collect::<Vec<_>>() {
                    world.restart_node(witness);
                }
                world.cuts.clear();
                AIM_RETURN
            }
            _ => {
                world.platform_up = true;
                AIM_RECOVERY
            }
        }
    }

    /// Ends all faults.
    pub fn heal_all(world: &mut World) {
        world.cuts.clear();
        world.lose_one_in = 0;
        world.platform_up = true;
        world.lose_answers = false;
        for number in 0..world.nodes.len() {
            world.nodes[number].paused_until = world.now;
            world.nodes[number].sees_platform = true;
        }
        Self::revive(world);
        world.document.1.domains.clear();
        world.document.0 = DocumentVersion(world.document.0.0 + 1);
        for number in 0..world.nodes.len() {
            Self::set_upstream(world, number, true);
        }
    }

    fn isolate(world: &mut World, node: usize) {
        for other in (0..world.nodes.len()).filter(|&o| o != node) {
            world.cuts.insert((node, other));
            world.cuts.insert((other, node));
        }
    }

    /// Cuts what goes to, or what comes from, a daemon.
    fn cut_one_way(world: &mut World, node: usize) {
        let outward = world.rng.random_ratio(1, 2);
        for other in (0..world.nodes.len()).filter(|&o| o != node) {
            world.cuts.insert(if outward {
                (node, other)
            } else {
                (other, node)
            });
        }
    }

    /// Parts one failure domain from the rest.
    fn part(world: &mut World) {
        let domain = world.nodes[world.rng.random_range(0..world.nodes.len())].domain;
        let inside = |w: &World, n: usize| w.nodes[n].domain == domain;
        for a in 0..world.nodes.len() {
            for b in 0..world.nodes.len() {
                if inside(world, a) != inside(world, b) {
                    world.cuts.insert((a, b));
                }
            }
        }
    }

    fn revive(world: &mut World) {
        for number in 0..world.nodes.len() {
            if world.nodes[number].ownership.is_none() {
                world.start_node(number);
            }
        }
    }

    /// Takes a failure domain out or brings it back, under a new document version.
    fn change_document(world: &mut World) {
        let domain = world.nodes[world.rng.random_range(0..world.nodes.len())].domain;
        let name = format!("domain-{domain}").parse().expect("a name");
        let out = world.rng.random_ratio(1, 2);
        let state = if out {
            DomainState::Out
        } else {
            DomainState::In
        };
        world.document.1.domains.insert(name, state);
        world.document.0 = DocumentVersion(world.document.0.0 + 1);
    }

    fn toggle_upstream(world: &mut World, node: usize) {
        let Some(ownership) = &world.nodes[node].ownership else {
            return;
        };
        let up = ownership.info().weight > 0;
        Self::set_upstream(world, node, !up);
    }

    /// Lets a daemon want slices, or none.
    fn set_upstream(world: &mut World, node: usize, up: bool) {
        let weight = if up {
            foxtaildrift::version::member::WEIGHT_FULL
        } else {
            0
        };
        world.with(node, |o, now| {
            if o.info().weight != weight {
                o.update_info(now, |info| info.weight = weight);
            }
        });
    }
}
