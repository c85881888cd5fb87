//! What wakes a task that waits for work.

use async_channel::{Receiver, Sender};

/// Rung by one task, heard by another. Rings that nobody has heard yet count as one.
pub(crate) struct Bell(Sender<()>, Receiver<()>);

impl Bell {
    pub fn new() -> Bell {
        let (ring, rung) = async_channel::bounded(1);
        Bell(ring, rung)
    }

    pub fn ring(&self) {
        // A full channel holds a ring already.
        let _ = self.0.try_send(());
    }

    pub async fn rung(&self) {
        // It holds its own sender, so the channel is never closed.
        let _ = self.1.recv().await;
    }
}
