//! Software version at which the stream of a request may run.

use hyper::Response;
use lagoon_gateway::{RouteKind, TargetHash};
use lagoon_streams::{OriginRecord, StreamId, UnknownOrigin};

use crate::body::ResponseBody;
use crate::forward::{ForwardedRequest, ResponseStream, OVERLOADED_RETRY_AFTER_MS};

impl ForwardedRequest {
    /// Finds the version of a stream that the caller takes up. Refuses the request if
    /// it isn't certain. Does nothing for other requests.
    pub(super) async fn find_version(&mut self) -> Result<(), Box<Response<ResponseBody>>> {
        if self.route.kind != RouteKind::Streaming || self.metadata.last_event_id.is_none() {
            return Ok(());
        }
        let named = self.metadata.resumed_stream.as_deref();
        let stream = StreamId::new(named.unwrap_or_default(), self.fingerprint);
        let request_id = self.metadata.request_id.as_str();
        let state = &self.state;
        let found = state.find_origin(request_id, stream, named.is_some(), &self.service);
        match found.await {
            Ok(software) => {
                self.software = Some(software);
                Ok(())
            }
            Err(reason) => Err(self.refuse_unknown_version(reason)),
        }
    }

    fn refuse_unknown_version(&self, reason: UnknownOrigin) -> Box<Response<ResponseBody>> {
        self.state.metrics.record_stream("not taken up");
        log::info!(
            request = self.metadata.request_id.as_str(),
            stream = self.metadata.resumed_stream.as_deref().unwrap_or("-");
            "stream is not taken up: {reason}"
        );
        self.refuse("version of the stream unknown", OVERLOADED_RETRY_AFTER_MS)
    }

    /// Binds the request to the version of the target whose first event is about to be
    /// passed on, and records it at other VMs.
    pub(crate) fn bind_version(&mut self, stream: &ResponseStream) {
        self.software = Some(stream.software);
        let metadata = &self.metadata;
        let begun_as = match metadata.last_event_id {
            Some(_) => metadata.resumed_stream.as_deref().unwrap_or_default(),
            None => metadata.request_id.as_str(),
        };
        if begun_as.is_empty() {
            return;
        }
        self.state.record_origin(OriginRecord {
            stream: StreamId::new(begun_as, self.fingerprint),
            software: stream.software,
            target: u64::from(TargetHash::of_id(&stream.target_id).0),
        });
    }
}
