//! The queue of commands between the event loop and the task of the interpreter's connection. Performs no I/O.

use crate::notify::Notify;
use heathspur_wire::interpreter::{self as wire, Command};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The event loop's end of the link: a queue of encoded commands, which the connection's task writes. Commands are
/// numbered consecutively over all connections, those included that are dropped because their connection has ended.
pub(crate) struct Link {
    queued_commands: RefCell<Vec<u8>>,
    command_queued: Notify,
    /// The number of connections that have begun.
    connections: Cell<u64>,
    /// Whether the last of them has not ended.
    is_connected: Cell<bool>,
    /// The number of the connection for which the event loop sends commands. It learns of the end of a connection later
    /// than the link, and what it sends until then must not be written on the next connection.
    open_connection: Cell<u64>,
    /// The number of the next command.
    next_command: Cell<u64>,
    /// The number of the last command of which any part may have been written.
    last_written: Cell<u64>,
}

impl Link {
    /// Creates a link without a connection.
    pub fn new() -> Rc<Link> {
        Rc::new(Link {
            queued_commands: RefCell::new(Vec::new()),
            command_queued: Notify::new(),
            connections: Cell::new(0),
            is_connected: Cell::new(false),
            open_connection: Cell::new(0),
            next_command: Cell::new(1),
            last_written: Cell::new(0),
        })
    }

    /// Accepts commands for the connection with this number, counted from 1, until it ends.
    pub fn open(&self, connection: u64) {
        self.open_connection.set(connection);
    }

    /// Returns whether the connection for which the event loop sends commands is the current one.
    fn is_open(&self) -> bool {
        self.is_connected.get() && self.open_connection.get() == self.connections.get()
    }

    /// Returns the number of the next command.
    pub fn next_command(&self) -> u64 {
        self.next_command.get()
    }

    /// Queues a command. It is dropped if its connection has ended, and lost if the connection ends before it is written.
    pub fn send(&self, command: Command<'_>) {
        self.next_command.set(self.next_command.get() + 1);
        if !self.is_open() {
            return;
        }
        wire::write_command(&mut self.queued_commands.borrow_mut(), command);
        self.command_queued.notify();
    }

    /// Begins a connection: queues the command that requests all notices after `last_notice`.
    pub(super) fn begin_connection(&self, last_notice: u64) {
        self.connections.set(self.connections.get() + 1);
        self.is_connected.set(true);
        let mut queued = self.queued_commands.borrow_mut();
        wire::write_command(&mut queued, Command::Connect(last_notice));
    }

    /// Ends the connection: drops the commands that were not written, and accepts no more.
    pub(super) fn end_connection(&self) {
        self.is_connected.set(false);
        self.queued_commands.borrow_mut().clear();
    }

    /// Moves the queued commands to the empty buffer `commands`, and returns the number of the last one.
    pub(super) fn take_queued(&self, commands: &mut Vec<u8>) -> u64 {
        std::mem::swap(commands, &mut *self.queued_commands.borrow_mut());
        self.next_command.get() - 1
    }

    /// Waits until a command is queued.
    pub(super) async fn command_queued(&self) {
        self.command_queued.notified().await;
    }

    /// Records that a part of the commands up to this number was written.
    pub(super) fn mark_written(&self, number: u64) {
        self.last_written.set(number);
    }

    /// Returns the number of the last command of which any part may have been written.
    pub(super) fn last_written(&self) -> u64 {
        self.last_written.get()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/link.rs"]
mod tests;
