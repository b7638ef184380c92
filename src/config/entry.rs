//! Reads the settings of an entry host.

use std::net::SocketAddr;

use smallvec::SmallVec;

use super::section::{Located, Section, address, integer, name};
use super::settings::{DataCentrePeers, EntrySettings, Limits, Timeouts};
use super::{ANNOUNCE_INTERVAL_MS, ENTRY_HOSTS_MAX};
use crate::names::DataCentreName;

/// Largest accepted timeout.
const TIMEOUT_MAX_MS: u64 = 3_600_000;

/// Shortest accepted time between failing the health check and closing the listener; a load balancer
/// needs this long to see the failed check.
const BALANCER_NOTICE_MIN_MS: u64 = 1_000;

pub(super) fn read(root: &Section<'_>) -> Option<EntrySettings> {
    let host = root.required("host", name);
    let data_centre = root.required("data_centre", name);
    let caller_address = root.required("caller_address", address);
    let peer_address = root.required("peer_address", address);
    let admin_address = root.required("admin_address", address);
    let control_address = root.required("control_address", address);
    let listeners = [&caller_address, &peer_address, &admin_address];
    check_ports(root, &listeners.map(Option::as_ref));
    check_control_address(root, control_address.as_ref(), &listeners.map(Option::as_ref));
    let data_centres = read_data_centres(root);
    let local_entry_hosts = read_local_host_count(
        root,
        data_centre.as_ref(),
        data_centres.as_deref().unwrap_or_default(),
    );
    let timeouts = read_timeouts(root);
    let limits = read_limits(root);
    Some(EntrySettings {
        host: host?.value,
        data_centre: data_centre?.value,
        caller_address: caller_address?.value,
        peer_address: peer_address?.value,
        admin_address: admin_address?.value,
        control_address: control_address?.value,
        local_entry_hosts: local_entry_hosts?,
        data_centres: data_centres?,
        timeouts: timeouts?,
        limits: limits?,
    })
}

/// Reports two listeners of one host that use the same port.
pub(super) fn check_ports(root: &Section<'_>, listeners: &[Option<&Located<SocketAddr>>]) {
    let listeners: Vec<_> = listeners.iter().flatten().collect();
    for (index, later) in listeners.iter().enumerate() {
        let same_port =
            |earlier: &&&&Located<SocketAddr>| earlier.value.port() == later.value.port();
        if let Some(earlier) = listeners[..index].iter().find(same_port) {
            let port = later.value.port();
            let message = format!("port {port} is used twice, also by {}", earlier.describe());
            root.fault_at(later, message);
        }
    }
}

fn check_control_address(
    root: &Section<'_>,
    control: Option<&Located<SocketAddr>>,
    listeners: &[Option<&Located<SocketAddr>>],
) {
    let Some(control) = control else { return };
    let same_address = |listener: &&&Located<SocketAddr>| listener.value == control.value;
    if let Some(listener) = listeners.iter().flatten().find(same_address) {
        let message = format!("the address of control is this host's own {}", listener.describe());
        root.fault_at(control, message);
    }
}

fn read_data_centres(root: &Section<'_>) -> Option<Vec<DataCentrePeers>> {
    let mut peers = Vec::new();
    let mut names: Vec<Located<DataCentreName>> = Vec::new();
    let mut addresses: Vec<Located<SocketAddr>> = Vec::new();
    let mut complete = true;
    for section in root.sections("data_centres", false)? {
        let name = section.required("name", name);
        let hosts = section.list("entry_addresses", false, address);
        complete &= name.is_some() && hosts.is_some();
        if let Some(name) = &name {
            check_duplicate(root, &mut names, name);
        }
        for host in hosts.iter().flatten() {
            check_duplicate(root, &mut addresses, host);
        }
        if let Some(hosts) = &hosts {
            check_host_count(&section, hosts.len(), "entry_addresses");
        }
        if let (Some(name), Some(hosts)) = (name, hosts) {
            let entry_addresses: SmallVec<_> = hosts.into_iter().map(|host| host.value).collect();
            peers.push(DataCentrePeers { name: name.value, entry_addresses });
        }
        section.finish();
    }
    complete.then_some(peers)
}

