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

/// The body of a response, which holds its slot at the target until the whole response has been forwarded.
pub(super) struct SlotHoldingBody {
    body: ResponseBody,
    /// Expires at the deadline of the request.
    deadline_timer: Pin<Box<Sleep>>,
    clock: BootClock,
    sent: LocalTime,
    slot: Option<AssignedSlot>,
    status: StatusCode,
}

impl SlotHoldingBody {
    pub(super) fn new(
        body: ResponseBody,
        slot: AssignedSlot,
        sent: LocalTime,
        deadline: LocalTime,
        status: StatusCode,
    ) -> Self {
        let clock = BootClock;
        let remaining = Duration::from_millis(deadline.since(clock.now()).0);
        let mut body = Self {
            body,
            clock,
            deadline_timer: Box::pin(tokio::time::sleep(remaining)),
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

impl Body for SlotHoldingBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = self.body.as_mut().poll_frame(context);
        match &frame {
            // Dropping the slot reports an unknown outcome to the scheduler.
            Poll::Ready(Some(Err(_))) => self.slot = None,
            Poll::Ready(None) => self.finish(),
            Poll::Ready(Some(Ok(_))) => self.finish_at_end(),
            // A stalled target must not occupy its slot and the caller forever.
            Poll::Pending if self.deadline_timer.as_mut().poll(context).is_ready() => {
                self.slot = None;
                let error = ErrorKind::DeadlineAfterSend;
                return Poll::Ready(Some(Err(error.into())));
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
