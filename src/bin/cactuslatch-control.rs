//! Daemon of the control host of one data centre, which stores its state on disk.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, positional};
use cactuslatch::config::ControlSettings;
use cactuslatch::{control, daemon_util};
use tokio::sync::watch;

fn options() -> OptionParser<PathBuf> {
    positional::<PathBuf>("SETTINGS")
        .help("YAML file with the settings of this host")
        .to_options()
        .descr("Stores the state of a data centre and makes its scheduling decisions")
}

fn main() -> ExitCode {
    let path = options().run();
    daemon_util::init_logging();
    let settings = match ControlSettings::read(&path) {
        Ok(settings) => settings,
        Err(error) => return daemon_util::failed(&error),
    };
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => daemon_util::failed(&error),
    }
}

async fn run(settings: ControlSettings) -> ExitCode {
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        daemon_util::wait_for_termination().await;
        stop.send_replace(true);
    });
    match control::run(settings, stopped).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => daemon_util::failed(&error),
    }
}
