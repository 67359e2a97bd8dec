//! Software version at which the stream of a request may run.

use crate::forward::{ForwardedRequest, ResponseStream};

impl ForwardedRequest {
    /// Binds the request to the version of the target whose first event is about to be
    /// passed on.
    pub(crate) fn bind_version(&mut self, stream: &ResponseStream) {
        self.software = Some(stream.software);
    }
}
