//! The operator sends configurations that can't be read in full, since one byte is damaged.

use std::time::Duration;

use crate::clients::{configuration, route};
use crate::http;
use crate::record::Record;
use crate::site::{CONTROL, Site};
use crate::{sleep_ms, trouble};

const KEY: &str = "key-of-north";
/// Texts of which the first letter is damaged, one in each configuration.
const DAMAGED: [&str; 3] = ["healthz", "h1\"", "unsafe"];

pub fn play(record: &Record) -> bool {
    let mut site = Site::start(record, 1);
    let routes = [route("audit", 3_000)];
    site.wait("first configuration", Duration::from_secs(20), || {
        let body = configuration(1, &routes, &[KEY]);
        let answer =
            site.order("POST", "/cactuslatch/Config.Replace", &body, Duration::from_secs(3));
        answer.filter(|(status, _)| *status == 200)
    });
    sleep_ms(3_000);
    let mut acknowledged = 0;
    for (number, text) in DAMAGED.iter().enumerate().filter(|_| trouble()) {
        let version = 2 + number as u64;
        let mut body = configuration(version, &routes, &[KEY]).into_bytes();
        let text = text.as_bytes();
        let at = body.windows(text.len()).position(|part| part == text).expect("the text is there");
        // No text in UTF-8 has this byte, so no reader of JSON can read the body.
        body[at] = 0xff;
        let address = site.control_address(number % CONTROL);
        let limit = Duration::from_secs(1);
        let answer =
            http::call_bytes(address, "POST", "/cactuslatch/Config.Replace", &[], &body, limit);
        let status = answer.map_or(0, |(status, _)| status);
        record.line(&format!(
            "operator: version {version} with byte {at} damaged at {address}: {status}"
        ));
        acknowledged += u32::from(status == 200);
        sleep_ms(1_000);
    }
    // Longer than contact-ms.
    sleep_ms(4_500);
    let mut unreadable = 0;
    for host in 0..CONTROL {
        let address = site.control_address(host);
        let limit = Duration::from_secs(1);
        let answer = http::call_bytes(address, "GET", "/cactuslatch/Config.Read", &[], b"", limit);
        let Some((status, body)) = answer else { continue };
        let is_text = std::str::from_utf8(&body).is_ok();
        record
            .line(&format!("Config.Read at {address}: {status}, text that can be read: {is_text}"));
        unreadable += u32::from(status == 200 && !is_text);
    }
    if !site.all_run() {
        record.line("a process of the system has ended");
    }
    record.line(&format!(
        "{acknowledged} configurations that can't be read were acknowledged; {unreadable} nodes give \
         one back as the newest"
    ));
    acknowledged > 0 || unreadable > 0
}
