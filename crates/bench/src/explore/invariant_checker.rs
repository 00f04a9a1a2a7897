//! The safety invariants of a simulation.

use std::collections::BTreeMap;

use foxtaildrift::version::fencing_token::FencingToken;
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::slice_id::SliceId;

use crate::explore::node::Node;
use crate::explore::simulation::Time;

/// Checks the invariants after each event and keeps the highest fencing token of each slice.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    highest_tokens: BTreeMap<SliceId, (FencingToken, usize)>,
    /// How many times a slice got a new owner.
    pub takeovers: u64,
}

impl InvariantChecker {
    /// Checks all invariants at the virtual time `at`.
    ///
    /// # Errors
    ///
    /// Returns a description of the broken invariant.
    pub fn check(
        &mut self,
        at: Time,
        nodes: &mut [Node],
        service: &ServiceName,
        slices: u64,
    ) -> Result<(), String> {
        self.check_versions(nodes)?;
        for slice in (0..slices).map(SliceId) {
            let mut owner: Option<usize> = None;
            for (number, node) in nodes.iter_mut().enumerate() {
                let now = node.clock.read(at);
                let Some(ownership) = &node.ownership else {
                    continue;
                };
                let permit = ownership.permit_for_slice(now, service, slice).ok();
                let permit = permit.filter(|_| !node.is_resigning);
                node.unfinished_work.retain(|w| w.ends_at > now);
                let mut work = node.unfinished_work.iter();
                if permit.is_none() && !work.any(|w| w.slice == slice) {
                    continue;
                }
                if let Some(other) = owner {
                    return Err(format!("slice {slice} at {at}: nodes {other} and {number}"));
                }
                owner = Some(number);
                if let Some(permit) = permit {
                    self.check_fencing_token(slice, permit.token, number)?;
                }
            }
        }
        Ok(())
    }

    fn check_fencing_token(
        &mut self,
        slice: SliceId,
        token: FencingToken,
        number: usize,
    ) -> Result<(), String> {
        if let Some((highest, owner)) = self.highest_tokens.get(&slice) {
            if token < *highest || (token == *highest && number != *owner) {
                return Err(format!(
                    "slice {slice}: token {token} of node {number} after {highest} of node {owner}"
                ));
            }
            self.takeovers += u64::from(number != *owner);
        }
        self.highest_tokens.insert(slice, (token, number));
        Ok(())
    }

    fn check_versions(&self, nodes: &mut [Node]) -> Result<(), String> {
        for (number, node) in nodes.iter_mut().enumerate() {
            let Some(ownership) = &node.ownership else {
                continue;
            };
            let versions = (ownership.table().epoch, ownership.document_version());
            if versions.0 < node.last_versions.0 || versions.1 < node.last_versions.1 {
                return Err(format!(
                    "node {number}: a version fell: {:?} to {versions:?}",
                    node.last_versions
                ));
            }
            node.last_versions = versions;
        }
        Ok(())
    }
}
