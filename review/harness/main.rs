//! Runs one case of the review: `harness CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod crashes;
mod gap;
mod http;
mod json;
mod late;
mod long;
mod record;
mod replaced;
mod route;
mod site;
mod thaw;
mod wave;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use std::thread;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: harness CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(&path));
    record.note(format!("case {case}, trouble {trouble}"));
    let begun = Instant::now();
    let ran = record.clone();
    let work = thread::spawn(move || match case.as_str() {
        "crashes" => crashes::run(&ran, trouble),
        "gap" => gap::run(&ran, trouble),
        "late" => late::run(&ran, trouble),
        "long" => long::run(&ran, trouble),
        "replaced" => replaced::run(&ran, trouble),
        "route" => route::run(&ran, trouble),
        "thaw" => thaw::run(&ran, trouble),
        "wave" => wave::run(&ran, trouble),
        _ => Verdict::NotRun("no such case"),
    });
    while !work.is_finished() {
        if begun.elapsed() > TIME_LIMIT {
            record.say("NOT RUN: the case took too long");
            site::kill_left(&record);
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_millis(20));
    }
    match work.join() {
        Ok(Verdict::Held) => {
            record.say("HELD");
            ExitCode::from(0)
        }
        Ok(Verdict::Broken) => {
            record.say("BROKEN");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun(reason)) => {
            record.say(format!("NOT RUN: {reason}"));
            ExitCode::from(2)
        }
        Err(fault) => {
            drop::<Box<dyn std::any::Any + Send>>(fault);
            record.say("NOT RUN: the stand-in failed");
            site::kill_left(&record);
            ExitCode::from(2)
        }
    }
}
