//! A stand-in for an upstream that runs tasks of jobs of steps, for tests and trials.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, pure};
use cactuslatch::standin::tasks::{self, TaskStandinSettings};
use cactuslatch::{RackName, ServiceName, UpstreamName, daemon_util};

fn options() -> OptionParser<TaskStandinSettings> {
    let name = long("name").help("name of the upstream").argument::<UpstreamName>("NAME");
    let address = long("address")
        .help("address on which it accepts calls from control")
        .argument::<SocketAddr>("ADDRESS");
    let service =
        long("service").help("service that it belongs to").argument::<ServiceName>("SERVICE");
    let rack = long("rack").help("rack of the upstream").argument::<RackName>("RACK");
    let data_centre = long("data-centre")
        .help("data centre of the upstream")
        .argument::<String>("NAME")
        .fallback(String::new());
    let accelerators =
        long("accelerators").help("its accelerators").argument::<u32>("NUMBER").fallback(8);
    let control_hosts = long("host")
        .help("control host to which it announces itself")
        .argument::<SocketAddr>("ADDRESS")
        .some("at least one --host is needed");
    let heartbeat_delay = pure(Duration::ZERO);
    construct!(TaskStandinSettings {
        name,
        address,
        service,
        rack,
        data_centre,
        accelerators,
        control_hosts,
        heartbeat_delay
    })
    .to_options()
    .descr("A stand-in for an upstream; its tasks work for {\"work_ms\": N} of their payload")
}

fn main() -> ExitCode {
    let settings = options().run();
    daemon_util::init_logging();
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => daemon_util::failed(&error),
    }
}

async fn run(settings: TaskStandinSettings) -> ExitCode {
    match tasks::start(settings).await {
        Ok(running) => {
            daemon_util::wait_for_termination().await;
            running.leave().await;
            ExitCode::SUCCESS
        }
        Err(error) => daemon_util::failed(&error),
    }
}
