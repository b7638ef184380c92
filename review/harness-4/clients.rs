//! Calls of clients, and configurations.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{self, Answer};
use crate::json::Json;

pub const HOST: &str = "jobs.example";

/// A route of a configuration: its name is also its path, and its jobs run on `pool`.
pub fn route(name: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"/{name}/\",\"kind\":\"unsafe\",\
         \"timeout-ms\":{timeout_ms},\"target-latency-ms\":3000,\"priority\":1,\"service\":\"pool\",\
         \"max-attempts\":3,\"slack-factor\":3.0,\"public\":false}}"
    )
}

pub fn configuration(version: u64, routes: &[String], keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\
         \"health-path\":\"/healthz\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"rejects-overload\":true,\"standby\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"north\",\"api-keys\":[{}],\"priority\":1,\
         \"guaranteed\":{{\"gpu\":0}}}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

/// A job of one step; its tasks take `ms` each.
pub fn job(tasks: u32, cpu: u32, ms: u64) -> String {
    format!(
        "{{\"spec\":\"ms={ms}\",\"steps\":[{{\"count\":{tasks},\"cpu\":{cpu},\"mem-mb\":100,\
         \"estimate-ms\":{ms}}}]}}"
    )
}

pub fn call(front: SocketAddr, method: &str, path: &str, key: &str, body: &str) -> Answer {
    let headers = [("Host", HOST), ("Api-Key", key), ("Deadline-Ms", "3000")];
    http::call(front, method, path, &headers, body, Duration::from_millis(3_000))
}

/// State of a job, or the status of the answer as text.
pub fn state(front: SocketAddr, path: &str, key: &str) -> String {
    match call(front, "GET", path, key, "") {
        Some((200, body)) => {
            let body = Json::parse(&body).unwrap_or(Json::Null);
            body.get("state").text().unwrap_or("no state").to_owned()
        }
        Some((status, _)) => status.to_string(),
        None => "no answer".to_owned(),
    }
}
