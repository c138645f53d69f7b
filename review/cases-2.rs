// The cases. Included by stand-ins-2.rs.

static BAD_RUNS: Mutex<Vec<Instant>> = Mutex::new(Vec::new());
static CRASHES: Mutex<Vec<Instant>> = Mutex::new(Vec::new());

/// `contactMs` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3_000);

fn new_daemons(site: &Site) -> io::Result<Daemons> {
    let mut daemons = Daemons(Vec::new());
    for index in 0..site.daemons {
        daemons.0.push(Some(site.spawn(index, true)?));
    }
    if site.wait_ready() {
        return Ok(daemons);
    }
    Err(io::Error::other("the daemons did not get ready"))
}

// ---------------------------------------------------------------- streams and a rolling restart

/// Long streams of clients at the daemon that is restarted last. Each client takes its stream up when
/// its connection ends early. With `KILL=1` all daemons are killed at once in place of the rolling
/// restart, and the streams are spread over them.
fn origins(trouble: bool) -> io::Result<bool> {
    const STREAMS: usize = 24;
    const GAP: Duration = Duration::from_millis(1_000);
    const KILL_AFTER: Duration = Duration::from_millis(3_000);
    let site = Arc::new(Site::start(4, 260)?);
    let log = Arc::clone(&site.log);
    let calm = Arc::new(AtomicBool::new(false));
    let shape = StreamShape { events: 90, gap: Duration::from_millis(150) };
    let mut engines = Vec::new();
    for number in 0..4 {
        let version = if number < 2 { "v1" } else { "v2" };
        engines.push(site.engine(number, "llm", version, shape, None, &calm)?);
    }
    site.configure(15_000, 200, 2);
    let daemons = Arc::new(Mutex::new(new_daemons(&site)?));
    thread::sleep(Duration::from_secs(6));
    let last = site.daemons - 1;
    let kills = number("KILL", 0) == 1;
    let started: Arc<Mutex<Vec<Instant>>> = Arc::new(Mutex::new(vec![Instant::now() - Duration::from_secs(6); site.daemons]));
    let stopping: Arc<Mutex<Vec<bool>>> = Arc::new(Mutex::new(vec![false; site.daemons]));

    let taken_up = Arc::new(Mutex::new((0_usize, 0_usize)));
    let joined = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let site = Arc::clone(&site);
        let (started, stopping) = (Arc::clone(&started), Arc::clone(&stopping));
        let (taken_up, joined) = (Arc::clone(&taken_up), Arc::clone(&joined));
        clients.push(thread::spawn(move || {
            let deadline = Instant::now() + Duration::from_millis(15_000);
            let left = || deadline.saturating_duration_since(Instant::now());
            // Without the disruption, the client's own connection ends when the others' would.
            let first_ms = if trouble { 15_000 } else { 10_900 };
            let parts = format!("5c1e07a2:55,91bd3f06:37,o{number}:291");
            let home = if kills { number % site.daemons } else { last };
            let first = attempt_until(site.callers(home), &Request { deadline_ms: 15_000, parts: parts.clone(), resumes: String::new(), after: 0 }, first_ms);
            site.log.line(&format!("client {number} first try {} at daemon {home}: status {}, last event {}, complete {}", first.id, first.status, first.last_event, first.is_complete));
            let (origin, mut known) = (first.id.clone(), first);
            let mut versions = known.versions.clone();
            for retry in 0..3 {
                if known.is_complete || known.last_event == 0 || left() < Duration::from_millis(200) {
                    break;
                }
                if retry > 0 {
                    thread::sleep(Duration::from_secs_f64(known.retry_after.max(0.05)).min(left() / 3));
                }
                let in_touch = || {
                    (0..last).map(|step| (number + retry + step) % last).find(|index| {
                        !stopping.lock().unwrap()[*index] && started.lock().unwrap()[*index].elapsed() > CONTACT && site.is_ready(*index)
                    })
                };
                let mut chosen = in_touch();
                while chosen.is_none() && left() > Duration::from_millis(200) {
                    thread::sleep(Duration::from_millis(100));
                    chosen = in_touch();
                }
                let Some(index) = chosen else {
                    break;
                };
                let deadline_ms = left().as_millis() as u64;
                let next = attempt(site.callers(index), &Request { deadline_ms, parts: parts.clone(), resumes: origin.clone(), after: known.last_event });
                let went_on = next.status == 200 && next.last_event > known.last_event;
                let mut counts = taken_up.lock().unwrap();
                counts.0 += 1;
                counts.1 += usize::from(went_on);
                drop(counts);
                versions.extend(next.versions.clone());
                site.log.line(&format!("client {number} takes {origin} up after event {} at daemon {index} as {}: status {}, last event {}, complete {}, went on {went_on}", known.last_event, next.id, next.status, next.last_event, next.is_complete));
                known = Outcome { last_event: next.last_event.max(known.last_event), ..next };
            }
            versions.dedup();
            if versions.len() > 1 {
                joined.fetch_add(1, Ordering::Relaxed);
            }
            known.is_complete
        }));
    }

    // The rolling restart: SIGTERM to one daemon after the other.
    thread::sleep(Duration::from_millis(500));
    let mut rolls = Vec::new();
    for index in 0..site.daemons {
        if !trouble {
            break;
        }
        let (site, daemons) = (Arc::clone(&site), Arc::clone(&daemons));
        let (started, stopping) = (Arc::clone(&started), Arc::clone(&stopping));
        rolls.push(thread::spawn(move || {
            if kills {
                thread::sleep(KILL_AFTER);
            } else {
                thread::sleep(GAP * index as u32);
            }
            let mut child = daemons.lock().unwrap().0[index].take().expect("it runs");
            stopping.lock().unwrap()[index] = true;
            let (name, number) = if kills { ("SIGKILL", SIGKILL) } else { ("SIGTERM", SIGTERM) };
            site.log.line(&format!("{name} to daemon {index}"));
            signal(child.id(), number);
            let until = Instant::now() + Duration::from_secs(8);
            while matches!(child.try_wait(), Ok(None)) {
                if Instant::now() > until {
                    site.log.line(&format!("SIGKILL to daemon {index}"));
                    drop(child.kill());
                    drop(child.wait());
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
            forget(child.id());
            site.log.line(&format!("daemon {index} ended"));
            thread::sleep(Duration::from_millis(300));
            if let Ok(child) = site.spawn(index, false) {
                daemons.lock().unwrap().0[index] = Some(child);
            }
            started.lock().unwrap()[index] = Instant::now();
            stopping.lock().unwrap()[index] = false;
        }));
    }

    // New streams at the same time.
    thread::sleep(Duration::from_millis(9_500));
    let mut new = (0_usize, 0_usize);
    for number in 0..STREAMS {
        let parts = format!("5c1e07a2:55,91bd3f06:37,n{number}:291");
        let outcome = attempt_until(site.callers(number % last), &Request { deadline_ms: 3_000, parts, resumes: String::new(), after: 0 }, 400);
        new.0 += 1;
        new.1 += usize::from(outcome.last_event > 0);
    }
    let finished = clients.into_iter().filter(|_| true).map(|client| client.join().unwrap_or(false)).filter(|complete| *complete).count();
    for roll in rolls {
        drop(roll.join());
    }
    let (tries, went_on) = *taken_up.lock().unwrap();
    let share = went_on as f64 / tries.max(1) as f64;
    let new_share = new.1 as f64 / new.0.max(1) as f64;
    log.say(&format!("streams taken up at machines in touch: {tries}, went on: {went_on} ({share:.2}); new streams: {}, began: {} ({new_share:.2}); streams finished: {finished} of {STREAMS}; streams of two versions: {}", new.0, new.1, joined.load(Ordering::Relaxed)));
    if new.1 == 0 || (tries < 12 && trouble) {
        return Err(io::Error::other("too few streams"));
    }
    Ok(tries < 12 || share >= new_share / 2.0)
}

/// Like [`attempt`], but the client's connection ends after `limit_ms`.
fn attempt_until(address: SocketAddr, request: &Request, limit_ms: u64) -> Outcome {
    let mut outcome = Outcome { id: format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed) | 0x9c41_0000_0000_0000), last_event: request.after, ..Outcome::default() };
    LIMIT.with(|limit| limit.set(Some(Instant::now() + Duration::from_millis(limit_ms))));
    drop(run_attempt(address, request, &mut outcome));
    LIMIT.with(|limit| limit.set(None));
    outcome
}

