//! Stand-ins and drivers of the cases 4 to 8 of the second review. Standard library only.
//!
//! `stand-ins-2 CASE` starts a store, engines and `ponddrift-serve` processes on loopback addresses,
//! plays the case, writes `record.txt` into the current folder and ends all that it started.
//! Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- JSON and base64

#[derive(Debug, Clone)]
enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }
    fn blank(bytes: &[u8], at: &mut usize) {
        while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }
    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Self::blank(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut rows = Vec::new();
                loop {
                    Self::blank(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Table(rows));
                        }
                        b',' => *at += 1,
                        _ => {
                            let name = Self::text(bytes, at)?;
                            Self::blank(bytes, at);
                            if *bytes.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            rows.push((name, Self::value(bytes, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut rows = Vec::new();
                loop {
                    Self::blank(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(rows));
                        }
                        b',' => *at += 1,
                        _ => rows.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => Some(Json::Text(Self::text(bytes, at)?)),
            b't' => {
                *at += 4;
                Some(Json::Bool)
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool)
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let start = *at;
                while *at < bytes.len() && b"+-0123456789.eE".contains(&bytes[*at]) {
                    *at += 1;
                }
                let number = std::str::from_utf8(&bytes[start..*at]).ok()?;
                Some(Json::Number(number.parse().ok()?))
            }
        }
    }
    fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
        if *bytes.get(*at)? != b'"' {
            return None;
        }
        *at += 1;
        let mut out = Vec::new();
        loop {
            match *bytes.get(*at)? {
                b'"' => {
                    *at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    *at += 1;
                    match *bytes.get(*at)? {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let code = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let mut buffer = [0; 4];
                            let letter = char::from_u32(code).unwrap_or('?');
                            out.extend(letter.encode_utf8(&mut buffer).as_bytes());
                            *at += 4;
                        }
                        other => out.push(other),
                    }
                    *at += 1;
                }
                other => {
                    out.push(other);
                    *at += 1;
                }
            }
        }
    }
    fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }
    fn str(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }
    fn num(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }
    fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(rows)) => rows.clone(),
            _ => Vec::new(),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(LETTERS[(word >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP/1.1 server side

struct Call {
    method: String,
    path: String,
    query: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Call {
    fn header(&self, name: &str) -> String {
        self.headers.get(name).cloned().unwrap_or_default()
    }
    fn parameter(&self, name: &str) -> String {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
            .unwrap_or_default()
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_call(reader: &mut impl BufRead) -> io::Result<Option<Call>> {
    let Some((first, headers)) = read_headers(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece)?;
            if size == 0 {
                break;
            }
            body.extend(&piece[..size]);
        }
    } else if let Some(length) = headers.get("content-length") {
        body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Call { method, path: path.to_owned(), query: query.to_owned(), headers, body }))
}

fn answer(stream: &mut TcpStream, status: u16, extra: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} x\r\n{extra}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

// ---------------------------------------------------------------- the store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (u64, Instant)>,
    next_lease: u64,
}

struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = Item { value, revision: self.revision, made, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}}}",
        item.value, item.revision, item.made, item.lease
    )
}

