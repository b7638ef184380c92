//! Reads the settings of a control process.

use std::path::PathBuf;

use marked_yaml::Node;

use super::entry::{
    check_duplicate, check_host_count, check_ports, check_upstream_lease, report_contradiction,
};
use super::section::{Located, Section, address, integer, name, text};
use super::settings::{ControlSettings, TeamCredential};
use crate::names::{HostName, ServiceName};

/// Default of `timeouts.upstream_lease_ms`.
const UPSTREAM_LEASE_DEFAULT_MS: u64 = 3_000;

/// Default of `timeouts.share_lease_ms`.
const SHARE_LEASE_DEFAULT_MS: u64 = 3_000;

/// Shortest accepted share lease; hosts renew it every second, and one lost renewal must not end
/// it.
const SHARE_LEASE_MIN_MS: u64 = 2_000;

/// Longest accepted lease; the capacity of a lost host stays unused until its lease ends.
const LEASE_MAX_MS: u64 = 600_000;

/// Shortest accepted secret; a shorter one can be guessed.
const SECRET_MIN_CHARS: usize = 16;

pub(super) fn read(root: &Section<'_>) -> Option<ControlSettings> {
    let host = root.required("host", name);
    let data_centre = root.required("data_centre", name);
    let rpc_address = root.required("rpc_address", address);
    let admin_address = root.required("admin_address", address);
    check_ports(root, &[rpc_address.as_ref(), admin_address.as_ref()]);
    let data_folder = root.required("data_folder", |node| text(node).map(PathBuf::from));
    let entry_hosts = read_entry_hosts(root);
    let document_writer = root.optional("document_writer", None, |node| address(node).map(Some));
    let leases = read_leases(root);
    let credentials = read_credentials(root);
    let (upstream_lease_ms, share_lease_ms) = leases?;
    Some(ControlSettings {
        host: host?.value,
        data_centre: data_centre?.value,
        rpc_address: rpc_address?.value,
        admin_address: admin_address?.value,
        data_folder: data_folder?.value,
        entry_hosts: entry_hosts?,
        document_writer: document_writer?.value,
        upstream_lease_ms,
        share_lease_ms,
        credentials: credentials?,
    })
}

fn read_entry_hosts(root: &Section<'_>) -> Option<Vec<HostName>> {
    let hosts = root.list("entry_hosts", false, name)?;
    check_host_count(root, hosts.len(), "entry_hosts");
    let mut seen = Vec::new();
    for host in &hosts {
        check_duplicate(root, &mut seen, host);
    }
    Some(hosts.into_iter().map(|host| host.value).collect())
}

fn read_leases(root: &Section<'_>) -> Option<(u64, u64)> {
    let section = root.section("timeouts");
    let upstream =
        section.optional("upstream_lease_ms", UPSTREAM_LEASE_DEFAULT_MS, integer(1..=LEASE_MAX_MS));
    let share = section.optional(
        "share_lease_ms",
        SHARE_LEASE_DEFAULT_MS,
        integer(SHARE_LEASE_MIN_MS..=LEASE_MAX_MS),
    );
    check_upstream_lease(&section, upstream.as_ref());
    if let (Some(share), Some(upstream)) = (&share, &upstream)
        && share.value > upstream.value
    {
        report_contradiction(&section, share, "is longer than", upstream);
    }
    section.finish();
    Some((upstream?.value, share?.value))
}

fn read_credentials(root: &Section<'_>) -> Option<Vec<TeamCredential>> {
    let mut seen: Vec<Located<ServiceName>> = Vec::new();
    let mut credentials = Vec::new();
    let mut complete = true;
    for section in root.sections("credentials", true)? {
        let service = section.required("service", name);
        let secret = section.required("secret", read_secret);
        complete &= service.is_some() && secret.is_some();
        if let Some(service) = &service {
            check_duplicate(root, &mut seen, service);
        }
        if let (Some(service), Some(secret)) = (service, secret) {
            credentials.push(TeamCredential { service: service.value, secret: secret.value });
        }
        section.finish();
    }
    complete.then_some(credentials)
}

/// Reads a bearer token; a fault message never contains the secret.
fn read_secret(node: &Node) -> Result<String, String> {
    let secret = text(node)?;
    let length = secret.chars().count();
    if length < SECRET_MIN_CHARS {
        return Err(format!("the secret has {length} characters; use at least {SECRET_MIN_CHARS}"));
    }
    if !secret.chars().all(|c| c.is_ascii_graphic()) {
        return Err("the secret has characters that cannot travel in a header".to_owned());
    }
    Ok(secret)
}