thread_local! {
    static LIMIT: std::cell::Cell<Option<Instant>> = const { std::cell::Cell::new(None) };
}

// ---------------------------------------------------------------- answers without an end

/// The streams in flight of a small deployment whose answers do not end (8.44 a second for 5 s and 73.8 a
/// second for 3 s), at the one machine that is left. Their engines send events without an end.
fn memory(trouble: bool) -> io::Result<bool> {
    const CLIENTS: usize = 264;
    const MEMORY_MB: u64 = 260;
    let site = Arc::new(Site::start(1, MEMORY_MB)?);
    let log = Arc::clone(&site.log);
    let endless = Arc::new(AtomicBool::new(false));
    let shape = StreamShape { events: 11, gap: Duration::from_millis(20) };
    let mut engines = Vec::new();
    for number in 0..12 {
        engines.push(site.engine(number, "llm", "v1", shape, None, &endless)?);
    }
    site.configure(5_000, 150, 1);
    let daemons = new_daemons(&site)?;
    thread::sleep(Duration::from_secs(4));
    let process = daemons.0[0].as_ref().map_or(0, Child::id);
    log.say(&format!("memory of the daemon before: {} MB", resident(process) >> 20));
    endless.store(trouble, Ordering::Relaxed);
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let site = Arc::clone(&site);
        clients.push(thread::spawn(move || {
            let parts = format!("5c1e07a2:55,o{number}:291");
            let outcome = attempt(site.callers(0), &Request { deadline_ms: 5_000, parts, resumes: String::new(), after: 0 });
            site.log.line(&format!("client {number} {}: status {}, last event {}, complete {}", outcome.id, outcome.status, outcome.last_event, outcome.is_complete));
            outcome.is_complete
        }));
    }
    let began = Instant::now();
    let mut most = 0;
    let mut is_over = false;
    while began.elapsed() < Duration::from_secs(7) {
        let now = resident(process);
        if now > most {
            most = now;
            log.line(&format!("memory of the daemon: {} MB", now >> 20));
        }
        if now > MEMORY_MB << 20 && !is_over {
            is_over = true;
            log.say(&format!("over {MEMORY_MB} MB after {:.1} s: the platform kills it", began.elapsed().as_secs_f64()));
            signal(process, SIGKILL);
        }
        thread::sleep(Duration::from_millis(10));
    }
    let complete = clients.into_iter().map(|client| client.join().unwrap_or(false)).filter(|complete| *complete).count();
    log.say(&format!("greatest memory: {} MB of {MEMORY_MB}; streams complete: {complete} of {CLIENTS}", most >> 20));
    if !trouble && complete < CLIENTS / 2 {
        return Err(io::Error::other("calm streams were not served"));
    }
    Ok(!is_over)
}