impl Store {
    fn start(address: SocketAddr) -> io::Result<Arc<Store>> {
        let store = Arc::new(Store { state: Mutex::default(), changed: Condvar::new() });
        store.state.lock().unwrap().revision = 1;
        store.state.lock().unwrap().next_lease = 100;
        let listener = TcpListener::bind(address)?;
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            let mut state = expiring.state.lock().unwrap();
            let now = Instant::now();
            let over: Vec<u64> = state.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
            for lease in over {
                state.end_lease(lease);
                expiring.changed.notify_all();
            }
        });
        Ok(store)
    }
    fn put(&self, key: &str, text: &str) {
        self.state.lock().unwrap().put(key, base64(text.as_bytes()), 0);
        self.changed.notify_all();
    }
    fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(call) = read_call(&mut reader)? {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.handle(&call);
            answer(&mut stream, status, "Store-Era: 1\r\nContent-Type: application/json\r\n", body.as_bytes())?;
        }
        Ok(())
    }
    fn handle(&self, call: &Call) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/kv-key") => {
                let state = self.state.lock().unwrap();
                let key = call.parameter("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let mut text = item_json(&key, item);
                        text.pop();
                        (200, format!("{text},\"at\":{}}}", state.revision))
                    }
                    None => (404, format!("{{\"at\":{}}}", state.revision)),
                }
            }
            ("GET", "/kv-range") => {
                let state = self.state.lock().unwrap();
                let (prefix, after) = (call.parameter("pathPrefix"), call.parameter("after"));
                let rows: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                (200, format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", rows.join(","), state.revision))
            }
            ("GET", "/kv-watch") => {
                let prefix = call.parameter("pathPrefix");
                let after: u64 = call.parameter("after").parse().unwrap_or(0);
                let wait: u64 = call.parameter("waitMs").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.lock().unwrap();
                loop {
                    let rows: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        return (200, format!("{{\"events\":[{}],\"at\":{}}}", rows.join(","), state.revision));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let mut state = self.state.lock().unwrap();
                let expected = body.list("expectedRevision");
                let holds = expected.iter().all(|row| {
                    state.items.get(&row.str("key")).map_or(0, |item| item.revision) == row.num("revision")
                });
                if !holds {
                    let rows: Vec<String> = expected
                        .iter()
                        .map(|row| {
                            let key = row.str("key");
                            match state.items.get(&key) {
                                Some(item) => item_json(&key, item),
                                None => format!("{{\"key\":\"{key}\",\"revision\":0,\"gone\":true}}"),
                            }
                        })
                        .collect();
                    return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
                }
                for row in body.list("put") {
                    if row.num("lease") != 0 && !state.leases.contains_key(&row.num("lease")) {
                        return (404, String::from("{}"));
                    }
                }
                for row in body.list("put") {
                    state.put(&row.str("key"), row.str("value"), row.num("lease"));
                }
                for row in body.list("remove") {
                    if let Json::Text(key) = row {
                        state.remove(&key);
                    }
                }
                self.changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                let ttl = body.num("ttl_ms").clamp(1_000, 600_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + Duration::from_millis(ttl)));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let mut state = self.state.lock().unwrap();
                let lease: u64 = path[9..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + Duration::from_millis(*ttl);
                        (200, String::from("{}"))
                    }
                    None => (404, String::from("{}")),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let mut state = self.state.lock().unwrap();
                state.end_lease(path[14..].parse().unwrap_or(0));
                self.changed.notify_all();
                (200, String::from("{}"))
            }
            _ => (404, String::from("{}")),
        }
    }
}

// ---------------------------------------------------------------- engines

/// `heartbeatMs` of a small deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long an engine that crashed is down.
const LONG_END: Duration = Duration::from_millis(2_000);
/// The same for one that goes down and up by turns.
const SHORT_END: Duration = Duration::from_millis(700);

/// What an engine does with a stream.
#[derive(Clone, Copy)]
struct StreamShape {
    events: u64,
    gap: Duration,
}

struct EngineState {
    life: u64,
    stage: &'static str,
    sequence: u64,
    up: bool,
    /// Lives whose listener is closed: as when a process ends, nothing is accepted any more when its
    /// connections close.
    closed: u64,
}

struct Engine {
    name: String,
    service: &'static str,
    zone: &'static str,
    version: &'static str,
    address: SocketAddr,
    shape: StreamShape,
    /// The part of a prompt on which it crashes as it begins to write.
    bad_part: Option<&'static str>,
    /// Whether that part, or a body with [`CRASH_MARKER`], crashes it.
    crashes: Arc<AtomicBool>,
    /// It starts again under the id that it had, with this version of its software.
    next_version: Option<&'static str>,
    /// While set, the data of an event comes without an end.
    endless: Arc<AtomicBool>,
    state: Mutex<EngineState>,
    store: Arc<Store>,
    log: Arc<Log>,
}

