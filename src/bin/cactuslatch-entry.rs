//! Daemon of an entry host, which dispatches the requests of callers.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, positional};
use cactuslatch::config::EntrySettings;
use cactuslatch::{daemon_util, entry};

fn options() -> OptionParser<PathBuf> {
    positional::<PathBuf>("SETTINGS")
        .help("YAML file with the settings of this host")
        .to_options()
        .descr("Accepts requests from callers and dispatches them to upstreams")
}

fn main() -> ExitCode {
    let path = options().run();
    daemon_util::init_logging();
    let settings = match EntrySettings::read(&path) {
        Ok(settings) => settings,
        Err(error) => return daemon_util::failed(&error),
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return daemon_util::failed(&error),
    };
    runtime.block_on(run(settings))
}

async fn run(settings: EntrySettings) -> ExitCode {
    let running = match entry::start(settings).await {
        Ok(running) => running,
        Err(error) => return daemon_util::failed(&error),
    };
    let drain = running.drain_handle();
    tokio::spawn(async move {
        daemon_util::wait_for_termination().await;
        drain.start();
    });
    running.ended().await;
    ExitCode::SUCCESS
}