// ---------------------------------------------------------------- a part that crashes engines

/// Prompts of several shared parts, of which the second crashes each engine that begins to write; with
/// `sound_before` only from the fifth second on.
fn parts(trouble: bool, shared: usize, sound_before: bool) -> io::Result<bool> {
    const BAD: &str = "bad00000";
    let site = Arc::new(Site::start(2, 260)?);
    let log = Arc::clone(&site.log);
    let calm = Arc::new(AtomicBool::new(false));
    let shape = StreamShape { events: 4, gap: Duration::from_millis(10) };
    let mut engines = Vec::new();
    for number in 0..12 {
        engines.push(site.engine(number, "llm", "v1", shape, trouble.then_some(BAD), &calm)?);
    }
    site.configure(3_000, 150, 2);
    let _daemons = new_daemons(&site)?;
    thread::sleep(Duration::from_secs(4));
    let rest: Vec<String> = (2..shared).map(|number| format!("5c{number:06x}:8")).collect();
    let rest = rest.join(",");
    let others = format!("5c000001:8,{rest}");
    let over = Arc::new(AtomicBool::new(false));
    let sound = Arc::new(Mutex::new((0_usize, 0_usize)));
    // Many other requests, or a quiet hour.
    let (sound_clients, sound_pause) = if sound_before { (2, Duration::from_millis(1_000)) } else { (8, Duration::from_millis(100)) };
    let mut clients = Vec::new();
    for client in 0..sound_clients {
        let (site, over, sound, others) = (Arc::clone(&site), Arc::clone(&over), Arc::clone(&sound), others.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !over.load(Ordering::Relaxed) {
                number += 1;
                let request = Request { deadline_ms: 3_000, parts: format!("{others},e{client}{number:06x}:291"), resumes: String::new(), after: 0 };
                let outcome = attempt(site.callers(number % 2), &request);
                let mut counts = sound.lock().unwrap();
                counts.0 += 1;
                counts.1 += usize::from(outcome.is_complete);
                drop(counts);
                thread::sleep(sound_pause);
            }
        }));
    }
    let began = Instant::now();
    let pause = Duration::from_millis(if sound_before { 1_200 } else { 500 });
    let mut number = 0;
    for engine in &engines {
        engine.crashes.store(!sound_before, Ordering::Relaxed);
    }
    while began.elapsed() < Duration::from_secs(40) {
        if sound_before && began.elapsed() > Duration::from_secs(5) {
            for engine in &engines {
                engine.crashes.store(true, Ordering::Relaxed);
            }
        }
        number += 1;
        let request = Request { deadline_ms: 3_000, parts: format!("5c000001:8,{BAD}:8,{rest},f{number:07x}:291"), resumes: String::new(), after: 0 };
        let outcome = attempt(site.callers(number % 2), &request);
        log.line(&format!("request {} with the part: status {}, last event {}", outcome.id, outcome.status, outcome.last_event));
        thread::sleep(pause);
    }
    over.store(true, Ordering::Relaxed);
    for client in clients {
        drop(client.join());
    }
    let crashes = CRASHES.lock().unwrap().clone();
    let late = match crashes.get(4) {
        Some(fifth) => BAD_RUNS.lock().unwrap().iter().filter(|run| **run > *fifth + CONTACT).count(),
        None => 0,
    };
    let (sent, complete) = *sound.lock().unwrap();
    log.say(&format!("{shared} shared parts, sound before: {sound_before}; crashes: {}; requests with the part that reached engines later than contactMs after the fifth: {late}; sound requests complete: {complete} of {sent}", crashes.len()));
    if complete == 0 {
        return Err(io::Error::other("no sound request was served"));
    }
    Ok(late <= 3)
}