impl Engine {
    fn id(&self) -> String {
        if self.next_version.is_some() {
            return self.name.clone();
        }
        format!("{}-{}", self.name, self.state.lock().unwrap().life)
    }
    fn version(&self) -> &'static str {
        let life = self.state.lock().unwrap().life;
        self.next_version.filter(|_| life > 1).unwrap_or(self.version)
    }
    fn record(&self) {
        let id = self.id();
        let version = self.version();
        let state = self.state.lock().unwrap();
        let stage = if state.stage.is_empty() { String::new() } else { format!("\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],", state.stage) };
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":48,\"state\":\"ready\",\"coldRemainingMs\":0,{stage}\"born\":{},\"sequence\":{}}}",
            self.service, self.address, self.zone, version, 1_700_000_000_000_u64 + state.life, state.sequence
        );
        drop(state);
        self.store.put(&format!("servers/{id}"), &text);
    }
    /// Listens until it crashes, and writes its entry; returns at once.
    fn start(self: &Arc<Self>) -> io::Result<()> {
        self.listen()?;
        self.record();
        Ok(())
    }
    fn listen(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.state.lock().unwrap().up = true;
        let engine = Arc::clone(self);
        let life = self.state.lock().unwrap().life;
        thread::spawn(move || loop {
            let alive = {
                let state = engine.state.lock().unwrap();
                state.up && state.life == life
            };
            if !alive {
                drop(listener);
                engine.state.lock().unwrap().closed = life;
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let engine = Arc::clone(&engine);
                    drop(stream.set_nonblocking(false));
                    thread::spawn(move || drop(engine.serve(stream, life)));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        });
        Ok(())
    }
    /// Ends as a killed process does; it is back after two seconds under a new id.
    fn crash(self: &Arc<Self>, life: u64) {
        {
            let mut state = self.state.lock().unwrap();
            if !state.up || state.life != life {
                return;
            }
            state.up = false;
        }
        CRASHES.lock().unwrap().push(Instant::now());
        self.log.line(&format!("engine {} crashed", self.id()));
        let engine = Arc::clone(self);
        thread::spawn(move || {
            let old = engine.id();
            let changes = engine.next_version.is_some_and(|next| next != engine.version);
            let down = if changes { SHORT_END } else { LONG_END };
            thread::sleep(down);
            if engine.next_version.is_some() {
                // Its entry stands: it is back before three heartbeats have passed. With other software it
                // writes at its next heartbeat, else at once.
                engine.state.lock().unwrap().life += 1;
                drop(engine.listen());
                engine.log.line(&format!("engine {} is back with {}", engine.id(), engine.version()));
                if changes {
                    thread::sleep(HEARTBEAT);
                }
                engine.record();
                engine.log.line(&format!("engine {} writes its entry", engine.id()));
                return;
            }
            engine.store.remove(&format!("servers/{old}"));
            engine.state.lock().unwrap().life += 1;
            drop(engine.start());
        });
    }
    fn wait_closed(&self, life: u64) {
        while !self.is_closed(life) {
            thread::sleep(Duration::from_millis(1));
        }
    }
    fn is_closed(&self, life: u64) -> bool {
        self.state.lock().unwrap().closed >= life
    }
    fn serve(self: &Arc<Self>, stream: TcpStream, life: u64) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let watched = stream.try_clone()?;
        let engine = Arc::clone(self);
        let over = Arc::new(AtomicBool::new(false));
        let is_over = Arc::clone(&over);
        thread::spawn(move || {
            while !engine.is_closed(life) && !is_over.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(5));
            }
            if !is_over.load(Ordering::Relaxed) {
                drop(watched.shutdown(std::net::Shutdown::Both));
            }
        });
        let result = self.serve_calls(stream, life);
        over.store(true, Ordering::Relaxed);
        result
    }
    fn serve_calls(self: &Arc<Self>, mut stream: TcpStream, life: u64) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(call) = read_call(&mut reader)? {
            let own = format!("Ponddrift-Instance-Id: {}\r\n", self.id());
            let id = call.header("ponddrift-request-id");
            let named = format!("{own}Ponddrift-Request-Id: {id}\r\n");
            match call.path.as_str() {
                "/health" => {
                    answer(&mut stream, 200, &own, b"")?;
                    continue;
                }
                "/report" => {
                    let text = {
                        let state = self.state.lock().unwrap();
                        format!("{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"sequence\":{},\"queued\":0,\"inFlight\":1,\"kvUsed\":0,\"kvTotal\":495255,\"kvHandles\":0}}", state.stage, state.sequence)
                    };
                    answer(&mut stream, 200, &own, text.as_bytes())?;
                    continue;
                }
                "/kv-events" => {
                    answer(&mut stream, 200, &own, b"{\"epoch\":1,\"nextPageToken\":0,\"lost\":false,\"events\":[]}")?;
                    continue;
                }
                "/order" => {
                    let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
                    let stage = if body.str("stage") == "prefill" { "prefill" } else { "decode" };
                    self.log.line(&format!("engine {} ordered {stage}", self.id()));
                    self.state.lock().unwrap().stage = stage;
                    self.state.lock().unwrap().sequence += 1;
                    self.record();
                    answer(&mut stream, 202, &own, b"{}")?;
                    continue;
                }
                path if path.starts_with("/kv-handle/") => {
                    answer(&mut stream, 200, &own, b"")?;
                    continue;
                }
                _ => {}
            }
            let is_prefill = call.header("ponddrift-serving-stage") == "prefill";
            let stage = self.state.lock().unwrap().stage;
            if call.header("ponddrift-expect-instance") != self.id() || (!stage.is_empty() && is_prefill != (stage == "prefill")) {
                answer(&mut stream, 421, &format!("{named}Ponddrift-Not-Executed: 1\r\n"), b"")?;
                continue;
            }
            if is_prefill {
                thread::sleep(Duration::from_millis(10));
                let text = format!("{{\"kvHandle\":\"h{id}\",\"tokens\":100,\"version\":1}}");
                answer(&mut stream, 200, &named, text.as_bytes())?;
                continue;
            }
            let after: u64 = call.header("last-event-id").parse().unwrap_or(0);
            self.log.line(&format!("engine {} ({}) runs {id} after {after}", self.id(), self.version()));
            let parts = call.header("ponddrift-prompt-prefix");
            let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
            if self.crashes.load(Ordering::Relaxed) && String::from_utf8_lossy(&call.body).contains(CRASH_MARKER) {
                thread::sleep(Duration::from_millis(20));
                BAD_RUNS.lock().unwrap().push(Instant::now());
                self.crash(life);
                self.wait_closed(life);
                return Ok(());
            }
            let is_bad = self.crashes.load(Ordering::Relaxed) && self.bad_part.is_some_and(|bad| shared.split(',').any(|part| part.starts_with(bad)));
            thread::sleep(Duration::from_millis(20));
            if is_bad {
                BAD_RUNS.lock().unwrap().push(Instant::now());
                self.crash(life);
                self.wait_closed(life);
                return Ok(());
            }
            let signed = format!("{named}Ponddrift-Response-Signature: s.{}.{id}\r\nPonddrift-Weights-Version: 1\r\n", self.id());
            if call.header("ponddrift-token-count").is_empty() {
                answer(&mut stream, 200, &signed, format!("answer to {id}").as_bytes())?;
                continue;
            }
            write!(stream, "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            if self.endless.load(Ordering::Relaxed) {
                self.write_endless(&mut stream)?;
                return Ok(());
            }
            let version = self.version();
            for number in after + 1..=self.shape.events {
                thread::sleep(self.shape.gap);
                let event = format!("id: {number}\ndata: {} {number} {}\n\n", version, "x".repeat(60));
                write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            }
            write!(stream, "0\r\n\r\n")?;
            self.log.line(&format!("engine {} ended {id}", self.id()));
        }
        Ok(())
    }
    /// One event whose data never ends: a million bytes, then more and more slowly, until the caller
    /// closes.
    fn write_endless(&self, stream: &mut TcpStream) -> io::Result<()> {
        let piece = vec![b'x'; 16_000];
        let start = b"id: 1\ndata: ";
        write!(stream, "{:x}\r\n", start.len())?;
        stream.write_all(start)?;
        write!(stream, "\r\n")?;
        for _ in 0..65 {
            write!(stream, "{:x}\r\n", piece.len())?;
            stream.write_all(&piece)?;
            write!(stream, "\r\n")?;
            thread::sleep(Duration::from_millis(10));
        }
        loop {
            stream.write_all(b"10\r\nxxxxxxxxxxxxxxxx\r\n")?;
            thread::sleep(Duration::from_millis(200));
        }
    }
}

