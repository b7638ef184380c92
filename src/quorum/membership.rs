//! Members of the quorum.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Identity of a host's disk; a host that lost its disk returns with a new identity.
pub(crate) type MemberId = u64;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) id: MemberId,
    /// Address of its listener for other hosts of the system.
    pub(crate) address: String,
    /// Whether the member counts towards a quorum; learners only receive the log.
    pub(crate) voter: bool,
}

/// All members, ordered by identity.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Membership {
    pub(crate) members: Vec<Member>,
}

impl Membership {
    /// Builds a membership of voters.
    pub(crate) fn of_voters(voters: impl IntoIterator<Item = (MemberId, String)>) -> Self {
        let voter = |(id, address)| Member { id, address, voter: true };
        let mut members: Vec<_> = voters.into_iter().map(voter).collect();
        members.sort_by_key(|member| member.id);
        Self { members }
    }

    pub(crate) fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    pub(crate) fn is_voter(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    pub(crate) fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|member| member.voter).map(|member| member.id)
    }

    /// Returns the number of voters that form a quorum.
    pub(crate) fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters among `ids` form a quorum.
    pub(crate) fn has_quorum(&self, ids: &[MemberId]) -> bool {
        self.voters().filter(|id| ids.contains(id)).count() >= self.quorum()
    }

    /// Returns the largest value that at least a quorum of voters has reached.
    pub(crate) fn reached_by_quorum(&self, value_of: impl Fn(MemberId) -> u64) -> u64 {
        let mut values: SmallVec<[u64; 8]> = self.voters().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Returns this membership without a member.
    pub(crate) fn without(&self, id: MemberId) -> Self {
        let members = self.members.iter().filter(|member| member.id != id).cloned().collect();
        Self { members }
    }

    /// Returns this membership with a member added or replaced.
    pub(crate) fn with(&self, member: Member) -> Self {
        let mut next = self.without(member.id);
        next.members.push(member);
        next.members.sort_by_key(|member| member.id);
        next
    }
}