/// Reports a value that is already among the earlier ones; otherwise adds it to them.
pub(super) fn check_duplicate<T: PartialEq + Clone + std::fmt::Display>(
    root: &Section<'_>,
    earlier: &mut Vec<Located<T>>,
    value: &Located<T>,
) {
    match earlier.iter().find(|earlier| earlier.value == value.value) {
        Some(first) => {
            root.fault_at(
                value,
                format!("{} is listed twice, see {}", value.value, first.describe()),
            );
        }
        None => earlier.push(value.clone()),
    }
}

/// Reports a list of entry hosts that is empty, or too long for each host to have an upstream slot.
pub(super) fn check_host_count(section: &Section<'_>, count: usize, key: &str) {
    if count == 0 {
        section.fault(section.position(), section.path_of(key), "the list is empty");
    }
    if count > ENTRY_HOSTS_MAX {
        let message = format!(
            "{count} entry hosts are more than the {ENTRY_HOSTS_MAX} slots of an upstream; each \
             host needs one slot of its own"
        );
        section.fault(section.position(), section.path_of(key), message);
    }
}

/// Reads the number of entry hosts in this host's data centre.
///
/// It defaults to the number of addresses listed for the data centre, which it must not contradict.
fn read_local_host_count(
    root: &Section<'_>,
    own: Option<&Located<DataCentreName>>,
    data_centres: &[DataCentrePeers],
) -> Option<u32> {
    let own = own?;
    let listed = data_centres.iter().find(|centre| centre.name == own.value);
    let hosts_max = u64::try_from(ENTRY_HOSTS_MAX).unwrap_or(u64::MAX);
    if listed.is_none() && !data_centres.is_empty() {
        let message = format!("{} is missing from the list data_centres", own.value);
        root.fault_at(own, message);
    }
    let count = listed.map_or(1, |centre| centre.entry_addresses.len());
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let given = root.optional("local_entry_hosts", count, integer(1..=hosts_max))?;
    if listed.is_some() && given.value != count {
        let message = format!(
            "{} hosts contradict the {count} entry_addresses listed for {}",
            given.value, own.value
        );
        root.fault_at(&given, message);
    }
    Some(given.value)
}

fn read_timeouts(root: &Section<'_>) -> Option<Timeouts> {
    let default = Timeouts::default();
    let section = root.section("timeouts");
    let read = |key, default| section.optional(key, default, integer(1..=TIMEOUT_MAX_MS));
    let request = read("request_timeout_ms", default.request_timeout_ms);
    let attempt = read("attempt_timeout_ms", default.attempt_timeout_ms);
    let connect = read("connect_timeout_ms", default.connect_timeout_ms);
    let head = read("head_timeout_ms", default.head_timeout_ms);
    let body = read("body_timeout_ms", default.body_timeout_ms);
    let park = read("park_budget_ms", default.park_budget_ms);
    let age = read("connection_age_ms", default.connection_age_ms);
    let probe = read("idle_probe_ms", default.idle_probe_ms);
    let notice = read("balancer_notice_ms", default.balancer_notice_ms);
    let drain = read("drain_timeout_ms", default.drain_timeout_ms);
    let lease = read("upstream_lease_ms", default.upstream_lease_ms);
    check_attempt_timeout(&section, request.as_ref(), attempt.as_ref(), connect.as_ref());
    check_drain_timeout(&section, request.as_ref(), park.as_ref(), drain.as_ref());
    check_balancer_notice(&section, notice.as_ref());
    check_upstream_lease(&section, lease.as_ref());
    section.finish();
    Some(Timeouts {
        request_timeout_ms: request?.value,
        attempt_timeout_ms: attempt?.value,
        connect_timeout_ms: connect?.value,
        head_timeout_ms: head?.value,
        body_timeout_ms: body?.value,
        park_budget_ms: park?.value,
        connection_age_ms: age?.value,
        idle_probe_ms: probe?.value,
        balancer_notice_ms: notice?.value,
        drain_timeout_ms: drain?.value,
        upstream_lease_ms: lease?.value,
    })
}

