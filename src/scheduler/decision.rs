//! Output of the scheduling core, carried out by the control process.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Mask;
use super::crashes::JobCrashes;
use super::document::Guarantees;
use super::event::GangId;
use super::job::{JobEnd, JobSpec, Ran};
use super::organisation::{GuaranteeId, OrganisationsRecord};
use crate::crashes::{CrashedRun, LostUpstream};
use crate::names::{JobName, OrganisationName, RackName, ServiceName, UpstreamName};

/// Entry of one gang in a renewal message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Gang that is renewed.
    pub gang: GangId,
    /// Lease from receipt; 0 only queries the state of the member and keeps its lease.
    pub lease_ms: u64,
}

/// Part of a gang or of a guaranteed block on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Upstream of the member.
    pub upstream: UpstreamName,
    /// Incarnation of the upstream at the time of placement.
    pub incarnation: u64,
    /// Rack of the upstream.
    pub rack: RackName,
    /// Position in the rack.
    pub position: u32,
    /// Number of accelerators of the upstream.
    pub accelerators: u32,
    /// Accelerators of the member, one bit each.
    pub mask: Mask,
}

/// A change that must survive a restart.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// A job was accepted.
    Accepted {
        /// Job as submitted.
        spec: JobSpec,
        /// Time of acceptance.
        at_ms: u64,
    },
    /// A caller asked to cancel a job.
    Cancelled {
        /// Job to cancel.
        job: JobName,
    },
    /// A gang was placed; messages to its members are sent only after this record.
    Placed {
        /// Job of the gang.
        job: JobName,
        /// Identity of the gang.
        gang: GangId,
        /// Members of the gang.
        members: SmallVec<[MemberRecord; 1]>,
    },
    /// The commit of a gang is about to be sent.
    Committed {
        /// Gang that may have worked from this record on.
        gang: GangId,
    },
    /// Every member of a gang has certainly ended.
    Released {
        /// Gang that has ended.
        gang: GangId,
    },
    /// A job ended.
    Ended {
        /// Job that ended.
        job: JobName,
        /// How it ended.
        end: JobEnd,
    },
    /// Accelerators were reserved for a guaranteed block.
    #[serde(rename = "Home")]
    Reserved {
        /// Guaranteed block.
        #[serde(rename = "cell")]
        guarantee: GuaranteeId,
        /// Accelerators of the block; empty if none are left.
        members: SmallVec<[MemberRecord; 1]>,
    },
    /// State of all guarantees, which replaces earlier documents; part of a snapshot.
    Organisations(OrganisationsRecord),
    /// Whether earlier gangs of a job have worked; part of a snapshot.
    History {
        /// Job with earlier gangs.
        job: JobName,
        /// Whether one of them has worked.
        ran: Ran,
    },
    /// Lowest identity that the next gang may get; part of a snapshot.
    NextGang(GangId),
    /// The guarantees of a service document took effect.
    Guarantees(Guarantees),
    /// An upstream crashed or was lost under jobs.
    Crashed {
        /// Upstream that crashed.
        upstream: LostUpstream,
        /// Runs of jobs that it may have had.
        runs: Vec<CrashedRun<JobName>>,
        /// When this was recorded.
        at_ms: u64,
    },
    /// Crashes of upstreams under the jobs that are kept; part of a snapshot.
    Crashes(JobCrashes),
}

/// Output of [`super::Scheduler::step`].
///
/// The control process makes every [`Decision::Persist`] of a step durable before it carries out
/// any other decision of that step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// Write a record durably.
    Persist(JobRecord),
    /// Reserve accelerators on an upstream without starting work.
    Stage {
        /// Gang of the member.
        gang: GangId,
        /// Job of the gang.
        job: JobName,
        /// Upstream of the member.
        upstream: UpstreamName,
        /// Accelerators of the member, one bit each.
        mask: Mask,
        /// Time after which the upstream drops the member unless it was committed.
        hold_ms: u64,
    },
    /// Start a staged member under the start lease.
    Commit {
        /// Gang of the member.
        gang: GangId,
        /// Upstream of the member.
        upstream: UpstreamName,
        /// Length of the lease, counted from receipt.
        lease_ms: u64,
    },
    /// Renew the leases of all listed gangs on one upstream.
    Renew {
        /// Upstream of the members.
        upstream: UpstreamName,
        /// Number of the round, which the answer repeats.
        round: u64,
        /// Gangs to renew.
        gangs: Vec<Renewal>,
    },
    /// Ask a member to write a checkpoint.
    Checkpoint {
        /// Gang of the member.
        gang: GangId,
        /// Upstream of the member.
        upstream: UpstreamName,
    },
    /// Stop a member, whether staged or running; a stop that arrives before the stage or commit
    /// message of its gang makes the upstream refuse that message.
    Stop {
        /// Gang of the member.
        gang: GangId,
        /// Upstream of the member.
        upstream: UpstreamName,
    },
    /// Ask an upstream in quarantine whether it can run work.
    Probe {
        /// Upstream to ask.
        upstream: UpstreamName,
    },
    /// The job was accepted, or was accepted before with the same content.
    JobAccepted {
        /// Job that was accepted.
        job: JobName,
    },
    /// The submission was refused and the job never runs.
    JobRefused {
        /// Job that was refused.
        job: JobName,
        /// Constraint that is not met.
        reason: String,
    },
    /// The job ended; reported once for each job.
    JobEnded {
        /// Job that ended.
        job: JobName,
        /// How it ended.
        end: JobEnd,
    },
    /// A guaranteed block cannot be provided at present.
    GuaranteeAtRisk {
        /// Organisation that holds the guarantee.
        organisation: OrganisationName,
        /// Size of the block.
        accelerators: u32,
        /// Why the block cannot be provided.
        reason: String,
    },
    /// A service document was refused and the earlier one stays in force.
    DocumentRefused {
        /// Service of the document.
        service: ServiceName,
        /// Version of the document.
        version: u64,
        /// Guarantee that does not fit.
        reason: String,
    },
}
