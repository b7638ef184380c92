//! Reads a service document.

use marked_yaml::Node;
use smallvec::SmallVec;

use super::entry::check_duplicate;
use super::section::{Located, Section, boolean, integer, name, number};
use super::settings::{
    JobShape, Organisation, ServiceDocument, default_batch_wait_max_ms,
    default_interactive_wait_max_ms, default_queue_max,
};
use crate::names::{OrganisationName, ShapeName};

/// Default of `batch_queue_max`.
const BATCH_QUEUE_MAX_DEFAULT: u32 = 1_024;

/// Largest accepted queue length at one entry host.
const QUEUE_LENGTH_LIMIT: u64 = 65_536;

/// Longest accepted waiting time.
const WAIT_LIMIT_MS: u64 = 3_600_000;

/// Largest accepted weight; only the ratio of the two weights matters.
const WEIGHT_MAX: f64 = 1_000.0;

/// Accelerators of one worker; larger blocks consist of whole workers.
const WORKER_ACCELERATORS: u32 = 8;

/// Accelerators of one rack, the largest block.
const RACK_ACCELERATORS: u32 = 64;

pub(super) fn read(root: &Section<'_>) -> Option<ServiceDocument> {
    let service = root.required("service", name);
    let organisations = read_organisations(root);
    let queue = |key, default| root.optional(key, default, integer(0..=QUEUE_LENGTH_LIMIT));
    let interactive_queue = queue("interactive_queue_max", default_queue_max());
    let batch_queue = queue("batch_queue_max", BATCH_QUEUE_MAX_DEFAULT);
    let wait = |key, default| root.optional(key, default, integer(0..=WAIT_LIMIT_MS));
    let interactive_wait = wait("interactive_wait_max_ms", default_interactive_wait_max_ms());
    let batch_wait = wait("batch_wait_max_ms", default_batch_wait_max_ms());
    let completion = root.required("completion_weight", number(0.0..=WEIGHT_MAX));
    let fragmentation = root.required("fragmentation_weight", number(0.0..=WEIGHT_MAX));
    check_weights(root, completion.as_ref(), fragmentation.as_ref());
    let job_shapes = read_shapes(root);
    Some(ServiceDocument {
        service: service?.value,
        organisations: organisations?,
        interactive_queue_max: interactive_queue?.value,
        interactive_wait_max_ms: interactive_wait?.value,
        batch_queue_max: batch_queue?.value,
        batch_wait_max_ms: batch_wait?.value,
        completion_weight: completion?.value,
        fragmentation_weight: fragmentation?.value,
        job_shapes: job_shapes?,
    })
}

fn check_weights(
    root: &Section<'_>,
    completion: Option<&Located<f64>>,
    fragmentation: Option<&Located<f64>>,
) {
    let (Some(completion), Some(fragmentation)) = (completion, fragmentation) else { return };
    if completion.value <= 0.0 && fragmentation.value <= 0.0 {
        let message = format!(
            "{} and {} are both 0, so no placement is better than another",
            completion.describe(),
            fragmentation.describe()
        );
        root.fault_at(completion, message);
    }
}

fn read_organisations(root: &Section<'_>) -> Option<Vec<Organisation>> {
    let sections = root.sections("organisations", false)?;
    if sections.is_empty() {
        root.fault(root.position(), root.path_of("organisations"), "the list is empty");
    }
    let mut seen: Vec<Located<OrganisationName>> = Vec::new();
    let read: Vec<_> =
        sections.into_iter().map(|section| read_organisation(section, &mut seen)).collect();
    read.into_iter().collect()
}

fn read_organisation(
    section: Section<'_>,
    seen: &mut Vec<Located<OrganisationName>>,
) -> Option<Organisation> {
    let name = section.required("name", name);
    let concurrency = section.required("concurrency_max", integer(1..=65_536));
    let rate = section.required("requests_per_s", integer(1..=1_000_000));
    let blocks = section.list("guaranteed_blocks", true, read_block);
    if let Some(name) = &name {
        check_duplicate(&section, seen, name);
    }
    section.finish();
    let blocks: SmallVec<_> = blocks?.into_iter().map(|block| block.value).collect();
    Some(Organisation {
        name: name?.value,
        concurrency_max: concurrency?.value,
        requests_per_s: rate?.value,
        guaranteed_blocks: blocks,
    })
}

fn read_shapes(root: &Section<'_>) -> Option<Vec<JobShape>> {
    let mut seen: Vec<Located<ShapeName>> = Vec::new();
    let read: Vec<_> = root
        .sections("job_shapes", true)?
        .into_iter()
        .map(|section| read_shape(section, &mut seen))
        .collect();
    read.into_iter().collect()
}

fn read_shape(section: Section<'_>, seen: &mut Vec<Located<ShapeName>>) -> Option<JobShape> {
    let name = section.required("name", name);
    let accelerators = section.required("accelerators", read_accelerators);
    let may_wait = section.optional("may_wait", true, boolean);
    let can_checkpoint = section.optional("can_checkpoint", false, boolean);
    let can_stop = section.optional("can_stop", false, boolean);
    if let Some(name) = &name {
        check_duplicate(&section, seen, name);
    }
    section.finish();
    Some(JobShape {
        name: name?.value,
        accelerators: accelerators?.value,
        may_wait: may_wait?.value,
        can_checkpoint: can_checkpoint?.value,
        can_stop: can_stop?.value,
    })
}

fn fills_whole_workers(count: u32) -> bool {
    count <= RACK_ACCELERATORS && count > 0 && count.is_multiple_of(WORKER_ACCELERATORS)
}

fn read_block(node: &Node) -> Result<u32, String> {
    let count: u32 = integer(0..=u64::from(u32::MAX))(node)?;
    if fills_whole_workers(count) || (count < WORKER_ACCELERATORS && count.is_power_of_two()) {
        return Ok(count);
    }
    Err(format!(
        "a block of {count} cannot be guaranteed; use 1, 2, 4, 8 or a multiple of 8 up to 64"
    ))
}

fn read_accelerators(node: &Node) -> Result<u32, String> {
    let count: u32 = integer(0..=u64::from(u32::MAX))(node)?;
    if fills_whole_workers(count) || (1..WORKER_ACCELERATORS).contains(&count) {
        return Ok(count);
    }
    Err(format!("a job cannot use {count} accelerators; use 1 to 8 or a multiple of 8 up to 64"))
}
