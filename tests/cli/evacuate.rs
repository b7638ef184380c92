use rstest::rstest;
use serde_json::json;

use crate::host::{Host, Reply};
use crate::work::WorkFolder;

#[rstest]
#[case::begin("begin", "PUT")]
#[case::finish("finish", "DELETE")]
fn a_request_names_the_data_centre(#[case] action: &str, #[case] method: &str) {
    let host = Host::start([Reply::Json(200, json!({"state": "stored"}))]);
    let address = host.address();
    let output = WorkFolder::new().run(&["evacuate", action, "--host", &address, "dc-1"]);
    assert_eq!((output.code, &*output.stdout), (0, "state: stored\n"), "{}", output.stderr);
    assert_eq!(host.received()[0].request_line, format!("{method} /v1/evacuations/dc-1"));
}

/// Guards against a refused request that a script takes for a done one.
#[rstest]
#[case::unknown(422, 1)]
#[case::no_leader(503, 1)]
#[case::unknown_outcome(504, 2)]
fn exit_codes_tell_whether_it_took_effect(#[case] status: u16, #[case] code: i32) {
    let host = Host::start([Reply::Json(status, json!({"error": "there is no data centre dc-1"}))]);
    let address = host.address();
    let output = WorkFolder::new().run(&["evacuate", "begin", "--host", &address, "dc-1"]);
    assert_eq!(output.code, code, "{}", output.stderr);
}

/// Guards against a name that changes the path of the request.
#[rstest]
fn odd_names_are_not_sent(#[values("", "a/b", "a b", "..%2f")] name: &str) {
    let host = Host::start([Reply::Json(200, json!({}))]);
    let address = host.address();
    let output = WorkFolder::new().run(&["evacuate", "begin", "--host", &address, name]);
    assert_eq!(output.code, 1, "{}", output.stderr);
    assert!(host.received().is_empty(), "nothing may be sent");
}

#[test]
fn evacuations_are_listed() {
    let evacuation =
        json!({"data_centre": "dc-1", "since_ms": 1200, "upstreams": 8, "running_tasks": 3});
    let host = Host::start([Reply::Json(200, json!({"evacuations": [evacuation]}))]);
    let address = host.address();
    let output = WorkFolder::new().run(&["evacuate", "list", "--host", &address]);
    let expected = "dc-1 for 1200 ms, 8 upstreams, 3 tasks running\n";
    assert_eq!((output.code, &*output.stdout), (0, expected), "{}", output.stderr);
}
