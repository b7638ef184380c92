//! A loopback HTTP host that answers each connection with a prepared reply.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// Address without a listener, which refuses connections.
pub(crate) const CLOSED_ADDRESS: &str = "127.0.0.1:1";

/// How the host replies to one request.
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    /// Answers with a status and a JSON body.
    Json(u16, Value),
    /// Answers with a status and a body that is not JSON.
    Text(u16, &'static str),
    /// Sends less of the body than `content-length` states.
    Truncated,
    /// Reads the request and closes the connection.
    Close,
    /// Reads the request and never answers.
    NoAnswer,
}

/// A request as the host received it.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedRequest {
    pub(crate) request_line: String,
    pub(crate) headers: Vec<String>,
    pub(crate) body: String,
}

impl ReceivedRequest {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.headers.iter().find_map(|header| header.strip_prefix(&prefix))
    }
}

/// A host that gives the prepared replies in order, one for each connection.
pub(crate) struct Host {
    address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl Host {
    pub(crate) fn start(replies: impl IntoIterator<Item = Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let replies: Vec<_> = replies.into_iter().collect();
        let log = Arc::clone(&received);
        thread::spawn(move || {
            for reply in replies {
                let (stream, _) = listener.accept().expect("a connection");
                serve(&stream, &reply, &log);
            }
        });
        Self { address, received }
    }

    pub(crate) fn address(&self) -> String {
        self.address.to_string()
    }

    /// Returns the requests received so far.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().expect("no panic in the host").clone()
    }
}

fn serve(mut stream: &TcpStream, reply: &Reply, log: &Mutex<Vec<ReceivedRequest>>) {
    let Some(request) = receive(stream) else { return };
    log.lock().expect("no panic in the host").push(request);
    let answer = match reply {
        Reply::Json(status, value) => response(*status, &value.to_string()),
        Reply::Text(status, body) => response(*status, body),
        Reply::Truncated => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{".to_owned(),
        Reply::Close => return,
        Reply::NoAnswer => return thread::sleep(Duration::from_secs(30)),
    };
    _ = stream.write_all(answer.as_bytes());
}

fn response(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
}

fn receive(stream: &TcpStream) -> Option<ReceivedRequest> {
    let mut reader = BufReader::new(stream);
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        match line.trim_end() {
            "" => break,
            line => head.push(line.to_owned()),
        }
    }
    let request_line = head.first()?.trim_end_matches(" HTTP/1.1").to_owned();
    let headers = head.split_off(1);
    let mut request = ReceivedRequest { request_line, headers, body: String::new() };
    let length = request.header("content-length").map_or(0, |text| text.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    request.body = String::from_utf8(body).expect("text");
    Some(request)
}
