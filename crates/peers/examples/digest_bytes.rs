//! Prints the bytes per second that a node spends on digests, and the time to encode and decode one.
//!
//! Sizes are those of frames as passed to TCP. The last column adds 52 bytes of IP and TCP headers for each
//! frame and for its acknowledgement. Run it with `--release`.

use {
    goldcreststall_core::{
        ids::{EntryId, EntryName, Incarnation, LocalTime, Millis, ServiceName},
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_peers::{
        decisions::{DIGEST_INTERVAL, DigestPacer, DigestPlan, NODE_BUDGET_BYTES},
        wire::{
            DigestContent, DigestDecoder, DigestEncoder, Frame, Hello, LENGTH_PREFIX_BYTES,
            LogPosition, ServiceDemand,
        },
    },
    std::{hint::black_box, sync::Arc, time::Instant},
};

const HEADER_BYTES: u64 = 52;
const ROUNDS: u32 = 20_000;
const SECONDS: u64 = 600;

#[derive(Clone, Copy, Debug)]
enum Load {
    /// Nothing changes, not even the offset.
    Quiet,
    /// The log grows by 100 entries per second, and the demand for one service in eight changes each second.
    Usual,
    /// Every demand changes in every interval, and the log grows by 300 entries per second.
    Flood,
}

fn content(load: Load, services: u32, now: LocalTime) -> DigestContent {
    let tick = now.0 / DIGEST_INTERVAL.0;
    let (offset, changes) = match load {
        Load::Quiet => (0, 0),
        Load::Usual => (now.0 / 10, now.0 / 1_000),
        Load::Flood => (now.0 * 3 / 10, tick),
    };
    let rows = (0..services).map(|number| {
        let phase = match load {
            Load::Usual => (changes + u64::from(number)) / 8,
            _ => changes,
        };
        ServiceDemand {
            requests: 20 + ((phase * 7_919 + u64::from(number) * 31) % 300) as u32,
            service: ServiceName::try_from(format!("service-{number:02}")).unwrap(),
        }
    });
    let position = LogPosition {
        log: LogIdentity(7),
        next: LogOffset(10_000_000 + offset),
    };
    DigestContent::new(Some(position), rows.collect(), Vec::new(), false)
}

fn hello() -> Hello {
    let name = EntryName::try_from("entry-01").unwrap();
    let incarnation = Incarnation(1_800_000_000_000);
    Hello {
        first_sequence: 0,
        from: EntryId { incarnation, name },
        to: EntryName::try_from("entry-02").unwrap(),
    }
}

#[derive(Default)]
struct Totals {
    bytes: u64,
    demand_gap: Millis,
    frames: u64,
    largest: usize,
}

fn run(hosts: usize, services: u32, load: Load) -> Totals {
    let mut now = LocalTime(0);
    let mut demand_sent = now;
    let mut encoder = DigestEncoder::default();
    let mut pacer = DigestPacer::new(now, NODE_BUDGET_BYTES, hosts - 1);
    let mut totals = Totals::default();
    while now < LocalTime(SECONDS * 1_000) {
        let content = Arc::new(content(load, services, now));
        let plan = pacer.plan(now, encoder.change(&content));
        if plan != DigestPlan::Skip {
            let digest = encoder.encode(content, plan == DigestPlan::Full);
            let bytes = Frame::Digest(digest).encode().len() + LENGTH_PREFIX_BYTES;
            pacer.charge(now, bytes);
            totals.bytes += bytes as u64;
            totals.frames += 1;
            // The first digest names the services and is sent once per connection.
            if now > LocalTime(0) {
                totals.largest = totals.largest.max(bytes);
            }
        }
        if plan == DigestPlan::Full {
            totals.demand_gap = totals.demand_gap.max(now.since(demand_sent));
            demand_sent = now;
        }
        now = now + DIGEST_INTERVAL;
    }
    totals
}

fn print_bytes() {
    println!(
        "hosts services load   digests/s bytes/digest largest sent-B/s both-B/s demand-gap both+headers-B/s"
    );
    for hosts in [7, 21, 42] {
        for services in [5, 24, 48] {
            for load in [Load::Quiet, Load::Usual, Load::Flood] {
                let totals = run(hosts, services, load);
                let peers = hosts as u64 - 1;
                let sent = totals.bytes * peers / SECONDS;
                // Both a frame and its acknowledgement have headers; the sum covers both directions.
                let headers = totals.frames * peers * HEADER_BYTES * 2 / SECONDS;
                println!(
                    "{hosts:5} {services:8} {:6} {:9.2} {:12.1} {:7} {sent:8} {:8} {:>10} {:16}",
                    format!("{load:?}"),
                    totals.frames as f64 / SECONDS as f64,
                    totals.bytes as f64 / totals.frames as f64,
                    totals.largest,
                    sent * 2,
                    totals.demand_gap.to_string(),
                    (sent + headers) * 2,
                );
            }
        }
    }
}

fn print_times() {
    println!("services encode-ns decode-ns (every demand changes)");
    for services in [5, 24, 48] {
        let contents = [0, 200].map(|now| Arc::new(content(Load::Flood, services, LocalTime(now))));
        let mut encoder = DigestEncoder::default();
        let start = Instant::now();
        let frames: Vec<_> = (0..ROUNDS)
            .map(|round| {
                let content = Arc::clone(&contents[round as usize % 2]);
                black_box(encoder.change(&content));
                Frame::Digest(encoder.encode(content, true)).encode()
            })
            .collect();
        let encode = start.elapsed() / ROUNDS;
        let mut decoder = DigestDecoder::new(&hello());
        let start = Instant::now();
        for frame in frames {
            match Frame::decode(frame.as_ref().into()) {
                Ok(Frame::Digest(raw)) => drop(black_box(decoder.decode(raw).unwrap())),
                other => panic!("not a digest: {other:?}"),
            }
        }
        let decode = start.elapsed() / ROUNDS;
        println!(
            "{services:8} {:9} {:9}",
            encode.as_nanos(),
            decode.as_nanos()
        );
    }
}

fn main() {
    print_bytes();
    print_times();
}
