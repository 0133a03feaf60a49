//! The platform's metadata store: a log with keyed topics. Only partition 0 of each topic is used.

use {
    crate::http::{Request, Response},
    std::{
        sync::{Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Time that the store takes for each call.
const RESPONSE_TIME: Duration = Duration::from_millis(4);
/// Latest appends of a producer whose responses are repeated.
const KEPT_RESPONSES: usize = 5;
/// Most records in one page of the newest records.
const PAGE_RECORDS: usize = 500;
const MAX_READ_BYTES: usize = 1024 * 1024;

#[derive(Default)]
struct Producer {
    name: String,
    epoch: u64,
    next: Option<u64>,
    responses: Vec<(u64, Response)>,
}

#[derive(Default)]
struct Topic {
    name: String,
    records: Vec<Vec<u8>>,
    /// Key, offset and value, sorted by key.
    newest: Vec<(String, usize, Vec<u8>)>,
    producers: Vec<Producer>,
}

impl Topic {
    fn add(&mut self, records: Vec<Vec<u8>>) -> Response {
        let offset = self.records.len();
        for record in records {
            if self.name.starts_with("keyed.") {
                self.update_newest(&record);
            }
            self.records.push(record);
        }
        let end = self.records.len();
        Response::new(200, format!("{{\"Offset\":{offset},\"End\":{end}}}"))
    }

    fn update_newest(&mut self, record: &[u8]) {
        let length = usize::from(*record.first().unwrap_or(&0));
        let key = String::from_utf8_lossy(record.get(1..=length).unwrap_or_default()).into_owned();
        let value = record.get(1 + length..).unwrap_or_default().to_vec();
        let offset = self.records.len();
        match self
            .newest
            .binary_search_by(|(other, _, _)| other.cmp(&key))
        {
            Ok(index) if value.is_empty() => {
                self.newest.remove(index);
            }
            Ok(index) => self.newest[index] = (key, offset, value),
            Err(_) if value.is_empty() => {}
            Err(index) => self.newest.insert(index, (key, offset, value)),
        }
    }

    fn append(&mut self, request: &Request, records: Vec<Vec<u8>>) -> Response {
        let end = self.records.len();
        if request
            .query_number("At")
            .is_some_and(|at| at != end as u64)
        {
            return Response::new(412, format!("{{\"End\":{end}}}"));
        }
        let Some(name) = request.query("Producer") else {
            return self.add(records);
        };
        let epoch = request.query_number("epoch").unwrap_or(0);
        let sequence = request.query_number("Sequence").unwrap_or(0);
        let index = self.producers.iter().position(|other| other.name == name);
        let index = index.unwrap_or_else(|| {
            self.producers.push(Producer {
                name: name.to_owned(),
                ..Producer::default()
            });
            self.producers.len() - 1
        });
        let producer = &mut self.producers[index];
        if epoch < producer.epoch {
            return Response::new(409, "{\"Reason\":\"fenced\"}");
        }
        if epoch > producer.epoch {
            producer.epoch = epoch;
            producer.next = None;
            producer.responses.clear();
        }
        if records.is_empty() {
            return self.add(records);
        }
        let repeated = producer
            .responses
            .iter()
            .find(|(known, _)| *known == sequence);
        if let Some((_, response)) = repeated {
            return response.clone();
        }
        if let Some(expected) = producer.next.filter(|next| *next != sequence) {
            let body = format!("{{\"Reason\":\"seq\",\"Sequence\":{expected}}}");
            return Response::new(409, body);
        }
        let response = self.add(records);
        let producer = &mut self.producers[index];
        producer.next = Some(sequence + 1);
        producer.responses.push((sequence, response.clone()));
        if producer.responses.len() > KEPT_RESPONSES {
            producer.responses.remove(0);
        }
        response
    }
}

/// The store.
#[derive(Default)]
pub struct Store {
    topics: Mutex<Vec<Topic>>,
    changed: Condvar,
}

impl Store {
    /// Writes the newest record of a key; an empty value removes it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.with_topic(topic, |topic| topic.add(vec![record]));
        self.changed.notify_all();
    }

    fn with_topic<T>(&self, name: &str, action: impl FnOnce(&mut Topic) -> T) -> T {
        let mut topics = self.topics.lock().unwrap();
        let index = topics.iter().position(|topic| topic.name == name);
        let index = index.unwrap_or_else(|| {
            topics.push(Topic {
                name: name.to_owned(),
                ..Topic::default()
            });
            topics.len() - 1
        });
        action(&mut topics[index])
    }

    /// Answers a call.
    pub fn handle(&self, request: &Request) -> Option<Response> {
        thread::sleep(RESPONSE_TIME);
        let topic = request.query("Topic")?;
        match request.path.as_str() {
            "/log-append" => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return Some(Response::new(403, ""));
                }
                let records = split_records(&request.body)?;
                let response = self.with_topic(topic, |topic| topic.append(request, records));
                self.changed.notify_all();
                Some(response)
            }
            "/log-read" => Some(self.read(topic, request)),
            "/log-newest" => Some(self.newest(topic, request)),
            _ => Some(Response::new(404, "")),
        }
    }

    fn read(&self, name: &str, request: &Request) -> Response {
        let from = request.query_number("From").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.query_number("WaitMs").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.iter().find(|topic| topic.name == name);
            let has_records = topic.is_some_and(|topic| topic.records.len() > from);
            let left = deadline.saturating_duration_since(Instant::now());
            if has_records || left.is_zero() {
                return topic
                    .map_or_else(|| Response::new(404, ""), |topic| encode_read(topic, from));
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, name: &str, request: &Request) -> Response {
        let after = request.query("After").unwrap_or_default().to_owned();
        let topics = self.topics.lock().unwrap();
        let Some(topic) = topics.iter().find(|topic| topic.name == name) else {
            return Response::new(404, "");
        };
        let rows: Vec<_> = topic
            .newest
            .iter()
            .filter(|(key, _, _)| *key > after)
            .collect();
        let items: Vec<String> = rows
            .iter()
            .take(PAGE_RECORDS)
            .map(|(key, offset, value)| {
                let key = crate::json::quote(key);
                let value = base64(value);
                format!("{{\"Key\":{key},\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        let more = rows.len() > PAGE_RECORDS;
        let end = topic.records.len();
        let items = items.join(",");
        Response::new(
            200,
            format!("{{\"items\":[{items}],\"MorePages\":{more},\"End\":{end}}}"),
        )
    }
}

fn encode_read(topic: &Topic, from: usize) -> Response {
    let mut body = Vec::new();
    body.extend_from_slice(&(topic.records.len() as u64).to_be_bytes());
    body.extend_from_slice(&0_u64.to_be_bytes());
    for record in topic.records.iter().skip(from) {
        if body.len() > MAX_READ_BYTES {
            break;
        }
        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
        body.extend_from_slice(record);
    }
    Response::new(200, body)
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let padded = [
            part[0],
            *part.get(1).unwrap_or(&0),
            *part.get(2).unwrap_or(&0),
        ];
        let word = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let index = (word >> (18 - 6 * place)) as usize & 63;
            let letter = if place <= part.len() {
                LETTERS[index]
            } else {
                b'='
            };
            text.push(letter as char);
        }
    }
    text
}
