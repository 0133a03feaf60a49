use {
    super::{
        Digest, DigestContent, Hello, LeavingNotice, LogPosition, RawDigest, ServiceDemand,
        WireError,
    },
    goldcreststall_core::{
        collections::SortedMap,
        ids::{EntryId, HostName, ServiceName},
        ledger::{LogIdentity, LogOffset},
    },
};

/// Maximum number of service names on one connection; bounds the memory that a faulty peer can use.
const MAX_SERVICES: usize = 4096;
/// Maximum number of leaving notices, and of busy hosts, on one connection.
const MAX_NOTICES: usize = 65_536;

/// Reconstructs full digests from the incremental digests of one connection.
#[derive(Debug)]
pub struct DigestDecoder {
    busy: SortedMap<HostName, ()>,
    demand: SortedMap<ServiceName, u32>,
    draining: bool,
    first_sequence: u64,
    from: EntryId,
    leaving: SortedMap<HostName, LeavingNotice>,
    next_number: u64,
    position: Option<LogPosition>,
    services: Vec<ServiceName>,
}

impl DigestDecoder {
    /// Creates the decoder for a connection that was opened with `hello`.
    pub fn new(hello: &Hello) -> Self {
        Self {
            busy: SortedMap::default(),
            demand: SortedMap::default(),
            draining: false,
            first_sequence: hello.first_sequence,
            from: hello.from.clone(),
            leaving: SortedMap::default(),
            next_number: 0,
            position: None,
            services: Vec::new(),
        }
    }

    /// Applies the changes of a digest and returns the full digest.
    ///
    /// # Errors
    /// `WireError` when a digest before this one is missing or a field is invalid. The decoder must not
    /// be used after an error.
    pub fn decode(&mut self, raw: RawDigest) -> Result<Digest, WireError> {
        if raw.number != self.next_number {
            return Err(WireError::DigestGap {
                expected: self.next_number,
                found: raw.number,
            });
        }
        self.next_number += 1;
        self.decode_position(&raw)?;
        self.decode_services(&raw.services)?;
        self.decode_demand(&raw.demand)?;
        self.decode_notices(raw.leaving, raw.cleared)?;
        self.decode_busy(raw.busy, raw.idle)?;
        self.draining = raw.draining.unwrap_or(self.draining);
        Ok(Digest {
            content: self.content(),
            from: self.from.clone(),
            sequence: self.first_sequence.saturating_add(raw.number),
        })
    }

    fn content(&self) -> DigestContent {
        let demand = self.demand.iter().map(|(service, requests)| ServiceDemand {
            requests: *requests,
            service: service.clone(),
        });
        let leaving = self.leaving.values().cloned();
        DigestContent::new(
            self.position,
            demand.collect(),
            leaving.collect(),
            self.draining,
        )
        .with_busy(self.busy.iter().map(|(host, ())| host.clone()).collect())
    }

    fn decode_position(&mut self, raw: &RawDigest) -> Result<(), WireError> {
        let log = raw.log.map(LogIdentity);
        let log = log.or(self.position.map(|position| position.log));
        match (log, raw.next) {
            (Some(log), Some(next)) => {
                let next = LogOffset(next);
                self.position = Some(LogPosition { log, next });
                Ok(())
            }
            (None, Some(_)) => Err(WireError::Malformed(
                "a log offset without the identity of its log".to_owned(),
            )),
            (_, None) if raw.log.is_some() => {
                Err(WireError::Malformed("a log without an offset".to_owned()))
            }
            (_, None) => Ok(()),
        }
    }

    fn decode_services(&mut self, names: &[String]) -> Result<(), WireError> {
        check_count("services", self.services.len() + names.len(), MAX_SERVICES)?;
        for name in names {
            self.services.push(ServiceName::try_from(name.as_str())?);
        }
        Ok(())
    }

    fn decode_demand(&mut self, pairs: &[u32]) -> Result<(), WireError> {
        let (pairs, remainder) = pairs.as_chunks::<2>();
        if !remainder.is_empty() {
            return Err(WireError::Malformed(
                "a service number without a demand value".to_owned(),
            ));
        }
        for [service_number, requests] in pairs {
            let service = self.services.get(*service_number as usize);
            let service = service.ok_or(WireError::OutOfRange {
                field: "demand",
                value: u64::from(*service_number),
            })?;
            match requests {
                0 => self.demand.remove(service),
                _ => self.demand.insert(service.clone(), *requests),
            };
        }
        Ok(())
    }

    fn decode_notices(
        &mut self,
        leaving: Vec<super::RawNotice>,
        cleared: Vec<String>,
    ) -> Result<(), WireError> {
        for raw in leaving {
            let notice = LeavingNotice::try_from(raw)?;
            self.leaving.insert(notice.host.clone(), notice);
        }
        for host in cleared {
            self.leaving.remove(&HostName::try_from(host)?);
        }
        // Checked after the changes, since a changed notice is no additional one. One frame bounds what a digest adds.
        check_count("leaving", self.leaving.len(), MAX_NOTICES)
    }
}

impl DigestDecoder {
    fn decode_busy(&mut self, busy: Vec<String>, idle: Vec<String>) -> Result<(), WireError> {
        for host in busy {
            self.busy.insert(HostName::try_from(host)?, ());
        }
        for host in idle {
            self.busy.remove(&HostName::try_from(host)?);
        }
        check_count("busy", self.busy.len(), MAX_NOTICES)
    }
}

fn check_count(field: &'static str, count: usize, limit: usize) -> Result<(), WireError> {
    if count <= limit {
        return Ok(());
    }
    let value = count as u64;
    Err(WireError::OutOfRange { field, value })
}
