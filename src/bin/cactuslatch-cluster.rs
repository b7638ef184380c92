//! Daemon of a control host that replicates its state, with the HTTP interface for jobs of steps.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, positional};
use cactuslatch::task_api::{RunningControl, TaskControlSettings};
use cactuslatch::{daemon_util, logging};

fn options() -> OptionParser<PathBuf> {
    positional::<PathBuf>("SETTINGS")
        .help("YAML file with the settings of this host")
        .to_options()
        .descr("Stores jobs of steps, replicated on several hosts, and schedules them")
}

fn main() -> ExitCode {
    let path = options().run();
    let settings = match TaskControlSettings::read(&path) {
        Ok(settings) => settings,
        Err(error) => return daemon_util::failed(&error),
    };
    if let Err(error) = logging::init() {
        return daemon_util::failed(&error);
    }
    let exit_code = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => daemon_util::failed(&error),
    };
    logging::flush();
    exit_code
}

async fn run(settings: TaskControlSettings) -> ExitCode {
    match RunningControl::start(settings).await {
        Ok(running) => {
            daemon_util::wait_for_termination().await;
            running.stop().await;
            ExitCode::SUCCESS
        }
        Err(error) => daemon_util::failed(&error),
    }
}
