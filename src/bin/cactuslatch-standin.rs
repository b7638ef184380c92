//! A stand-in for an upstream that runs requests, for tests and the demo.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use cactuslatch::standin::{self, StandinSettings};
use cactuslatch::{RackName, ServiceName, UpstreamName, daemon_util};

fn options() -> OptionParser<StandinSettings> {
    let name = long("name").help("name of the upstream").argument::<UpstreamName>("NAME");
    let incarnation =
        long("incarnation").help("goes up with each start").argument::<u64>("NUMBER").fallback(1);
    let address = long("address")
        .help("address on which it accepts requests")
        .argument::<SocketAddr>("ADDRESS");
    let advertised = long("advertise")
        .help("address that it announces, if it differs")
        .argument::<SocketAddr>("ADDRESS")
        .optional();
    let services = long("service")
        .help("service that it runs")
        .argument::<ServiceName>("SERVICE")
        .some("at least one --service is needed");
    let rack = long("rack").help("rack of the upstream").argument::<RackName>("RACK");
    let rack_position =
        long("rack-position").help("position in the rack").argument::<u32>("NUMBER").fallback(0);
    let accelerators =
        long("accelerators").help("its accelerators").argument::<u32>("NUMBER").fallback(8);
    let slots =
        long("slots").help("most requests at the same time").argument::<u32>("NUMBER").fallback(8);
    let connections =
        long("connections").help("most open connections").argument::<u32>("NUMBER").fallback(64);
    let entry_hosts = long("entry")
        .help("entry host to which it announces itself")
        .argument::<SocketAddr>("ADDRESS")
        .some("at least one --entry is needed");
    construct!(StandinSettings {
        name,
        incarnation,
        address,
        advertised,
        services,
        rack,
        rack_position,
        accelerators,
        slots,
        connections,
        entry_hosts
    })
    .to_options()
    .descr("A stand-in for an upstream; it runs requests that ask for {\"work_ms\": N}")
}

fn main() -> ExitCode {
    let settings = options().run();
    daemon_util::init_logging();
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => daemon_util::failed(&error),
    }
}

async fn run(settings: StandinSettings) -> ExitCode {
    match standin::start(settings).await {
        Ok(running) => {
            daemon_util::wait_for_termination().await;
            running.leave().await;
            ExitCode::SUCCESS
        }
        Err(error) => daemon_util::failed(&error),
    }
}
