use {
    super::deployment::ENTRY_HOSTS,
    goldcreststall_core::traffic::Urgency,
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Arrival time in microseconds.
    pub arrival: u64,
    /// Number of the entry host picked by the load balancer.
    pub entry: usize,
    /// Whether the request belongs to the flood whose effect on the other requests is measured.
    pub flood: bool,
    /// Number of the service.
    pub service: usize,
    /// Service time on a target that is not overloaded, in microseconds.
    pub size: u64,
    /// Number of the organisation.
    pub organisation: usize,
    /// Urgency class of the request.
    pub urgency: Urgency,
}

impl Request {
    /// Returns whether someone waits for the response.
    pub fn is_urgent(&self) -> bool {
        self.urgency == Urgency::Urgent
    }

    /// Returns the time by which the response has to be complete, in microseconds.
    pub fn deadline(&self) -> u64 {
        self.arrival + deadline_ms(self.urgency) * 1_000
    }
}

/// Requests of one kind at a constant mean rate.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Whether entry host 0 gets half of the requests and its even share of the rest, 57% in total.
    pub skewed: bool,
    /// End time in seconds.
    pub end: f64,
    /// Whether the requests belong to the flood; see [`Request::flood`].
    pub flood: bool,
    /// Offered load in slots: arrival rate multiplied by the mean size.
    pub load: f64,
    /// Number of the service.
    pub service: usize,
    /// Start time in seconds.
    pub start: f64,
    /// First organisation and number of organisations; all send at the same rate.
    pub organisations: (usize, usize),
    /// Urgency class of the requests.
    pub urgency: Urgency,
}

/// Returns the mean request size of a class in milliseconds.
pub fn mean_size_ms(urgency: Urgency) -> f64 {
    match urgency {
        Urgency::Urgent => 60.0,
        Urgency::Normal => 100.0,
        Urgency::Overnight => 200.0,
    }
}

/// Returns how long after arrival the deadline of a class is, in milliseconds.
pub fn deadline_ms(urgency: Urgency) -> u64 {
    match urgency {
        Urgency::Urgent => 2_000,
        Urgency::Normal => 5_000,
        Urgency::Overnight => 60_000,
    }
}

/// Fraction of the slot time that each class has in mixed work.
const CLASS_MIX: [(Urgency, f64); 3] = [
    (Urgency::Urgent, 0.3),
    (Urgency::Normal, 0.5),
    (Urgency::Overnight, 0.2),
];

/// Returns the streams of mixed work of one service; `load` is in slots, `span` is the start and end in seconds.
pub fn mixed(service: usize, load: f64, span: (f64, f64), organisations: usize) -> Vec<Stream> {
    let streams = CLASS_MIX.iter().map(|(urgency, fraction)| Stream {
        skewed: false,
        end: span.1,
        flood: false,
        load: load * fraction,
        service,
        start: span.0,
        organisations: (0, organisations),
        urgency: *urgency,
    });
    streams.collect()
}

/// Draws the requests of all streams and sorts them by arrival. Each stream has its own generator, so a run without
/// the flood gets the same requests in all other streams.
pub fn draw_requests(streams: &[Stream], seed: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    for (number, stream) in streams.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed * 1_000 + number as u64);
        draw_stream(stream, &mut random, &mut requests);
    }
    requests.sort_by_key(|request| request.arrival);
    requests
}

fn draw_stream(stream: &Stream, random: &mut StdRng, requests: &mut Vec<Request>) {
    let mean_ms = mean_size_ms(stream.urgency);
    let mean_gap = mean_ms / 1_000.0 / stream.load;
    let mut time = stream.start;
    loop {
        time += mean_gap * exponential(random);
        if time >= stream.end {
            return;
        }
        let (first, count) = stream.organisations;
        requests.push(Request {
            arrival: (time * 1e6) as u64,
            entry: draw_entry(stream, random),
            flood: stream.flood,
            service: stream.service,
            size: ((mean_ms * 1_000.0 * exponential(random)) as u64).max(1_000),
            organisation: first + random.random_range(0..count),
            urgency: stream.urgency,
        });
    }
}

fn draw_entry(stream: &Stream, random: &mut StdRng) -> usize {
    if stream.skewed && random.random_bool(0.5) {
        return 0;
    }
    random.random_range(0..ENTRY_HOSTS)
}

/// Returns an exponentially distributed number with mean 1.
fn exponential(random: &mut StdRng) -> f64 {
    let uniform: f64 = random.random();
    -(1.0 - uniform).ln()
}