// ---------------------------------------------------------------- the record

struct Log {
    began: Instant,
    file: Mutex<fs::File>,
}

impl Log {
    fn new() -> io::Result<Arc<Log>> {
        Ok(Arc::new(Log { began: Instant::now(), file: Mutex::new(fs::File::create("record.txt")?) }))
    }
    fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        drop(writeln!(file, "{:8.3} {text}", self.began.elapsed().as_secs_f64()));
    }
    fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---------------------------------------------------------------- daemons

struct Site {
    base: [u8; 3],
    folder: std::path::PathBuf,
    program: String,
    daemons: usize,
    memory_mb: u64,
    log: Arc<Log>,
    store: Arc<Store>,
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

impl Site {
    fn start(daemons: usize, memory_mb: u64) -> io::Result<Site> {
        let log = Log::new()?;
        let process = std::process::id();
        let base = [127, 40 + (process % 180) as u8, (process / 180 % 250) as u8];
        let folder = std::env::temp_dir().join(format!("review-2-{process}"));
        fs::create_dir_all(&folder)?;
        let program = std::env::var("PONDDRIFT_SERVE").unwrap_or_else(|_| String::from("target/release/ponddrift-serve"));
        let store = Store::start(SocketAddr::from(([base[0], base[1], base[2], 2], 8142)))?;
        Ok(Site { base, folder, program, daemons, memory_mb, log, store })
    }
    fn ip(&self, last: u8) -> [u8; 4] {
        [self.base[0], self.base[1], self.base[2], last]
    }
    fn daemon_ip(&self, index: usize) -> String {
        let ip = self.ip(10 + index as u8);
        format!("{}.{}.{}.{}", ip[0], ip[1], ip[2], ip[3])
    }
    fn callers(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.ip(10 + index as u8), 8144))
    }
    fn zone(index: usize) -> &'static str {
        if index % 2 == 0 { "zone-a" } else { "zone-b" }
    }
    /// The template of the deploy folder, filled for a small deployment.
    fn settings(&self, index: usize, bootstrap: bool) -> String {
        let ip = self.daemon_ip(index);
        let store = self.ip(2);
        let seeds: Vec<String> = (0..self.daemons.min(3)).map(|seed| format!("\"{}:8146\"", self.daemon_ip(seed))).collect();
        format!(
            "[daemon]\nname = \"frontend-{}-{index}\"\nzone = \"{}\"\nfirst_start = {bootstrap}\n\
             [listen]\ncallers = \"{ip}:8144\"\nreadiness = \"{ip}:8140\"\npeers = \"{ip}:7660\"\nmetrics = \"{ip}:9464\"\n\
             [store]\naddress = \"{}.{}.{}.{}:8142\"\nreads_per_s = 2000\n\
             [peers]\nlink_mbps = 1000.0\nseeds = [{}]\n\
             [limits]\nmemory_mb = {}\ndescriptors = 4100\n\
             [retry]\nbudget_ratio = 0.2\nbudget_slack = 54\n\
             [leader]\nlease_ms = 3000\nfencing_checked = true\n\
             [provider]\n[usage]\n[overload]\ncontracts = \"base,drain,config,cost,retry,recover,split,stream,engine,platform\"\n\
             [stop]\ngrace_s = 8\n",
            Self::zone(index), Self::zone(index), store[0], store[1], store[2], store[3], seeds.join(", "), self.memory_mb
        )
    }
    fn spawn(&self, index: usize, bootstrap: bool) -> io::Result<Child> {
        let path = self.folder.join(format!("node-{index}.toml"));
        fs::write(&path, self.settings(index, bootstrap))?;
        let out = fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("node-{index}.log")))?;
        let child = Command::new(&self.program)
            .env_clear()
            .env("PONDDRIFT_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.log.line(&format!("daemon {index} started, process {}", child.id()));
        Ok(child)
    }
    fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::from((self.ip(10 + index as u8), 8140));
        let call = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(300)))?;
            stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut text = [0; 12];
            stream.read_exact(&mut text)?;
            Ok(&text[9..12] == b"200")
        };
        call().unwrap_or(false)
    }
    fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if (0..self.daemons).all(|index| self.is_ready(index)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
    fn engine(&self, number: u8, service: &'static str, version: &'static str, shape: StreamShape, bad_part: Option<&'static str>, endless: &Arc<AtomicBool>) -> io::Result<Arc<Engine>> {
        self.changing_engine(number, service, version, None, shape, bad_part, endless)
    }
    #[allow(clippy::too_many_arguments)]
    fn changing_engine(&self, number: u8, service: &'static str, version: &'static str, next_version: Option<&'static str>, shape: StreamShape, bad_part: Option<&'static str>, endless: &Arc<AtomicBool>) -> io::Result<Arc<Engine>> {
        let engine = Arc::new(Engine {
            name: format!("i-{number}"),
            service,
            zone: if number % 2 == 0 { "zone-a" } else { "zone-b" },
            version,
            address: SocketAddr::from((self.ip(100 + number), 8080)),
            shape,
            bad_part,
            crashes: Arc::new(AtomicBool::new(true)),
            next_version,
            endless: Arc::clone(endless),
            state: Mutex::new(EngineState { life: 1, stage: if service == "app" { "" } else { "decode" }, sequence: 0, up: false, closed: 0 }),
            store: Arc::clone(&self.store),
            log: Arc::clone(&self.log),
        });
        engine.start()?;
        Ok(engine)
    }
    fn configure(&self, timeout_ms: u64, gap_ms: u64, attempts: u64) {
        let text = format!(
            "{{\"version\":1,\"routes\":[{{\"name\":\"r\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/lohu/\",\"type\":\"streaming\",\"service\":\"llm\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":500,\"targetGapMs\":{gap_ms},\"maxAttempts\":{attempts},\"priority\":1,\"sessionAffinity\":true,\"resumable\":true}},\
             {{\"name\":\"p\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/pule/\",\"type\":\"safe\",\"service\":\"app\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"maxAttempts\":2,\"priority\":2}}],\
             \"services\":[{{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":300,\"engine\":{{\"slots\":48,\"kvCapacityTokens\":495255,\"tokenKvBytes\":163840,\"linkMbps\":1900000.0,\"kvHoldS\":5.0,\"roleSwitchS\":0.81,\"models\":[{{\"name\":\"m\"}}]}}}},{{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":110}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}}}}"
        );
        self.store.put("op/config", &text);
    }
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