/// A duration in milliseconds; `None` if its value is faulty.
type Millis<'a> = Option<&'a Located<u64>>;

fn check_attempt_timeout(section: &Section<'_>, request: Millis, attempt: Millis, connect: Millis) {
    let Some(attempt) = attempt else { return };
    if let Some(request) = request.filter(|request| attempt.value > request.value) {
        report_contradiction(section, attempt, "is longer than", request);
    }
    if let Some(connect) = connect.filter(|connect| connect.value >= attempt.value) {
        report_contradiction(section, connect, "is not shorter than", attempt);
    }
}

fn check_drain_timeout(section: &Section<'_>, request: Millis, park: Millis, drain: Millis) {
    let (Some(request), Some(park)) = (request, park) else { return };
    if park.value > request.value {
        report_contradiction(section, park, "is longer than", request);
    }
    let Some(drain) = drain else { return };
    let needed = request.value.saturating_add(park.value);
    if drain.value < needed {
        let message = format!(
            "{} is shorter than {} and {} together ({needed}), so a shutdown would cut off requests",
            drain.describe(),
            request.describe(),
            park.describe()
        );
        report_at_written_key(section, &[drain, request, park], message);
    }
}

fn check_balancer_notice(section: &Section<'_>, notice: Millis) {
    if let Some(notice) = notice.filter(|notice| notice.value < BALANCER_NOTICE_MIN_MS) {
        let message = format!(
            "{} is shorter than {BALANCER_NOTICE_MIN_MS}, in which a load balancer can see the \
             failed check",
            notice.describe()
        );
        section.fault_at(notice, message);
    }
}

/// Reports a lease so short that a single lost announcement would end it.
pub(super) fn check_upstream_lease(section: &Section<'_>, lease: Millis) {
    let two_intervals = 2 * ANNOUNCE_INTERVAL_MS;
    if let Some(lease) = lease.filter(|lease| lease.value < two_intervals) {
        let message = format!(
            "{} is shorter than two announcement intervals ({two_intervals}), so one lost announcement \
             would end it",
            lease.describe()
        );
        section.fault_at(lease, message);
    }
}

/// Reports that the values of two keys contradict each other.
pub(super) fn report_contradiction(
    section: &Section<'_>,
    first: &Located<u64>,
    relation: &str,
    second: &Located<u64>,
) {
    let message = format!("{} {relation} {}", first.describe(), second.describe());
    report_at_written_key(section, &[first, second], message);
}

/// Reports a fault at the first of the keys that is written in the file; defaults have no line.
fn report_at_written_key(section: &Section<'_>, keys: &[&Located<u64>], message: String) {
    let written = keys.iter().find(|key| key.position.is_some());
    if let Some(key) = written.or(keys.first()) {
        section.fault_at(key, message);
    }
}

fn read_limits(root: &Section<'_>) -> Option<Limits> {
    let default = Limits::default();
    let section = root.section("limits");
    let body = section.optional(
        "body_limit_bytes",
        default.body_limit_bytes,
        integer(1..=64 * 1024 * 1024),
    );
    let connections =
        section.optional("max_connections", default.max_connections, integer(1..=65_536));
    let park = section.optional("park_max", default.park_max, integer(0..=65_536));
    let budget =
        section.optional("retry_budget_percent", default.retry_budget_percent, integer(0..=100));
    let floor =
        section.optional("retry_floor_per_s", default.retry_floor_per_s, integer(0..=1_000));
    let batch =
        section.optional("batch_share_one_in", default.batch_share_one_in, integer(2..=1_000));
    section.finish();
    Some(Limits {
        body_limit_bytes: body?.value,
        max_connections: connections?.value,
        park_max: park?.value,
        retry_budget_percent: budget?.value,
        retry_floor_per_s: floor?.value,
        batch_share_one_in: batch?.value,
    })
}
