//! Orders the queued requests of equal priority fairly over teams, by start-time fair queueing.
//! Performs no I/O and needs no time.
//!
//! Handles the load of a team that queues more requests at a full upstream than all others
//! together: each team with queued requests gets the same number of starts. A request gets a start
//! tag when it arrives: the virtual time, or the tag after the team's latest request if that is
//! later. Requests start in the order of their tags, and the virtual time is the highest tag that
//! has started. The state of a priority is dropped whenever none of its requests is queued, so there
//! is state for at most the teams of the routing.

use std::collections::{BTreeMap, HashMap};

use crate::version::team_name::TeamName;

/// Position of a request among those of its priority, in virtual time; lower ones start first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartTag(pub u64);

/// Virtual time of one priority.
#[derive(Debug, Default)]
struct PriorityClass {
    queued: usize,
    virtual_time: u64,
    /// Tag after the latest request of each team; requests without a team count as one team.
    next_tags: HashMap<Option<TeamName>, u64>,
}

impl PriorityClass {
    /// Returns whether requests of teams are queued. Without any, all requests get the same tag, so
    /// that other criteria order them.
    fn has_teams(&self) -> bool {
        self.next_tags.keys().any(Option::is_some)
    }
}

/// Start tags of the requests at one upstream.
#[derive(Debug, Default)]
pub struct FairQueue {
    classes: BTreeMap<u8, PriorityClass>,
}

impl FairQueue {
    /// Returns the tag of a request that arrives now. Has no effect until the request is
    /// [added](Self::add).
    pub fn next_tag(&self, priority: u8, team: Option<&TeamName>) -> StartTag {
        let Some(class) = self.classes.get(&priority) else {
            return StartTag::default();
        };
        if team.is_none() && !class.has_teams() {
            return StartTag(class.virtual_time);
        }
        let next_tag = class.next_tags.get(&team.cloned()).copied();
        StartTag(next_tag.unwrap_or_default().max(class.virtual_time))
    }

    /// Records that a request with `tag` was queued.
    pub fn add(&mut self, priority: u8, team: Option<&TeamName>, tag: StartTag) {
        let class = self.classes.entry(priority).or_default();
        class.queued += 1;
        if team.is_some() || class.has_teams() {
            class.next_tags.insert(team.cloned(), tag.0 + 1);
        }
    }

    /// Records that a queued request with `tag` started.
    pub fn start(&mut self, priority: u8, tag: StartTag) {
        if let Some(class) = self.classes.get_mut(&priority) {
            class.virtual_time = class.virtual_time.max(tag.0);
            self.leave(priority);
        }
    }

    /// Records that a queued request left without having started, so that the team's later requests
    /// don't wait for it.
    pub fn remove(&mut self, priority: u8, team: Option<&TeamName>) {
        if let Some(class) = self.classes.get_mut(&priority) {
            if let Some(tag) = class.next_tags.get_mut(&team.cloned()) {
                *tag = tag.saturating_sub(1);
            }
            self.leave(priority);
        }
    }

    /// Returns the number of teams with state.
    pub fn teams(&self) -> usize {
        self.classes.values().map(|c| c.next_tags.len()).sum()
    }

    fn leave(&mut self, priority: u8) {
        if let Some(class) = self.classes.get_mut(&priority) {
            class.queued = class.queued.saturating_sub(1);
            if class.queued == 0 {
                self.classes.remove(&priority);
            }
        }
    }
}