/// Sends a signal to a process that this program started.
fn signal(process: u32, number: i32) {
    if process > 0 {
        // SAFETY: takes two numbers and touches no memory of this program.
        unsafe { kill(process as i32, number) };
    }
}

/// The daemons that run, for the watchdog.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// No case runs for longer than this.
const LONGEST: Duration = Duration::from_secs(110);

/// Ends the daemons and the case if it takes too long.
fn watch() {
    thread::spawn(|| {
        thread::sleep(LONGEST);
        for process in RUNNING.lock().unwrap().drain(..) {
            signal(process, SIGKILL);
        }
        println!("the case took too long");
        std::process::exit(2);
    });
}

/// Ends the daemons that it holds, whatever happens.
struct Daemons(Vec<Option<Child>>);

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in self.0.iter_mut().flatten() {
            drop(child.kill());
            drop(child.wait());
            forget(child.id());
        }
    }
}

/// A daemon has ended.
fn forget(process: u32) {
    RUNNING.lock().unwrap().retain(|running| *running != process);
}

/// Resident memory of a process in bytes.
fn resident(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes: u64 = line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    kilobytes * 1024
}

// ---------------------------------------------------------------- clients

/// What the body of a request holds that crashes engines.
const CRASH_MARKER: &str = "ends the engine";
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

