//! The platform's store: a log with keyed topics, as PROTOCOL.md describes it.
use crate::{
    http::{Request, Response, reply},
    json::{base64, quote},
};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    outcomes: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: BTreeMap<String, Producer>,
}

/// `keep_s`: how long a record is kept.
pub const KEEP: Duration = Duration::from_secs(20);

impl Topic {
    /// Drops the records that have expired; the newest record of each key stays.
    fn expire(&mut self) {
        while self
            .records
            .front()
            .is_some_and(|(at, _)| at.elapsed() > KEEP)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    appended: Condvar,
}

/// One way to the store: that of one machine. While it is cut, calls are neither executed nor answered.
#[derive(Clone, Default)]
pub struct StoreLink {
    pub cut: Arc<AtomicBool>,
}

impl StoreLink {
    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

impl Store {
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        append(
            topics.entry(topic.to_owned()).or_default(),
            vec![record],
            true,
        );
        drop(topics);
        self.appended.notify_all();
    }

    /// Drops the retained records of all topics; the newest record of each key stays.
    pub fn forget_history(&self) {
        for topic in self.topics.lock().unwrap().values_mut() {
            topic.first = topic.end();
            topic.records.clear();
        }
    }

    pub fn handle(&self, link: &StoreLink, request: &Request) -> Option<Response> {
        thread::sleep(Duration::from_millis(4));
        if link.is_cut() {
            return silence(link);
        }
        let response = match request.path.as_str() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(link, request),
            "/log-newest" => self.newest(request),
            _ => reply(404, ""),
        };
        if link.is_cut() {
            return silence(link);
        }
        response
    }

    fn append(&self, request: &Request) -> Option<Response> {
        let name = request.field("Topic")?.to_owned();
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes(rest[..4].try_into().ok()?) as usize;
            records.push(rest.get(4..4 + length)?.to_vec());
            rest = &rest[4 + length..];
        }
        if records.iter().any(|record| record.len() > 262_144) || request.body.len() > 2_097_152 {
            return reply(400, "");
        }
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.clone()).or_default();
        let keyed = name.starts_with("keyed.");
        if let Some(at) = request.number("At") {
            if at != topic.end() {
                return reply(412, format!("{{\"End\":{}}}", topic.end()));
            }
        }
        let producer = request.field("Producer").map(ToOwned::to_owned);
        let (epoch, sequence) = (
            request.number("epoch").unwrap_or(0),
            request.number("Sequence").unwrap_or(0),
        );
        if let Some(producer) = &producer {
            let state = topic.producers.entry(producer.clone()).or_default();
            if epoch < state.epoch {
                return reply(409, "{\"Reason\":\"fenced\"}");
            }
            if epoch > state.epoch {
                *state = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if !records.is_empty() {
                if let Some((_, outcome)) = state.outcomes.iter().find(|(s, _)| *s == sequence) {
                    return reply(200, outcome.clone());
                }
                if let Some(expected) = state.next.filter(|next| *next != sequence) {
                    return reply(
                        409,
                        format!("{{\"Reason\":\"seq\",\"Sequence\":{expected}}}"),
                    );
                }
            }
        }
        let was_empty = records.is_empty();
        let offset = topic.end();
        append(topic, records, keyed);
        let outcome = format!("{{\"Offset\":{offset},\"End\":{}}}", topic.end());
        if let Some(producer) = producer.filter(|_| !was_empty) {
            let state = topic.producers.entry(producer).or_default();
            state.next = Some(sequence + 1);
            state.outcomes.push_back((sequence, outcome.clone()));
            if state.outcomes.len() > 5 {
                state.outcomes.pop_front();
            }
        }
        drop(topics);
        self.appended.notify_all();
        reply(200, outcome)
    }

    fn read(&self, link: &StoreLink, request: &Request) -> Option<Response> {
        let name = request.field("Topic")?;
        let from = request.number("From")?;
        let deadline =
            Instant::now() + Duration::from_millis(request.number("WaitMs").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.get_mut(name);
            if let Some(topic) = topic {
                topic.expire();
                if from < topic.first {
                    return reply(410, format!("{{\"First\":{}}}", topic.first));
                }
                if from < topic.end() || Instant::now() >= deadline {
                    let mut body = topic.end().to_be_bytes().to_vec();
                    body.extend(topic.first.to_be_bytes());
                    let mut total = 0;
                    for (_, record) in topic.records.iter().skip((from - topic.first) as usize) {
                        total += record.len() + 4;
                        if total > 1_048_576 && total > record.len() + 4 {
                            break;
                        }
                        body.extend((record.len() as u32).to_be_bytes());
                        body.extend(record);
                    }
                    return reply(200, body);
                }
            } else if Instant::now() >= deadline {
                return reply(404, "");
            }
            if link.is_cut() {
                return None;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let wait = left
                .min(Duration::from_millis(50))
                .max(Duration::from_millis(1));
            topics = self.appended.wait_timeout(topics, wait).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Option<Response> {
        let topics = self.topics.lock().unwrap();
        let Some(topic) = topics.get(request.field("Topic")?) else {
            return reply(404, "");
        };
        let after = request.field("After").unwrap_or("").to_owned();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (offset, value)) in topic.newest.range(after.clone()..) {
            if *key == after {
                continue;
            }
            if items.len() >= 500 || bytes > 1_000_000 {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(format!(
                "{{\"Key\":{},\"Value\":\"{}\",\"Offset\":{offset}}}",
                quote(key),
                base64(value)
            ));
        }
        let body = format!(
            "{{\"items\":[{}],\"MorePages\":{more},\"End\":{}}}",
            items.join(","),
            topic.end()
        );
        reply(200, body)
    }
}

fn append(topic: &mut Topic, records: Vec<Vec<u8>>, keyed: bool) {
    for record in records {
        if keyed && !record.is_empty() && record.len() > record[0] as usize {
            let length = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = record[length + 1..].to_vec();
            if value.is_empty() {
                topic.newest.remove(&key);
            } else {
                topic.newest.insert(key, (topic.end(), value));
            }
        }
        topic.records.push_back((Instant::now(), record));
    }
}

/// A call that was cut off gets no response; its connection ends when the cut does.
fn silence(link: &StoreLink) -> Option<Response> {
    while link.is_cut() {
        thread::sleep(Duration::from_millis(20));
    }
    None
}
