use {
    super::request_scheduler::AssignedSlot,
    crate::clock::BootClock,
    bytes::Bytes,
    goldcreststall_core::{error::ErrorKind, ids::LocalTime, traffic::SendOutcome},
    goldcreststall_targets::transport::ResponseBody,
    http::StatusCode,
    http_body::{Body, Frame, SizeHint},
    std::{
        error::Error,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::Sleep,
};

/// The body of a response, which holds its slot at the target until the whole answer was passed on.
pub(super) struct CountedBody {
    body: ResponseBody,
    /// Fires at the deadline of the request.
    late: Pin<Box<Sleep>>,
    clock: BootClock,
    sent: LocalTime,
    slot: Option<AssignedSlot>,
    status: StatusCode,
}

impl CountedBody {
    pub(super) fn new(
        body: ResponseBody,
        slot: AssignedSlot,
        sent: LocalTime,
        deadline: LocalTime,
        status: StatusCode,
    ) -> Self {
        let clock = BootClock;
        let left = Duration::from_millis(deadline.since(clock.now()).0);
        let mut body = Self {
            body,
            clock,
            late: Box::pin(tokio::time::sleep(left)),
            sent,
            slot: Some(slot),
            status,
        };
        body.finish_at_end();
        body
    }

    fn finish_at_end(&mut self) {
        if self.body.is_end_stream() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        let Some(slot) = self.slot.take() else {
            return;
        };
        let elapsed = self.clock.now().since(self.sent);
        slot.finish(if self.status.is_server_error() {
            SendOutcome::Failed { elapsed }
        } else {
            SendOutcome::Answered { elapsed }
        });
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = self.body.as_mut().poll_frame(context);
        match &frame {
            // Dropping the slot reports an unknown outcome.
            Poll::Ready(Some(Err(_))) => self.slot = None,
            Poll::Ready(None) => self.finish(),
            Poll::Ready(Some(Ok(_))) => self.finish_at_end(),
            // A target that stalls must not hold its slot and the caller for ever.
            Poll::Pending if self.late.as_mut().poll(context).is_ready() => {
                self.slot = None;
                let late = ErrorKind::DeadlineAfterSend;
                return Poll::Ready(Some(Err(late.into())));
            }
            Poll::Pending => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
