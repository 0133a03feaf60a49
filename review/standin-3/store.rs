//! The platform's metadata store: a log with keyed topics, in memory.

use crate::http::{Reply, Request};
use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_RECORDS: usize = 500;
const REPEATED_APPENDS: usize = 5;

#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    answers: Vec<(u64, String)>,
}

#[derive(Debug, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: BTreeMap<String, Producer>,
}

impl Topic {
    fn push(&mut self, record: Vec<u8>, is_keyed: bool) {
        if is_keyed && let Some((key, value)) = split_key(&record) {
            let offset = self.records.len() as u64;
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value));
            }
        }
        self.records.push(record);
    }
}

#[derive(Debug, Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    appended: Condvar,
}

impl Store {
    /// Writes a record as an operator or a runner does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(record, true);
        self.appended.notify_all();
    }

    /// Returns the number of records of a topic.
    pub fn end(&self, topic: &str) -> usize {
        let topics = self.topics.lock().unwrap();
        topics.get(topic).map_or(0, |topic| topic.records.len())
    }

    pub fn handle(&self, request: &Request) -> Option<Reply> {
        thread::sleep(ANSWER_TIME);
        let name = request.field("Topic").unwrap_or_default().to_owned();
        match request.path.as_str() {
            "/log-append" => Some(self.append(&name, request)),
            "/log-read" => Some(self.read(&name, request)),
            "/log-newest" => Some(self.newest(&name, request)),
            _ => Some(Reply::new(404, "")),
        }
    }

    fn append(&self, name: &str, request: &Request) -> Reply {
        if name == "keyed.op" || name == "keyed.servers" {
            return Reply::new(403, "");
        }
        let Some(records) = split_records(&request.body) else {
            return Reply::new(400, "");
        };
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let end = topic.records.len() as u64;
        if request.number("At").is_some_and(|at| at != end) {
            return Reply::new(412, format!("{{\"End\":{end}}}"));
        }
        let sequence = request.number("Sequence").unwrap_or(0);
        if let Some(producer) = request.field("Producer") {
            let epoch = request.number("epoch").unwrap_or(0);
            let state = topic.producers.entry(producer.to_owned()).or_default();
            if epoch < state.epoch {
                return Reply::new(409, "{\"Reason\":\"fenced\"}");
            }
            if epoch > state.epoch {
                *state = Producer { epoch, ..Producer::default() };
            }
            if !records.is_empty() {
                if let Some((_, answer)) = state.answers.iter().find(|(known, _)| *known == sequence)
                {
                    return Reply::new(200, answer.clone());
                }
                if let Some(next) = state.next.filter(|next| *next != sequence) {
                    let body = format!("{{\"Reason\":\"seq\",\"Sequence\":{next}}}");
                    return Reply::new(409, body);
                }
            }
        }
        let is_empty = records.is_empty();
        for record in records {
            topic.push(record, name.starts_with("keyed."));
        }
        let answer = format!("{{\"Offset\":{end},\"End\":{}}}", topic.records.len());
        if let Some(producer) = request.field("Producer").filter(|_| !is_empty) {
            let state = topic.producers.entry(producer.to_owned()).or_default();
            state.next = Some(sequence + 1);
            state.answers.push((sequence, answer.clone()));
            if state.answers.len() > REPEATED_APPENDS {
                state.answers.remove(0);
            }
        }
        self.appended.notify_all();
        Reply::new(200, answer)
    }

    fn read(&self, name: &str, request: &Request) -> Reply {
        let from = request.number("From").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.number("WaitMs").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.entry(name.to_owned()).or_default().records.as_slice();
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                    if body.len() > 1_000_000 {
                        break;
                    }
                }
                return Reply::new(200, body);
            }
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, name: &str, request: &Request) -> Reply {
        let after = request.field("After").unwrap_or_default().to_owned();
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let mut rows = topic.newest.iter().filter(|(key, _)| **key > after);
        let items: Vec<String> = rows
            .by_ref()
            .take(PAGE_RECORDS)
            .map(|(key, (offset, value))| {
                let (key, value) = (crate::json::quote(key), base64(value));
                format!("{{\"Key\":{key},\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        let more = rows.next().is_some();
        let (items, end) = (items.join(","), topic.records.len());
        Reply::new(200, format!("{{\"items\":[{items}],\"MorePages\":{more},\"End\":{end}}}"))
    }
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

fn split_key(record: &[u8]) -> Option<(String, Vec<u8>)> {
    let (length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some((String::from_utf8(key.to_vec()).ok()?, value.to_vec()))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let value = group >> (18 - 6 * digit) & 63;
                text.push(DIGITS[value as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