// ---------------------------------------------------------------- an engine that comes back with other software

/// Three of twelve engines end, come back under their ids with another version of their software, and end
/// once more.
fn same_id(trouble: bool) -> io::Result<bool> {
    const CLIENTS: usize = 330;
    let site = Arc::new(Site::start(3, 260)?);
    let log = Arc::clone(&site.log);
    let calm = Arc::new(AtomicBool::new(false));
    let shape = StreamShape { events: 40, gap: Duration::from_millis(100) };
    let mut engines = Vec::new();
    for number in 0..12 {
        let next = (number < 3).then_some("v2");
        engines.push(site.changing_engine(number, "llm", "v1", next, shape, None, &calm)?);
    }
    site.configure(8_000, 150, 2);
    let _daemons = new_daemons(&site)?;
    thread::sleep(Duration::from_secs(4));
    let over = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new((0_usize, 0_usize, 0_usize)));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (site, over, counts) = (Arc::clone(&site), Arc::clone(&over), Arc::clone(&counts));
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(12) * client as u32);
            let mut number = 0;
            while !over.load(Ordering::Relaxed) {
                number += 1;
                let parts = format!("5c1e07a2:55,91bd3f06:37,e{client}{number:06x}:291");
                let outcome = attempt(site.callers((client + number) % site.daemons), &Request { deadline_ms: 8_000, parts, resumes: String::new(), after: 0 });
                let mut counts = counts.lock().unwrap();
                counts.0 += 1;
                counts.1 += usize::from(outcome.is_complete);
                counts.2 += usize::from(outcome.versions.len() > 1);
                site.log.line(&format!("stream {}: status {}, versions {}, last event {}, complete {}", outcome.id, outcome.status, outcome.versions.join("+"), outcome.last_event, outcome.is_complete));
                drop(counts);
                thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    thread::sleep(Duration::from_secs(6));
    for end in 0..2 {
        for engine in engines.iter().take(3).filter(|_| trouble) {
            let life = engine.state.lock().unwrap().life;
            engine.crash(life);
        }
        // Down for 2 s, then up for 3 s.
        thread::sleep(Duration::from_secs(if end == 0 { 5 } else { 6 }));
    }
    over.store(true, Ordering::Relaxed);
    for client in clients {
        drop(client.join());
    }
    let (streams, complete, joined) = *counts.lock().unwrap();
    log.say(&format!("streams: {streams}, complete: {complete}, with events of two versions in one answer: {joined}"));
    if complete == 0 {
        return Err(io::Error::other("no stream was served"));
    }
    Ok(joined <= 2)
}

