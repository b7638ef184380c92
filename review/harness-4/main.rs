//! Cases of the fourth review: each starts the project's own programs and stand-ins of this folder.
//!
//! `harness-4 CASE FOLDER` writes `FOLDER/record.txt` and ends with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With TROUBLE=0 the disruption is left out.

mod clients;
mod damaged;
mod http;
mod json;
mod memory;
mod record;
mod refused;
mod retired;
mod site;
mod spot;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use record::Record;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: harness-4 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::open(&PathBuf::from(folder).join("record.txt"));
    record.line(&format!("case {case}, disruption {}", if trouble() { "on" } else { "off" }));
    let played = record.clone();
    let case = case.clone();
    // A whole run takes at most 115 s.
    std::thread::spawn({
        let record = record.clone();
        move || {
            std::thread::sleep(Duration::from_secs(118));
            record.line("the run took too long");
            std::process::exit(2);
        }
    });
    let outcome = std::panic::catch_unwind(move || match &*case {
        "damaged" => damaged::play(&played),
        "refused" => refused::play(&played),
        "memory" => memory::play(&played),
        "retired" => retired::play(&played),
        "spot" => spot::play(&played),
        _ => panic!("no such case"),
    });
    match outcome {
        Ok(broken) => {
            record.line(if broken {
                "verdict: the rule was broken"
            } else {
                "verdict: the rule held"
            });
            println!("{}", if broken { "the rule was broken" } else { "the rule held" });
            ExitCode::from(u8::from(broken))
        }
        Err(_) => {
            record.line("verdict: the case could not run");
            ExitCode::from(2)
        }
    }
}
