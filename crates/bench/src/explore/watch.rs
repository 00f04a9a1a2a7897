//! The invariants of a randomised run.

use std::collections::BTreeMap;

use foxtaildrift::version::fencing_token::FencingToken;
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::slice_id::SliceId;

use crate::explore::node::Node;
use crate::explore::world::Time;

/// What was seen of each slice so far.
#[derive(Debug, Default)]
pub struct Watch {
    highest: BTreeMap<SliceId, (FencingToken, usize)>,
    /// How many times a slice changed hands.
    pub takeovers: u64,
}

impl Watch {
    /// Checks all invariants at one time.
    ///
    /// # Errors
    ///
    /// Returns the invariant that is broken.
    pub fn check(
        &mut self,
        at: Time,
        nodes: &mut [Node],
        service: &ServiceName,
        slices: u64,
    ) -> Result<(), String> {
        self.check_versions(nodes)?;
        for slice in (0..slices).map(SliceId) {
            let mut holder: Option<usize> = None;
            for (number, node) in nodes.iter_mut().enumerate() {
                let now = node.clock.read(at);
                let Some(ownership) = &node.ownership else {
                    continue;
                };
                let serving = ownership.permit_for_slice(now, service, slice).ok();
                node.working.retain(|_, until| *until > now);
                if serving.is_none() && !node.working.contains_key(&slice) {
                    continue;
                }
                if let Some(other) = holder {
                    return Err(format!("slice {slice} at {at}: nodes {other} and {number}"));
                }
                holder = Some(number);
                if let Some(serving) = serving {
                    self.check_token(slice, serving.token, number)?;
                }
            }
        }
        Ok(())
    }

    fn check_token(
        &mut self,
        slice: SliceId,
        token: FencingToken,
        by: usize,
    ) -> Result<(), String> {
        if let Some((highest, holder)) = self.highest.get(&slice) {
            if token < *highest || (token == *highest && by != *holder) {
                return Err(format!(
                    "slice {slice}: token {token} of node {by} after {highest} of node {holder}"
                ));
            }
            self.takeovers += u64::from(by != *holder);
        }
        self.highest.insert(slice, (token, by));
        Ok(())
    }

    fn check_versions(&self, nodes: &mut [Node]) -> Result<(), String> {
        for (number, node) in nodes.iter_mut().enumerate() {
            let Some(ownership) = &node.ownership else {
                continue;
            };
            let seen = (ownership.table().epoch, ownership.document_version());
            if seen.0 < node.seen.0 || seen.1 < node.seen.1 {
                return Err(format!(
                    "node {number}: a version fell: {:?} to {seen:?}",
                    node.seen
                ));
            }
            node.seen = seen;
        }
        Ok(())
    }
}
