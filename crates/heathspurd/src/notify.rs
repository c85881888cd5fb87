//! A notification from one task to another.

use async_channel::{Receiver, Sender};

/// One task notifies, another waits. Notifications that nobody has waited for yet count as one.
pub(crate) struct Notify(Sender<()>, Receiver<()>);

impl Notify {
    pub fn new() -> Notify {
        let (send, receive) = async_channel::bounded(1);
        Notify(send, receive)
    }

    pub fn notify(&self) {
        // A full channel holds a notification already.
        let _ = self.0.try_send(());
    }

    pub async fn notified(&self) {
        // It holds its own sender, so the channel is never closed.
        let _ = self.1.recv().await;
    }
}
