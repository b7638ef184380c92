//! Handlers for announcements and leaves of upstreams, and the list for operators.

use serde::Serialize;

use super::{EntryHost, FullRequest, FullResponse, error, json, read_body};
use crate::entry::upstreams::UpstreamInfo;
use crate::names::UpstreamName;
use crate::rpc;
use crate::upstream_http::{Announcement, AnnouncementReply, Leave};

#[derive(Debug, Serialize)]
struct UpstreamBody {
    name: String,
    incarnation: u64,
    address: String,
    services: Vec<String>,
    rack: String,
    rack_position: u32,
    accelerators: u32,
    slots: u32,
    connections: u32,
}

impl From<UpstreamInfo> for UpstreamBody {
    fn from(info: UpstreamInfo) -> Self {
        Self {
            name: info.name.to_string(),
            incarnation: info.incarnation,
            address: info.address.to_string(),
            services: info.services.iter().map(ToString::to_string).collect(),
            rack: info.rack.to_string(),
            rack_position: info.rack_position,
            accelerators: info.accelerators,
            slots: info.slots,
            connections: info.connections,
        }
    }
}

pub(super) fn list(host: &EntryHost) -> FullResponse {
    let upstreams: Vec<UpstreamBody> =
        host.upstreams.live().into_iter().map(UpstreamBody::from).collect();
    json(200, &upstreams)
}

pub(super) fn announce(host: &EntryHost, name: &str, received: &FullRequest) -> FullResponse {
    let name: UpstreamName = match name.parse() {
        Ok(name) => name,
        Err(fault) => return error(400, &format!("{fault}")),
    };
    let announcement: Announcement = match read_body(received) {
        Ok(announcement) => announcement,
        Err(response) => return *response,
    };
    if announcement.slots == 0 || announcement.connections == 0 {
        return error(400, "slots and connections must be at least 1");
    }
    let incarnation = announcement.incarnation;
    let info = UpstreamInfo {
        name: name.clone(),
        incarnation,
        address: announcement.address,
        services: announcement.services.into(),
        rack: announcement.rack,
        rack_position: announcement.rack_position,
        accelerators: announcement.accelerators,
        slots: announcement.slots,
        connections: announcement.connections,
    };
    let message = rpc::Upstream::from(&info);
    let known = host.upstreams.is_known(&info);
    if !host.upstreams.announce(info) {
        host.metrics.stale_message();
        return error(409, "this incarnation has left or is older than one already known");
    }
    if known {
        host.outbox.renew(&name, incarnation);
    } else {
        host.outbox.announce(message);
    }
    json(200, &AnnouncementReply { lease_ms: host.settings.timeouts.upstream_lease_ms })
}

pub(super) fn leave(host: &EntryHost, name: &str, received: &FullRequest) -> FullResponse {
    let name: UpstreamName = match name.parse() {
        Ok(name) => name,
        Err(fault) => return error(400, &format!("{fault}")),
    };
    let Leave { incarnation } = match read_body(received) {
        Ok(leave) => leave,
        Err(response) => return *response,
    };
    host.upstreams.leave(&name, incarnation);
    host.outbox.announce(rpc::Upstream {
        name: name.to_string(),
        incarnation,
        leaving: true,
        ..rpc::Upstream::default()
    });
    json(200, &Leave { incarnation })
}