// ---------------------------------------------------------------- a request that crashes engines

/// One try of a plain request; returns its ID and the status, 0 without an answer.
fn plain(address: SocketAddr, body: &str) -> (String, u16) {
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed) | 0x9c41_0000_0000_0000);
    let run = || -> io::Result<u16> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(1_500)))?;
        let mut writer = stream.try_clone()?;
        let head = format!("POST /pule/2f HTTP/1.1\r\nHost: ficu95.example\r\nPonddrift-Request-Id: {id}\r\nPonddrift-Deadline-Ms: 1000\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        writer.write_all(head.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let Some((first, _)) = read_headers(&mut reader)? else {
            return Ok(0);
        };
        Ok(first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0))
    };
    let status = run().unwrap_or(0);
    (id, status)
}

/// A request crashes each of three engines that begins to run it, and comes again each second, at one
/// machine after the other. The engines start again under their ids, or with `SAME_ID=0` under new ones.
fn same_request(trouble: bool) -> io::Result<bool> {
    let keeps_id = number("SAME_ID", 1) == 1;
    let copies = number("COPIES", 1);
    let site = Arc::new(Site::start(3, 260)?);
    let log = Arc::clone(&site.log);
    let calm = Arc::new(AtomicBool::new(false));
    let shape = StreamShape { events: 4, gap: Duration::from_millis(10) };
    let mut engines = Vec::new();
    for number in 0..3 {
        let engine = site.changing_engine(number, "app", "v1", keeps_id.then_some("v1"), shape, None, &calm)?;
        engine.crashes.store(trouble, Ordering::Relaxed);
        engines.push(engine);
    }
    site.configure(3_000, 150, 2);
    let _daemons = new_daemons(&site)?;
    thread::sleep(Duration::from_secs(4));
    let over = Arc::new(AtomicBool::new(false));
    let sound = Arc::new(Mutex::new((0_usize, 0_usize)));
    let mut clients = Vec::new();
    for client in 0..4 {
        let (site, over, sound) = (Arc::clone(&site), Arc::clone(&over), Arc::clone(&sound));
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !over.load(Ordering::Relaxed) {
                number += 1;
                let (_, status) = plain(site.callers(number % 3), &format!("posting {client}-{number}"));
                let mut counts = sound.lock().unwrap();
                counts.0 += 1;
                counts.1 += usize::from(status == 200);
                drop(counts);
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let began = Instant::now();
    let mut round = 0;
    while began.elapsed() < Duration::from_secs(40) {
        let tries: Vec<_> = (0..copies)
            .map(|copy| {
                let site = Arc::clone(&site);
                thread::spawn(move || {
                    let index = (round + copy) % 3;
                    let (id, status) = plain(site.callers(index), CRASH_MARKER);
                    site.log.line(&format!("the request as {id} at daemon {index}: status {status}"));
                })
            })
            .collect();
        for one in tries {
            drop(one.join());
        }
        round += 1;
        thread::sleep(Duration::from_millis(1_000));
    }
    over.store(true, Ordering::Relaxed);
    for client in clients {
        drop(client.join());
    }
    let crashes = CRASHES.lock().unwrap().clone();
    let late = match crashes.get(2) {
        Some(third) => BAD_RUNS.lock().unwrap().iter().filter(|run| **run > *third + CONTACT).count(),
        None => 0,
    };
    let (sent, complete) = *sound.lock().unwrap();
    log.say(&format!("engines keep their ids: {keeps_id}; crashes: {}; arrivals of the request later than contactMs after the third: {late}; other requests served: {complete} of {sent}", crashes.len()));
    if complete == 0 {
        return Err(io::Error::other("no other request was served"));
    }
    Ok(late <= 3)
}
