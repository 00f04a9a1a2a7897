//! The scheduled events of a simulation, in the order of their times.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use crate::explore::event::Event;
use crate::explore::simulation::Time;

/// The scheduled events; those of the same time keep the order in which they were scheduled.
#[derive(Default)]
pub struct EventQueue {
    order: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    last_id: u64,
}

impl EventQueue {
    /// Schedules `event` at the virtual time `at`.
    pub fn push(&mut self, at: Time, event: Event) {
        self.last_id += 1;
        self.events.insert(self.last_id, event);
        self.order.push(Reverse((at, self.last_id)));
    }

    /// Removes and returns the next event with its time, or `None` if there is none.
    pub fn pop(&mut self) -> Option<(Time, Event)> {
        let Reverse((at, id)) = self.order.pop()?;
        let event = self.events.remove(&id)?;
        Some((at, event))
    }
}
