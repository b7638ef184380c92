//! The daemon of a host of the replicated control, with the project's own interface.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, positional};
use cactuslatch::task_api::{RunningControl, TaskControlSettings};
use cactuslatch::{daemon_util, logging};

fn options() -> OptionParser<PathBuf> {
    positional::<PathBuf>("SETTINGS")
        .help("YAML file with the settings of this host")
        .to_options()
        .descr("Keeps jobs of steps on several hosts and schedules them")
}

fn main() -> ExitCode {
    let path = options().run();
    let settings = match TaskControlSettings::read(&path) {
        Ok(settings) => settings,
        Err(fault) => return daemon_util::failed(&fault),
    };
    if let Err(error) = logging::init() {
        return daemon_util::failed(&error);
    }
    let exit = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => daemon_util::failed(&error),
    };
    logging::flush();
    exit
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
