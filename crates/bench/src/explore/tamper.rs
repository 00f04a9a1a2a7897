//! Disables a safety rule in a simulation, to show that the checks detect its absence.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use foxtaildrift::version::table::Table;

/// The safety rule that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tamper {
    /// All rules are in force.
    None,
    /// A slice move waits only for the former first candidate, not for all former candidates.
    FirstFormerCandidateOnly,
    /// A slice move waits for no former candidate.
    NoFormerCandidates,
    /// A successor treats the session of a preceding candidate as ended without proof.
    SkippedProof,
    /// A witness set is replaced in a single step.
    WitnessesInOneStep,
    /// A witness set is replaced before the session has proved that it is live under both sets.
    UnconfirmedWitnesses,
    /// A witness loses its state in a restart but keeps its identity.
    ForgetfulWitness,
    /// A witness grants a lease to a session although it stated that the session ended.
    GrantAfterEnd,
    /// A daemon announces the release of slices while its work on them continues.
    EarlyRelease,
    /// A daemon announces the epoch for which a release was scheduled when that release ends, although
    /// another one may have its slices.
    ReleaseAnnouncedByNumber,
    /// A daemon resigns its session while work under it continues.
    EarlyResignation,
}

/// All values with their names on the command line.
const NAMES: [(Tamper, &str); 11] = [
    (Tamper::None, "none"),
    (Tamper::FirstFormerCandidateOnly, "leaving-first-only"),
    (Tamper::NoFormerCandidates, "leaving-nobody"),
    (Tamper::SkippedProof, "skipped-proof"),
    (Tamper::WitnessesInOneStep, "witnesses-at-once"),
    (Tamper::UnconfirmedWitnesses, "unsettled-witnesses"),
    (Tamper::ForgetfulWitness, "forgetful-witness"),
    (Tamper::GrantAfterEnd, "grant-after-end"),
    (Tamper::EarlyRelease, "early-let-go"),
    (Tamper::ReleaseAnnouncedByNumber, "release-by-number"),
    (Tamper::EarlyResignation, "early-resignation"),
];

impl Tamper {
    /// Returns all rules that can be disabled.
    pub fn all() -> impl Iterator<Item = Tamper> {
        NAMES.iter().map(|(t, _)| *t).filter(|t| *t != Tamper::None)
    }

    /// Returns `table`, the successor of `before`, as a planner without the rule would write it.
    pub fn modify_table(self, before: &Table, mut table: Table) -> Table {
        match self {
            Tamper::FirstFormerCandidateOnly | Tamper::NoFormerCandidates => {
                self.drop_former_candidates(before, &mut table);
            }
            Tamper::WitnessesInOneStep => {
                for member in table.members.values_mut() {
                    let surplus = member.witnesses.len().saturating_sub(1);
                    member.witnesses.drain(..surplus);
                }
            }
            Tamper::UnconfirmedWitnesses => {
                for member in table
                    .members
                    .values_mut()
                    .filter(|m| m.witnesses_confirming)
                {
                    member.witnesses_confirming = false;
                    member.witnesses.remove(0);
                }
            }
            _ => {}
        }
        table
    }

    /// Removes the former candidates that the rule would have kept.
    fn drop_former_candidates(self, before: &Table, table: &mut Table) {
        for (name, service) in &mut table.services {
            let slices = service.slices.iter_mut().enumerate();
            for (number, assignment) in slices {
                let former = before.services.get(name).and_then(|s| s.slices.get(number));
                let first = former.and_then(|a| a.candidates.first().copied());
                let keep_first = self == Tamper::FirstFormerCandidateOnly;
                assignment
                    .former_candidates
                    .retain(|s, _| keep_first && Some(*s) == first);
            }
        }
    }
}

impl fmt::Display for Tamper {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = NAMES.iter().find(|(t, _)| t == self);
        f.write_str(found.map_or("none", |(_, name)| name))
    }
}

impl FromStr for Tamper {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let by_name: BTreeMap<&str, Tamper> = NAMES.iter().map(|(t, n)| (*n, *t)).collect();
        let names: Vec<&str> = by_name.keys().copied().collect();
        let known = by_name.get(text).copied();
        known.ok_or_else(|| format!("`{text}` is none of {}", names.join(", ")))
    }
}
