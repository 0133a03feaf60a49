use {
    super::deployment::ENTRY_HOSTS,
    goldcreststall_core::traffic::Urgency,
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// A request that a caller makes.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Arrival in microseconds.
    pub arrival: u64,
    /// The entry host that the load balancer picks.
    pub entry: usize,
    /// Whether the request belongs to the flood that is measured against.
    pub flood: bool,
    /// Number of the service.
    pub service: usize,
    /// Time that a target needs, in microseconds.
    pub size: u64,
    /// Number of the organisation.
    pub organisation: usize,
    /// Class of the request.
    pub urgency: Urgency,
}

impl Request {
    /// Tells whether somebody waits for the answer.
    pub fn is_urgent(&self) -> bool {
        self.urgency == Urgency::Urgent
    }

    /// Returns when the answer has to be complete, in microseconds.
    pub fn deadline(&self) -> u64 {
        self.arrival + deadline_ms(self.urgency) * 1_000
    }
}

/// Requests of one kind at a constant mean rate.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Whether entry host 0 gets half of the requests before the rest is shared evenly, 57% in all.
    pub crowded: bool,
    /// End in seconds.
    pub end: f64,
    /// Whether the requests belong to the flood.
    pub flood: bool,
    /// Load in slots: rate multiplied by the mean size.
    pub load: f64,
    /// Number of the service.
    pub service: usize,
    /// Start in seconds.
    pub start: f64,
    /// First organisation and number of organisations, which ask equally often.
    pub organisations: (usize, usize),
    /// Class of the requests.
    pub urgency: Urgency,
}

/// Returns the mean size of a class in milliseconds.
pub fn mean_size_ms(urgency: Urgency) -> f64 {
    match urgency {
        Urgency::Urgent => 60.0,
        Urgency::Normal => 100.0,
        Urgency::Overnight => 200.0,
    }
}

/// Returns the time that callers of a class leave, in milliseconds.
pub fn deadline_ms(urgency: Urgency) -> u64 {
    match urgency {
        Urgency::Urgent => 2_000,
        Urgency::Normal => 5_000,
        Urgency::Overnight => 60_000,
    }
}

/// Part of each class in mixed work, by slot time.
const MIX: [(Urgency, f64); 3] = [
    (Urgency::Urgent, 0.3),
    (Urgency::Normal, 0.5),
    (Urgency::Overnight, 0.2),
];

/// Returns the streams of mixed work of one service; `span` is in seconds.
pub fn mixed(service: usize, load: f64, span: (f64, f64), organisations: usize) -> Vec<Stream> {
    let streams = MIX.iter().map(|(urgency, part)| Stream {
        crowded: false,
        end: span.1,
        flood: false,
        load: load * part,
        service,
        start: span.0,
        organisations: (0, organisations),
        urgency: *urgency,
    });
    streams.collect()
}

/// Draws the requests of all streams in order of arrival. Each stream has its own generator, so that a
/// run without the flood sees the same other requests.
pub fn draw(streams: &[Stream], seed: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    for (number, stream) in streams.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed * 1_000 + number as u64);
        draw_stream(stream, &mut random, &mut requests);
    }
    requests.sort_by_key(|request| request.arrival);
    requests
}

fn draw_stream(stream: &Stream, random: &mut StdRng, requests: &mut Vec<Request>) {
    let mean = mean_size_ms(stream.urgency);
    let gap = mean / 1_000.0 / stream.load;
    let mut time = stream.start;
    loop {
        time += gap * exponential(random);
        if time >= stream.end {
            return;
        }
        let (first, count) = stream.organisations;
        requests.push(Request {
            arrival: (time * 1e6) as u64,
            entry: draw_entry(stream, random),
            flood: stream.flood,
            service: stream.service,
            size: ((mean * 1_000.0 * exponential(random)) as u64).max(1_000),
            organisation: first + random.random_range(0..count),
            urgency: stream.urgency,
        });
    }
}

fn draw_entry(stream: &Stream, random: &mut StdRng) -> usize {
    if stream.crowded && random.random_bool(0.5) {
        return 0;
    }
    random.random_range(0..ENTRY_HOSTS)
}

fn exponential(random: &mut StdRng) -> f64 {
    let uniform: f64 = random.random();
    -(1.0 - uniform).ln()
}
