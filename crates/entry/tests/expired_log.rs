//! Guards against log lines that name the wrong range after entries of the log have expired.

use {
    bytes::Bytes,
    goldcreststall_core::{
        ids::{DataCentre, EntryId, EntryName, Incarnation, Millis},
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_entry::control::{ControlSetup, ControlThread},
    goldcreststall_peers::mesh::MeshSettings,
    goldcreststall_platform::{
        hosts::HttpHosts,
        log::{AppendReceipt, LogBounds, LogError, LogService, LogStream, RawEntry},
        worker_service::HttpWorkerService,
    },
    slog::{Drain, KV, Logger, OwnedKVList, Record, Serializer, o},
    std::{
        fmt::Arguments,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        sync::{
            Arc,
            mpsc::{self, Sender},
        },
        time::Duration,
    },
};

/// Timeout for a log line; generous, because the machine may be busy.
const LINE_TIMEOUT: Duration = Duration::from_secs(60);
const FIRST_AT_START: LogOffset = LogOffset(0);
const FIRST_AT_READ: LogOffset = LogOffset(7);

/// A log whose first entries expire after its bounds were read.
struct ExpiringLog;

#[async_trait::async_trait]
impl LogService for ExpiringLog {
    async fn append(&self, _: LogStream, _: Bytes) -> Result<AppendReceipt, LogError> {
        Err(LogError::Unavailable("read only".to_owned()))
    }

    async fn bounds(&self, stream: LogStream) -> Result<LogBounds, LogError> {
        let next = match stream {
            LogStream::Ledger => FIRST_AT_READ,
            LogStream::Snapshots => FIRST_AT_START,
        };
        Ok(LogBounds {
            first: FIRST_AT_START,
            identity: LogIdentity(1),
            next,
            retention_ms: 1_000,
        })
    }

    async fn read(&self, _: LogStream, _: LogOffset, _: Millis) -> Result<Vec<RawEntry>, LogError> {
        let first = FIRST_AT_READ;
        Err(LogError::OffsetGone { first })
    }
}

/// Sends the error of each log line to the test.
struct ErrorDrain(Sender<String>);

impl Drain for ErrorDrain {
    type Err = slog::Never;
    type Ok = ();

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let mut errors = ErrorSerializer(self);
        // The serializer below never fails.
        let _ = record.kv().serialize(record, &mut errors);
        Ok(())
    }
}

struct ErrorSerializer<'a>(&'a ErrorDrain);

impl Serializer for ErrorSerializer<'_> {
    fn emit_arguments(&mut self, key: slog::Key, value: &Arguments<'_>) -> slog::Result {
        if key == "error" {
            // The receiver is gone after the test has seen its line.
            let _ = self.0.0.send(value.to_string());
        }
        Ok(())
    }
}

/// Entries may expire between the read of the bounds and the read of the entries. The line must name the offset that
/// the log returned last, from which entries are still there.
#[test]
fn latest_first_offset() {
    let (sender, errors) = mpsc::channel();
    let local = EntryId {
        incarnation: Incarnation(1),
        name: EntryName::try_from("e1").unwrap(),
    };
    let hosts = || Arc::new(HttpHosts::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 1))));
    let _control = ControlThread::start(ControlSetup {
        data_centre: DataCentre::try_from("dc1").unwrap(),
        host_control: hosts(),
        hosts: hosts(),
        listener: TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap(),
        log: Arc::new(ExpiringLog),
        logger: Logger::root(std::sync::Mutex::new(ErrorDrain(sender)).ignore_res(), o!()),
        mesh: MeshSettings::new(local, Vec::new()).unwrap(),
        workers: Arc::new(HttpWorkerService::new()),
    })
    .unwrap();
    loop {
        let error = errors.recv_timeout(LINE_TIMEOUT).unwrap();
        // Lines about the host list, which is not served, are passed over.
        if error.contains("has expired") {
            assert!(error.ends_with("kept is 7"), "{error}");
            break;
        }
    }
}