struct Request {
    deadline_ms: u64,
    parts: String,
    resumes: String,
    after: u64,
}

#[derive(Debug, Clone, Default)]
struct Outcome {
    id: String,
    status: u16,
    last_event: u64,
    versions: Vec<String>,
    is_complete: bool,
    retry_after: f64,
}

/// One client attempt on a new connection.
fn attempt(address: SocketAddr, request: &Request) -> Outcome {
    let mut outcome = Outcome { id: format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed) | 0x9c41_0000_0000_0000), last_event: request.after, ..Outcome::default() };
    drop(run_attempt(address, request, &mut outcome));
    outcome
}

fn run_attempt(address: SocketAddr, request: &Request, outcome: &mut Outcome) -> io::Result<()> {
    let until = Instant::now() + Duration::from_millis(request.deadline_ms);
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms + 200)))?;
    let mut writer = stream.try_clone()?;
    let own = request.parts.rsplit(',').next().unwrap_or_default();
    let body = format!("{own} {}", "p".repeat(360));
    let mut head = format!(
        "POST /lohu/2f HTTP/1.1\r\nHost: ficu95.example\r\nPonddrift-Request-Id: {}\r\nPonddrift-Model-Name: m\r\nPonddrift-Token-Count: 383,90\r\nPonddrift-Prompt-Prefix: {}\r\nPonddrift-Deadline-Ms: {}\r\nContent-Length: {}\r\n",
        outcome.id, request.parts, request.deadline_ms, body.len()
    );
    if request.after > 0 {
        head.push_str(&format!("Last-Event-Id: {}\r\nResumes: {}\r\n", request.after, request.resumes));
    }
    writer.write_all(format!("{head}\r\n{body}").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_headers(&mut reader)? else {
        return Ok(());
    };
    outcome.status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    outcome.retry_after = headers.get("retry-after").and_then(|value| value.parse().ok()).unwrap_or(0.0);
    if outcome.status != 200 || !headers.contains_key("ponddrift-response-signature") {
        return Ok(());
    }
    let mut text = Vec::new();
    loop {
        if Instant::now() >= until {
            return Ok(());
        }
        if LIMIT.with(std::cell::Cell::get).is_some_and(|limit| Instant::now() >= limit) {
            return Ok(());
        }
        let mut size = String::new();
        if reader.read_line(&mut size)? == 0 {
            return Ok(());
        }
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        let mut piece = vec![0; size + 2];
        reader.read_exact(&mut piece)?;
        if size == 0 {
            outcome.is_complete = true;
            return Ok(());
        }
        text.extend(&piece[..size]);
        while let Some(end) = text.windows(2).position(|two| two == b"\n\n") {
            let event = String::from_utf8_lossy(&text[..end]).into_owned();
            text.drain(..end + 2);
            for line in event.lines() {
                if let Some(id) = line.strip_prefix("id: ") {
                    outcome.last_event = id.parse().unwrap_or(outcome.last_event);
                }
                if let Some(data) = line.strip_prefix("data: ") {
                    let version = data.split(' ').next().unwrap_or_default().to_owned();
                    if outcome.versions.last() != Some(&version) {
                        outcome.versions.push(version);
                    }
                }
            }
        }
    }
}

include!("cases-2.rs");

/// A number from the environment.
fn number(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    watch();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "origins" => origins(trouble),
        "memory" => memory(trouble),
        "same-request" => same_request(trouble),
        "same-id" => same_id(trouble),
        "long-prompts" => parts(trouble, number("PARTS", 40), number("SOUND_BEFORE", 0) == 1),
        "sound-before" => parts(trouble, number("PARTS", 5), number("SOUND_BEFORE", 1) == 1),
        _ => Err(io::Error::other("unknown case")),
    };
    let status = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            println!("the case could not run: {error}");
            2
        }
    };
    std::process::exit(status);
}
