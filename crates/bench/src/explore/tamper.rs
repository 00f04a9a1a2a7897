//! Takes a rule out of a run from outside, to show that the run would notice.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use foxtaildrift::version::table::Table;

/// The rule that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tamper {
    /// None.
    None,
    /// A move waits only for the former first candidate, not for all of them.
    LeavingFirstOnly,
    /// A move waits for no former candidate.
    LeavingNobody,
    /// A successor takes a candidate before it for ended without a proof.
    SkippedProof,
    /// A witness set is replaced in one step.
    WitnessesAtOnce,
    /// A witness set is replaced without the session having shown that it is live under both.
    UnsettledWitnesses,
    /// A witness restarts, forgets, and counts as the same.
    ForgetfulWitness,
    /// A witness grants a session that it has stated to have ended.
    GrantAfterEnd,
    /// A daemon says that it let go while its work goes on.
    EarlyLetGo,
}

/// All rules that can be taken out, with their names.
const NAMES: [(Tamper, &str); 9] = [
    (Tamper::None, "none"),
    (Tamper::LeavingFirstOnly, "leaving-first-only"),
    (Tamper::LeavingNobody, "leaving-nobody"),
    (Tamper::SkippedProof, "skipped-proof"),
    (Tamper::WitnessesAtOnce, "witnesses-at-once"),
    (Tamper::UnsettledWitnesses, "unsettled-witnesses"),
    (Tamper::ForgetfulWitness, "forgetful-witness"),
    (Tamper::GrantAfterEnd, "grant-after-end"),
    (Tamper::EarlyLetGo, "early-let-go"),
];

impl Tamper {
    /// Returns all rules that can be taken out.
    pub fn all() -> impl Iterator<Item = Tamper> {
        NAMES.iter().map(|(t, _)| *t).filter(|t| *t != Tamper::None)
    }

    /// Returns the table as a planner without the rule would write it after `before`.
    pub fn table(self, before: &Table, mut table: Table) -> Table {
        match self {
            Tamper::LeavingFirstOnly | Tamper::LeavingNobody => {
                self.forget_leaving(before, &mut table);
            }
            Tamper::WitnessesAtOnce => {
                for member in table.members.values_mut() {
                    let surplus = member.witnesses.len().saturating_sub(1);
                    member.witnesses.drain(..surplus);
                }
            }
            Tamper::UnsettledWitnesses => {
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

    fn forget_leaving(self, before: &Table, table: &mut Table) {
        for (name, service) in &mut table.services {
            let numbered = service.slices.iter_mut().enumerate();
            for (number, assignment) in numbered {
                let former = before.services.get(name).and_then(|s| s.slices.get(number));
                let first = former.and_then(|a| a.candidates.first().copied());
                let keep_first = self == Tamper::LeavingFirstOnly;
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
