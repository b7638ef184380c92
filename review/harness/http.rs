//! HTTP/1.1 for stand-ins: a client with one connection per call, and a server.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that a server has received; header names are in lower case.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Status and body of an answer.
pub type Answer = (u16, Vec<u8>);

/// Sends a request; `Err` if no complete answer arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        head += &format!("host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("content-type: application/json\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    let body = read_body(&mut reader, &headers)?;
    Ok((status, body))
}

fn read_head(reader: &mut impl BufRead) -> io::Result<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A server that can be closed at once, like the server of a process that is killed.
pub struct Server {
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves an address. A handler that returns `None` leaves the request without an answer.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Option<Answer> + Send + Sync + 'static,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(Vec::new()));
        let server = Server { closed: Arc::clone(&closed), open: Arc::clone(&open) };
        let handler = Arc::new(handler);
        thread::spawn(move || {
            while !closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        _ = stream.set_nonblocking(false);
                        _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            open.lock().unwrap().push(copy);
                        }
                        let (handler, closed) = (Arc::clone(&handler), Arc::clone(&closed));
                        thread::spawn(move || _ = serve(stream, &*handler, &closed));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(server)
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(
    stream: TcpStream,
    handler: &(impl Fn(Request) -> Option<Answer> + ?Sized),
    closed: &AtomicBool,
) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let answer = handler(Request { method, path, headers, body });
        if closed.load(Ordering::SeqCst) {
            return Ok(());
        }
        // Without an answer the caller waits until its own time limit.
        let Some((status, body)) = answer else { continue };
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        writer.write_all(&bytes)?;
    }
}
