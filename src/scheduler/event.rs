//! Input events of the scheduling core, passed by the control process.

use serde::{Deserialize, Serialize};

use super::document::Guarantees;
use super::job::JobSpec;
use crate::names::{JobName, RackName, UpstreamName};

/// Identity of one placement of a job; never reused in a data centre.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    derive_more::Display,
    Serialize,
    Deserialize,
)]
pub struct GangId(pub u64);

/// Rack position and size of an upstream, as announced by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Number that increases with each start of the upstream.
    pub incarnation: u64,
    /// Rack in which the upstream is mounted.
    pub rack: RackName,
    /// Position in the rack, counted from 0; neighbours differ by one.
    pub position: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether this incarnation is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// How a member of a gang ended without being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberEnd {
    /// The member finished its work.
    Completed,
    /// The member failed.
    Failed,
}

/// State of a member, as reported in the answer to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStatus {
    /// The member runs and accepted the new lease.
    Running,
    /// The member finished its work. Reported until the gang is stopped, so that the loss of one
    /// [`Event::MemberEnded`] does not hide the end.
    Completed,
    /// The member failed.
    Failed,
    /// The upstream has no running member of the gang.
    Absent,
}

/// State that a member had reached when it was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopStatus {
    /// The member never started and never will.
    NotStarted,
    /// The member had started and was stopped.
    Stopped,
    /// The member had completed its work before the stop arrived.
    Completed,
}

/// Input of [`super::Scheduler::step`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An upstream announced itself for the first time, again, or with changes.
    UpstreamAnnounced(Announcement),
    /// The lease of an upstream ended.
    UpstreamLost {
        /// Upstream that was lost.
        upstream: UpstreamName,
    },
    /// An upstream is leaving and takes no new work.
    UpstreamLeaving {
        /// Upstream that leaves.
        upstream: UpstreamName,
        /// Incarnation that leaves; announcements of older ones are ignored.
        incarnation: u64,
    },
    /// A caller submitted a job.
    JobSubmitted(JobSpec),
    /// A caller cancelled a job.
    JobCancelled {
        /// Job to cancel.
        job: JobName,
    },
    /// A member answered a stage message.
    StageAnswered {
        /// Gang of the member.
        gang: GangId,
        /// Upstream of the member.
        upstream: UpstreamName,
        /// False if the upstream refused, so that the member is certainly not staged.
        staged: bool,
    },
    /// A member answered a commit message.
    CommitAnswered {
        /// Gang of the member.
        gang: GangId,
        /// Upstream of the member.
        upstream: UpstreamName,
        /// Incarnation that answered; one later than the member's cannot know about its work.
        incarnation: u64,
        /// False if the upstream refused, so that the member certainly does no work.
        started: bool,
    },
    /// An upstream answered a renewal message.
    RenewAnswered {
        /// Upstream that answered.
        upstream: UpstreamName,
        /// Round of the message that is answered.
        round: u64,
        /// State of the member of each gang of the message.
        members: Vec<(GangId, MemberStatus)>,
    },
    /// A member answered a stop message and has certainly ended.
    StopAnswered {
        /// Gang of the member.
        gang: GangId,
        /// Upstream of the member.
        upstream: UpstreamName,
        /// Incarnation that answered; one later than the member's cannot know about its work.
        incarnation: u64,
        /// What the member had done before it stopped.
        status: StopStatus,
    },
    /// A member ended without being stopped.
    MemberEnded {
        /// Gang of the member.
        gang: GangId,
        /// Upstream of the member.
        upstream: UpstreamName,
        /// How it ended.
        end: MemberEnd,
    },
    /// An upstream reported the accelerator time used by a running member.
    UsageReported {
        /// Gang of the member.
        gang: GangId,
        /// Number of the report; a repeated or older one is ignored.
        sequence: u64,
        /// Accelerator time used so far, in milliseconds.
        used_ms: u64,
    },
    /// An upstream in quarantine answered a probe.
    ProbeAnswered {
        /// Upstream that answered.
        upstream: UpstreamName,
        /// Whether the upstream can run work.
        healthy: bool,
    },
    /// A service document is to be applied.
    DocumentApplied(Guarantees),
    /// Time has passed.
    Tick,
}
